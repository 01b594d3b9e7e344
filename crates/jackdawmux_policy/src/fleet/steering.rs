//! Chooses the endpoint of each request.
//!
//! An object goes to the same endpoint on every instance, because an endpoint that handled it
//! recently needs a fraction of the time. Only a full, cold, failing or leaving endpoint makes a
//! request go to the next one in the object's order.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::affinity::rendezvous_score;
use super::choice::{
    ChoiceRefusal, ChoiceRefusalReason, EndpointChoice, EndpointKey, EndpointQuery, LoadReport,
    LoadView, refuse,
};
use super::cold_start::{COLD_WINDOW, cold_share};
use super::crash_record::CrashRecord;
use super::endpoint_state::{
    EjectionCounts, EndpointChange, EndpointState, RecentObjects, describe_change, usual_latency,
};
use super::outlier::AttemptOutcome;
use super::record::{
    ConfigRecord, EndpointPhase, EndpointRecord, FleetBounds, RouteRecord, ServiceRecord,
};
use super::region_share::{RegionShares, region_shares};
use super::retry_share::RetryShare;
use super::routing::RouteTable;
use super::split::SplitTable;
use crate::clock::PolicyTime;

/// Time after the store's return within which registrations that lapsed meanwhile come back.
const LAPSE_GRACE: Duration = Duration::from_millis(2_100);
/// Requests that an endpoint may hold, as a multiple of its slots, by rank of the request: the
/// highest ranks and the others. What exceeds it is refused at once.
const HOLD_LIMIT_HIGH: f64 = 2.2;
const HOLD_LIMIT_LOW: f64 = 1.7;
/// Load below which another endpoint takes what an object's own one cannot: it must be nearly idle,
/// which under general overload none is.
const SPILL_LIMIT: f64 = 0.6;
/// Lowest rank that counts as high.
const HIGH_RANK: u32 = 1;
/// Endpoints of an object's order that are considered.
const ORDER_LENGTH: usize = 4;
/// Weight of an endpoint in a region that serves no share of the demand.
const LEAST_WEIGHT: f64 = 1e-9;
/// Time within which the registration of an endpoint that started anew is known here. One that
/// was silent may only have been cut off; until then it counts as cold.
const REGISTER_WITHIN: Duration = Duration::from_millis(1_200);
/// Pause suggested when all that may be used is full.
const FULL_PAUSE: Duration = Duration::from_millis(120);
/// Pause suggested when what may be used is cold.
const COLD_PAUSE: Duration = Duration::from_millis(250);
/// Pause suggested when no endpoint is known.
const ABSENT_PAUSE: Duration = Duration::from_millis(400);

#[derive(Clone, Debug, Default)]
struct ServiceState {
    endpoints: Vec<EndpointState>,
    retries: RetryShare,
    usual_ms: f64,
}

/// A time without the store, as seen here.
#[derive(Clone, Copy, Debug)]
struct StoreOutage {
    begun: PolicyTime,
    ended: PolicyTime,
}

/// Endpoints, configuration and budgets of one instance.
#[derive(Debug)]
pub struct FleetSteering {
    own: String,
    regions: Arc<BTreeMap<String, String>>,
    region_names: Vec<String>,
    /// Index of this instance's region; past the end when its failure domain is unknown.
    own_region: usize,
    bounds: FleetBounds,
    table: Option<Arc<RouteTable>>,
    services: HashMap<String, ServiceState>,
    evacuated: HashSet<String>,
    instances: Vec<String>,
    splits: SplitTable,
    outage: Option<StoreOutage>,
    recent: RecentObjects,
    crashes: CrashRecord,
    /// When this process learnt of its first endpoint.
    informed_at: Option<PolicyTime>,
}

impl FleetSteering {
    /// A state that knows nothing yet.
    #[must_use]
    pub fn new(
        own: &str,
        own_domain: &str,
        regions: Arc<BTreeMap<String, String>>,
        bounds: FleetBounds,
    ) -> Self {
        let mut region_names: Vec<String> = regions.values().cloned().collect();
        region_names.sort();
        region_names.dedup();
        let own_region = regions.get(own_domain);
        let own_region = region_names.iter().position(|name| Some(name) == own_region);
        Self {
            own: own.to_owned(),
            own_region: own_region.unwrap_or(region_names.len()),
            region_names,
            regions,
            bounds,
            table: None,
            services: HashMap::new(),
            evacuated: HashSet::new(),
            instances: vec![own.to_owned()],
            splits: SplitTable::default(),
            outage: None,
            recent: RecentObjects::default(),
            crashes: CrashRecord::default(),
            informed_at: None,
        }
    }

    /// The configuration in force.
    #[must_use]
    pub const fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Puts a configuration in force unless it is older than the one in force.
    pub fn apply_config(&mut self, config: ConfigRecord) -> bool {
        let current = self.table.as_ref().map_or(0, |table| table.version());
        if self.table.is_some() && config.version <= current {
            return false;
        }
        self.table = Some(Arc::new(RouteTable::new(config)));
        true
    }

    /// Names of the registered instances, among which shares are divided.
    pub fn set_instances(&mut self, names: Vec<String>) {
        self.instances = names;
    }

    /// Replaces the bounds after a reload of the settings.
    pub fn set_bounds(&mut self, bounds: FleetBounds) {
        self.bounds = bounds;
    }

    /// The store answers again after an outage. Registrations that are missing now may have lapsed
    /// meanwhile and come back.
    pub fn record_store_recovery(&mut self, now: PolicyTime, outage: Duration) {
        self.outage = Some(StoreOutage { begun: now.before(outage), ended: now });
    }

    /// Another instance has had contact with the store for some time. When that covers an outage
    /// seen here, the store was there all the while: what is missing is gone.
    pub fn record_peer_store_contact(&mut self, now: PolicyTime, held: Duration) {
        let Some(outage) = self.outage else {
            return;
        };
        if now.before(held) > outage.begun {
            return;
        }
        self.outage = None;
        for state in self.services.values_mut().flat_map(|service| &mut service.endpoints) {
            state.lapses_at = state.lapses_at.map(|end| end.min(now));
        }
    }

    /// An endpoint's registration was read.
    pub fn apply_endpoint(&mut self, now: PolicyTime, record: EndpointRecord) -> EndpointChange {
        let key = EndpointKey::of(&record.id);
        self.informed_at.get_or_insert(now);
        self.leave_other_service(key, &record.service);
        let region = self.region_index(&record.domain);
        let service = self.services.entry(record.service.clone()).or_default();
        let Some(state) = service.endpoints.iter_mut().find(|state| state.key == key) else {
            service.endpoints.push(EndpointState::new(record, region, now));
            return EndpointChange::Joined;
        };
        state.lapses_at = None;
        let change = describe_change(&state.record, &record);
        if change == EndpointChange::Restarted {
            self.crashes.record_endpoint_down(now, key);
        }
        if change == EndpointChange::Restarted || state.record.address != record.address {
            let in_flight = state.in_flight;
            *state = EndpointState::new(record, region, now);
            state.in_flight = in_flight;
            return change;
        }
        state.record = record;
        state.learn_cold(now);
        change
    }

    /// An endpoint's registration is gone.
    pub fn remove_endpoint(&mut self, now: PolicyTime, id: &str) -> EndpointChange {
        let key = EndpointKey::of(id);
        let lapse_end = self.outage.map(|outage| outage.ended + LAPSE_GRACE);
        for service in self.services.values_mut() {
            let Some(index) = service.endpoints.iter().position(|state| state.key == key) else {
                continue;
            };
            let state = &mut service.endpoints[index];
            let is_ready = state.record.phase == EndpointPhase::Ready;
            if let Some(end) = lapse_end.filter(|end| is_ready && now < *end) {
                state.lapses_at = Some(end);
                return EndpointChange::Lapsed;
            }
            service.endpoints.swap_remove(index);
            return EndpointChange::Left;
        }
        EndpointChange::Same
    }

    /// A whole list was read: what is not in it is gone.
    pub fn replace_endpoints(
        &mut self,
        now: PolicyTime,
        records: Vec<EndpointRecord>,
    ) -> Vec<(String, EndpointChange)> {
        let listed: HashSet<String> = records.iter().map(|record| record.id.clone()).collect();
        let missing: Vec<String> = self
            .services
            .values()
            .flat_map(|service| &service.endpoints)
            .filter(|state| state.lapses_at.is_none() && !listed.contains(&state.record.id))
            .map(|state| state.record.id.clone())
            .collect();
        let mut changes = Vec::new();
        for id in missing {
            let change = self.remove_endpoint(now, &id);
            changes.push((id, change));
        }
        for record in records {
            let id = record.id.clone();
            let change = self.apply_endpoint(now, record);
            if change != EndpointChange::Same {
                changes.push((id, change));
            }
        }
        changes
    }

    /// A failure domain is to be left alone, or may be used again.
    pub fn set_evacuated(&mut self, now: PolicyTime, domain: &str, is_evacuated: bool) {
        if is_evacuated {
            self.evacuated.insert(domain.to_owned());
        } else if self.evacuated.remove(domain) {
            self.chill_domain(now, domain);
        }
    }

    /// A whole list of evacuated failure domains was read.
    pub fn replace_evacuated(&mut self, now: PolicyTime, domains: &[String]) {
        let returned: Vec<String> =
            self.evacuated.iter().filter(|domain| !domains.contains(domain)).cloned().collect();
        for domain in returned {
            self.set_evacuated(now, &domain, false);
        }
        self.evacuated.extend(domains.iter().cloned());
    }

    /// Regular upkeep: lapsed registrations end, usual latencies are worked out. Returns the
    /// endpoints that are gone.
    pub fn tick(&mut self, now: PolicyTime) -> Vec<String> {
        let mut gone = Vec::new();
        for service in self.services.values_mut() {
            service.endpoints.retain(|state| {
                let is_gone = state.lapses_at.is_some_and(|end| now >= end);
                if is_gone {
                    gone.push(state.record.id.clone());
                }
                !is_gone
            });
            service.usual_ms = usual_latency(&service.endpoints);
        }
        gone
    }

    /// Number of endpoints known.
    #[must_use]
    pub fn endpoint_count(&self) -> usize {
        self.services.values().map(|service| service.endpoints.len()).sum()
    }

    /// The service for the next request of a route.
    pub fn split(&mut self, version: u64, route: &RouteRecord) -> usize {
        self.splits.next(version, route)
    }

    /// Chooses an endpoint and counts the request there.
    ///
    /// # Errors
    /// When nothing may take it now; the request has not been counted anywhere then.
    pub fn choose(
        &mut self,
        now: PolicyTime,
        ask: &EndpointQuery<'_>,
    ) -> Result<EndpointChoice, ChoiceRefusal> {
        let order = self.order(now, ask);
        if order.is_empty() {
            return Err(refuse(ChoiceRefusalReason::NoEndpoint, ABSENT_PAUSE));
        }
        let (rank, index) = self.pick(now, ask, &order)?;
        let instances = self.instances.len();
        let service = self.services.entry(ask.service.to_owned()).or_default();
        if ask.is_retry && !service.retries.spend(now, &self.bounds, instances) {
            return Err(refuse(ChoiceRefusalReason::RetryBudget, FULL_PAUSE));
        }
        if !ask.is_retry {
            service.retries.count_request(now, self.bounds.retry_window);
        }
        let state = &mut service.endpoints[index];
        let is_warm = self.recent.learn(ask.object, state.key);
        state.outlier.begin_probe(now);
        state.in_flight += 1;
        Ok(EndpointChoice {
            key: state.key,
            id: Arc::clone(&state.id),
            address: state.record.address,
            rank,
            is_warm,
        })
    }

    /// A send ended. Returns true when the endpoint is set aside by it.
    pub fn finish(
        &mut self,
        now: PolicyTime,
        service: &str,
        key: EndpointKey,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) -> bool {
        let cold_start = self.service_record(service).map(|record| record.cold_start);
        let Some(service) = self.services.get_mut(service) else {
            return false;
        };
        let usual_ms = service.usual_ms;
        let Some(state) = service.endpoints.iter_mut().find(|state| state.key == key) else {
            return false;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        if let Some(report) = report {
            let total = f64::from(report.running + report.waiting);
            state.others = (total - f64::from(state.in_flight)).max(0.0);
            state.reported_at = now;
        }
        let is_answer = matches!(outcome, AttemptOutcome::Answered(_) | AttemptOutcome::Shed);
        match outcome {
            AttemptOutcome::Unreachable => {
                state.cold_on_return = cold_start;
                self.crashes.record_endpoint_down(now, key);
            }
            AttemptOutcome::Silent => {
                state.cold_on_return.get_or_insert(REGISTER_WITHIN);
            }
            _ if is_answer => {
                if let Some(span) = state.cold_on_return.take() {
                    state.become_cold(now, span);
                }
            }
            _ => {}
        }
        state.outlier.learn(now, outcome, usual_ms)
    }

    /// Requests that brought down endpoints.
    #[must_use]
    pub const fn crashes(&self) -> &CrashRecord {
        &self.crashes
    }

    /// The same, to note what became of requests.
    pub const fn crashes_mut(&mut self) -> &mut CrashRecord {
        &mut self.crashes
    }

    /// Load of an endpoint as known here, as a multiple of its slots.
    #[must_use]
    pub fn load(&self, now: PolicyTime, service: &str, key: EndpointKey) -> Option<f64> {
        let state = self.services.get(service)?.endpoints.iter().find(|state| state.key == key)?;
        Some(state.held(now) / state.slots())
    }

    /// Identity, failure share and smoothed latency of an endpoint, for logs.
    #[must_use]
    pub fn behaviour(&self, service: &str, key: EndpointKey) -> Option<(&str, f64, f64)> {
        let state = self.services.get(service)?.endpoints.iter().find(|state| state.key == key)?;
        Some((&state.id, state.outlier.failure_share(), state.outlier.latency_ms()))
    }

    /// Endpoints in the object's order, as far as they may be used.
    fn order(&self, now: PolicyTime, ask: &EndpointQuery<'_>) -> SmallVec<[usize; ORDER_LENGTH]> {
        let Some(service) = self.services.get(ask.service) else {
            return SmallVec::new();
        };
        let is_eligible = |state: &EndpointState| {
            state.record.phase == EndpointPhase::Ready
                && state.lapses_at.is_none_or(|end| now < end)
                && !self.evacuated.contains(&state.record.domain)
                && self.is_home(ask.route, &state.record.domain)
        };
        let mut counts = EjectionCounts::default();
        let mut capacity: RegionShares = self.region_names.iter().map(|_| 0.0).collect();
        // Endpoints whose failure domain is unknown share a place of their own.
        capacity.push(0.0);
        for state in service.endpoints.iter().filter(|state| is_eligible(state)) {
            counts.add(state.outlier.aside(now));
            capacity[state.region] += state.slots();
        }
        let shares = self.shares(&capacity);
        let mut best: SmallVec<[(f64, usize); ORDER_LENGTH]> = SmallVec::new();
        for (index, state) in service.endpoints.iter().enumerate() {
            let is_allowed =
                counts.is_allowed(state.outlier.aside(now)) || state.outlier.wants_probe(now);
            if !is_allowed || !is_eligible(state) || ask.attempted.contains(&state.key) {
                continue;
            }
            let weight = shares[state.region] * state.slots() / capacity[state.region].max(1.0);
            // An endpoint of no share still comes last in the order, for want of others.
            let score = rendezvous_score(ask.object, state.key.0, weight.max(LEAST_WEIGHT));
            let place = best.iter().position(|(other, _)| score > *other).unwrap_or(best.len());
            if place < ORDER_LENGTH {
                best.truncate(ORDER_LENGTH - 1);
                best.insert(place, (score, index));
            }
        }
        best.into_iter().map(|(_score, index)| index).collect()
    }

    /// Shares of this instance's demand by region. The place for unknown failure domains takes part
    /// only when it is all there is.
    fn shares(&self, capacity: &[f64]) -> RegionShares {
        let known = &capacity[..self.region_names.len()];
        let mut shares = region_shares(self.own_region, known);
        let is_known = known.iter().any(|slots| *slots > 0.0);
        shares.push(if is_known { 0.0 } else { 1.0 });
        shares
    }

    /// The first endpoint of the order that is not held back by being cold; where objects do not
    /// matter, the less loaded of the first two.
    ///
    /// A full endpoint makes a request go to the next one only when that one is nearly idle. The
    /// object is unknown there and the work takes several times as long; under general overload
    /// every object would soon be unknown everywhere, and the overload would outlast its cause.
    fn pick(
        &mut self,
        now: PolicyTime,
        ask: &EndpointQuery<'_>,
        order: &[usize],
    ) -> Result<(usize, usize), ChoiceRefusal> {
        let mut ranked = order.iter().copied().enumerate();
        let own = ranked.find(|(_, index)| self.is_within_cold_pace(now, ask.service, *index));
        let Some((rank, index)) = own else {
            return Err(refuse(ChoiceRefusalReason::Cold, COLD_PAUSE));
        };
        let load = self.load_of(now, ask.service, index);
        let next = ranked.find(|(_, index)| self.is_warm(now, ask.service, *index));
        let next_load =
            next.map_or(f64::INFINITY, |(_, next)| self.load_of(now, ask.service, next));
        let is_high = ask.route.priority <= HIGH_RANK;
        let limit = if is_high { HOLD_LIMIT_HIGH } else { HOLD_LIMIT_LOW };
        let is_next_better = if ask.route.is_sticky {
            load >= limit && next_load < SPILL_LIMIT
        } else {
            next_load < load
        };
        match next {
            Some(next) if is_next_better => Ok(next),
            _ if load < limit => Ok((rank, index)),
            _ => {
                let report_age = self.report_age(now, ask.service, index);
                let load = Some(LoadView { load, limit, report_age });
                Err(ChoiceRefusal { load, ..refuse(ChoiceRefusalReason::Full, FULL_PAUSE) })
            }
        }
    }

    fn is_warm(&self, now: PolicyTime, service: &str, index: usize) -> bool {
        let state = self.services.get(service).and_then(|state| state.endpoints.get(index));
        state.is_some_and(|state| now >= state.cold_until)
    }

    fn report_age(&self, now: PolicyTime, service: &str, index: usize) -> Duration {
        let state = self.services.get(service).and_then(|state| state.endpoints.get(index));
        state.map_or(Duration::ZERO, |state| now.since(state.reported_at))
    }

    fn load_of(&self, now: PolicyTime, service: &str, index: usize) -> f64 {
        let state = self.services.get(service).and_then(|state| state.endpoints.get(index));
        state.map_or(f64::INFINITY, |state| state.held(now) / state.slots())
    }

    /// Whether an endpoint is warm or this instance's share of its cold pace has room.
    fn is_within_cold_pace(&mut self, now: PolicyTime, service: &str, index: usize) -> bool {
        // What an earlier process of this instance sent in the same second counts as well.
        let is_fresh = self.informed_at.is_none_or(|at| now.since(at) <= COLD_WINDOW);
        let share = if is_fresh { 0.0 } else { self.cold_share_of(service, index) };
        let service = self.services.get_mut(service);
        let Some(state) = service.and_then(|state| state.endpoints.get_mut(index)) else {
            return false;
        };
        now >= state.cold_until || state.pacer.take(now, share)
    }

    fn cold_share_of(&self, service: &str, index: usize) -> f64 {
        let endpoint = self.services.get(service).and_then(|state| state.endpoints.get(index));
        match (endpoint, self.service_record(service)) {
            (Some(state), Some(record)) => {
                cold_share(&state.id, &self.own, &self.instances, record, &self.bounds)
            }
            _ => 0.0,
        }
    }

    fn region_index(&self, domain: &str) -> usize {
        let region = self.regions.get(domain);
        let index = self.region_names.iter().position(|name| Some(name) == region);
        index.unwrap_or(self.region_names.len())
    }

    fn service_record(&self, name: &str) -> Option<&ServiceRecord> {
        self.table.as_ref()?.service(name)
    }

    fn is_home(&self, route: &RouteRecord, domain: &str) -> bool {
        route.homes.is_empty()
            || self.regions.get(domain).is_some_and(|region| route.homes.contains(region))
    }

    fn leave_other_service(&mut self, key: EndpointKey, service: &str) {
        for (name, state) in &mut self.services {
            if name != service {
                state.endpoints.retain(|endpoint| endpoint.key != key);
            }
        }
    }

    fn chill_domain(&mut self, now: PolicyTime, domain: &str) {
        let table = self.table.clone();
        for (name, service) in &mut self.services {
            let record = table.as_ref().and_then(|table| table.service(name));
            let Some(span) = record.map(|record| record.cold_start) else {
                continue;
            };
            for state in &mut service.endpoints {
                if state.record.domain == domain {
                    state.become_cold(now, span);
                }
            }
        }
    }
}
