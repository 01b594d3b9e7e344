//! Chooses the endpoint of each request.
//!
//! Every instance sends an object to the same endpoint, because an endpoint that handled the object
//! recently needs only a fraction of the time. A request goes to the next endpoint in the object's
//! preference order only if the preferred one is full, cold, failing or leaving.

mod admission;
mod demand;
mod isolation;
mod pressure;
mod registrations;
mod restore_facts;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::admission::ActiveKinds;
use super::affinity::rendezvous_score;
use super::backoff::endpoint_pause;
use super::choice::{
    ChoiceRefusal, ChoiceRefusalReason, EndpointChoice, EndpointKey, EndpointNotice, EndpointQuery,
    LoadReport, LoadView, NoticeEffect, refuse,
};
use super::cold_start::{COLD_WINDOW, cold_share};
use super::crash_record::CrashRecord;
use super::endpoint_set::{ColdShares, select_member};
use super::endpoint_state::{
    EjectionCounts, EndpointState, RecentObjects, mean_utilisation, typical_latency,
};
use super::expected_wait::WorkTime;
use super::fair_share::FairShare;
use super::homed_load::HomedLoad;
use super::instance_list::InstanceList;
use super::notices::{EndpointIncarnation, NoticeRegister};
use super::outlier::AttemptOutcome;
use super::reachability::{Reachability, ReachabilityTracker};
use super::record::{ConfigRecord, EndpointRecord, FleetBounds, RouteRecord, ServiceRecord};
use super::region_demand::ServiceDemand;
use super::region_share::{RegionShares, ShareShift, region_shares};
use super::restore::RestoreTracker;
use super::retry_share::{RetryFigures, RetryShare, RetryTerms, rounding_threshold};
use super::routing::RouteTable;
use super::split::SplitTable;
use crate::clock::PolicyTime;

/// Maximum number of requests that an endpoint may hold, as a multiple of its slots, for requests of
/// high priority and for all others. Requests above the limit are refused immediately.
const MAX_LOAD_HIGH_PRIORITY: f64 = 2.2;
const MAX_LOAD_LOW_PRIORITY: f64 = 1.7;
/// Load below which another endpoint takes requests that an object's preferred endpoint cannot. It
/// must be nearly idle, which no endpoint is under general overload.
const MAX_SPILLOVER_LOAD: f64 = 0.6;
/// Lowest priority that counts as high; 0 is the highest priority.
const LOWEST_HIGH_PRIORITY: u32 = 1;
/// Number of endpoints of an object's preference order that are considered.
const MAX_CANDIDATES: usize = 4;
/// Weight of an endpoint in a region that serves no share of this region's demand.
const MIN_WEIGHT: f64 = 1e-9;
/// Time within which the registration of a restarted endpoint reaches this instance. An endpoint
/// that was unresponsive may have restarted or may only have been cut off; it counts as cold for
/// this time once it responds again.
const REGISTRATION_DELAY: Duration = Duration::from_millis(1_200);
/// Retry-after delay suggested if the usable endpoints are full.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(120);
/// Retry-after delay suggested if the usable endpoints are cold.
const COLD_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Retry-after delay suggested if there is no usable endpoint.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(400);

#[derive(Clone, Debug, Default)]
struct ServiceState {
    endpoints: Vec<EndpointState>,
    retries: RetryShare,
    typical_latency_ms: f64,
    /// Whether an endpoint has stated in this process how long work takes.
    states_work: bool,
    work: WorkTime,
    /// Time of the latest response from which `work` was estimated.
    work_sampled_at: PolicyTime,
    kinds: ActiveKinds,
    shares: FairShare,
    cold_shares: ColdShares,
    demand: ServiceDemand,
    shift: ShareShift,
    /// Mean of the average loads that the endpoints report, as a multiple of their slots.
    utilisation: f64,
    homed: HomedLoad,
}

/// An outage of the update source as seen by this instance.
#[derive(Clone, Copy, Debug)]
struct SourceOutage {
    started_at: PolicyTime,
    ended_at: PolicyTime,
    /// Whether the source came back from an older copy, which lacks the latest registrations for
    /// every instance.
    is_restore: bool,
}

/// Endpoints, configuration and budgets of one instance.
#[derive(Clone, Debug)]
pub struct FleetSteering {
    own: String,
    regions: Arc<BTreeMap<String, String>>,
    region_names: Vec<String>,
    /// Index of this instance's region; past the end if its failure domain is unknown.
    own_region: usize,
    bounds: FleetBounds,
    table: Option<Arc<RouteTable>>,
    services: HashMap<String, ServiceState>,
    evacuated: HashSet<String>,
    instances: InstanceList,
    /// Number of registered instances by region.
    region_members: Vec<usize>,
    splits: SplitTable,
    outage: Option<SourceOutage>,
    restore: RestoreTracker,
    /// Outdated registrations, each with when it was first read.
    standing: HashMap<EndpointKey, (EndpointRecord, PolicyTime)>,
    notices: NoticeRegister,
    recent: RecentObjects,
    crashes: CrashRecord,
    reachability: ReachabilityTracker,
    /// When the first endpoint was added in this process.
    first_endpoint_at: Option<PolicyTime>,
    /// Whether an endpoint has stated how long work takes on its machine.
    states_work: bool,
}

impl FleetSteering {
    /// Creates a state without configuration and endpoints for the instance `own`. `regions` maps
    /// failure domains to regions.
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
            region_members: vec![0; region_names.len()],
            region_names,
            regions,
            bounds,
            table: None,
            services: HashMap::new(),
            evacuated: HashSet::new(),
            instances: InstanceList::default(),
            splits: SplitTable::default(),
            outage: None,
            restore: RestoreTracker::default(),
            standing: HashMap::new(),
            notices: NoticeRegister::default(),
            recent: RecentObjects::default(),
            crashes: CrashRecord::default(),
            reachability: ReachabilityTracker::default(),
            first_endpoint_at: None,
            states_work: false,
        }
    }

    /// Returns the active configuration.
    #[must_use]
    pub const fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Applies a configuration if it is newer than the active one. Returns whether it was applied.
    pub fn apply_config(&mut self, config: ConfigRecord) -> bool {
        self.is_newer_config(config.version) && self.apply_table(Arc::new(RouteTable::new(config)))
    }

    /// Returns whether a version of the configuration is newer than the active one.
    #[must_use]
    pub fn is_newer_config(&self, version: u64) -> bool {
        self.table.as_ref().is_none_or(|table| version > table.version())
    }

    /// Applies an indexed configuration if it is newer than the active one. Returns whether it was
    /// applied. Indexing many keys takes long, so that callers do it before they lock the steering
    /// state.
    pub fn apply_table(&mut self, table: Arc<RouteTable>) -> bool {
        let is_newer = self.is_newer_config(table.version());
        if is_newer {
            self.table = Some(table);
        }
        is_newer
    }

    /// Sets the names of the registered instances, among which limits are divided, once a complete
    /// list of them is known.
    pub fn set_instances(&mut self, now: PolicyTime, names: Vec<String>) {
        let is_changed = self.instances.names() != names;
        self.instances.replace(now, names, self.bounds.retry_window);
        if !is_changed {
            return;
        }
        let endpoints = self.services.values_mut().flat_map(|service| &mut service.endpoints);
        for state in endpoints.filter(|state| state.pacer.is_some()) {
            state.apply_notice(now, state.stated, &self.own, self.instances.names());
        }
    }

    /// Replaces the bounds after a reload of the settings.
    pub fn set_bounds(&mut self, bounds: FleetBounds) {
        self.bounds = bounds;
    }

    /// Returns the bounds in force.
    #[must_use]
    pub const fn bounds(&self) -> &FleetBounds {
        &self.bounds
    }

    /// Performs periodic maintenance: removes endpoints whose grace period is over and updates the
    /// typical latencies. Returns the removed endpoints.
    pub fn tick(&mut self, now: PolicyTime) -> Vec<String> {
        self.notices.prune(now);
        let mut removed = Vec::new();
        for service in self.services.values_mut() {
            let stated = |state: &&EndpointState| state.stated.is_leaving || state.pacer.is_some();
            for state in service.endpoints.iter().filter(stated) {
                self.notices.retain(now, state.incarnation());
            }
            service.endpoints.retain(|state| {
                let is_expired = state.lapses_at.is_some_and(|end| now >= end);
                if is_expired {
                    self.restore.record_removed(now, &state.record);
                    removed.push(state.record.id.clone());
                }
                !is_expired
            });
            service.typical_latency_ms = typical_latency(&service.endpoints);
            service.utilisation = mean_utilisation(&service.endpoints);
        }
        self.update_demand(now);
        removed
    }

    /// Returns whether requests are steered by the load that endpoints state: in deployments with load
    /// pressure, and where an endpoint states how long work takes on its machine.
    #[must_use]
    pub const fn is_load_aware(&self) -> bool {
        self.bounds.has_pressure || self.states_work
    }

    /// Returns the number of endpoints of all services.
    #[must_use]
    pub fn endpoint_count(&self) -> usize {
        self.services.values().map(|service| service.endpoints.len()).sum()
    }

    /// Returns the registration of an endpoint that is in force.
    #[must_use]
    pub fn endpoint_record(&self, id: &str) -> Option<&EndpointRecord> {
        let key = EndpointKey::of(id);
        let mut endpoints = self.services.values().flat_map(|service| &service.endpoints);
        endpoints.find(|state| state.key == key).map(|state| &state.record)
    }

    /// Returns the start of the known incarnation of an endpoint, in Unix milliseconds.
    #[must_use]
    pub fn endpoint_started_ms(&self, id: &str) -> Option<u64> {
        self.endpoint_record(id).map(|record| record.started_ms)
    }

    /// Returns the index of the target service for the next request of a route.
    pub fn split(&mut self, version: u64, route: &RouteRecord) -> usize {
        self.splits.next(version, route)
    }

    /// Counts a request towards the retry budget of its service. The instance that a caller sent it to
    /// does so once, however many endpoints and peers it is offered to.
    pub fn count_request(&mut self, now: PolicyTime, service: &str) {
        let terms = RetryTerms { bounds: &self.bounds, instances: self.instances.divisor() };
        let service = self.services.entry(service.to_owned()).or_default();
        service.retries.count_request(now, &terms);
    }

    /// Chooses an endpoint and counts the request as in flight there.
    ///
    /// # Errors
    /// Returns a refusal if no endpoint may take the request now; the request is then not counted as
    /// in flight anywhere.
    pub fn choose(
        &mut self,
        now: PolicyTime,
        query: &EndpointQuery<'_>,
    ) -> Result<EndpointChoice, ChoiceRefusal> {
        self.choose_connected(now, query, &|_| false)
    }

    /// Chooses an endpoint like [`FleetSteering::choose`]. Of endpoints that are equal in expected time,
    /// it prefers one with an idle connection, as told by `has_idle`.
    ///
    /// # Errors
    /// As [`FleetSteering::choose`].
    pub fn choose_connected(
        &mut self,
        now: PolicyTime,
        query: &EndpointQuery<'_>,
        has_idle: &dyn Fn(EndpointKey) -> bool,
    ) -> Result<EndpointChoice, ChoiceRefusal> {
        let candidates = self.candidates(now, query);
        if candidates.is_empty() {
            return Err(self.refuse_without_candidates(now, query));
        }
        let (rank, index) = self.pick(now, query, &candidates, has_idle)?;
        self.admit(now, query, index)?;
        let is_by_wait = self.is_steered_by_wait(query.service);
        let expected_wait =
            if is_by_wait { self.expected_wait(now, query.service, index) } else { Duration::ZERO };
        let terms = RetryTerms { bounds: &self.bounds, instances: self.instances.divisor() };
        let service = self.services.entry(query.service.to_owned()).or_default();
        let threshold = || rounding_threshold(&self.own, query.service);
        if query.is_retry && !service.retries.spend(now, &terms, threshold()) {
            return Err(refuse(ChoiceRefusalReason::RetryBudget, FULL_RETRY_AFTER));
        }
        if query.attempted.is_empty() {
            service.homed.record(now, service.endpoints[index].region, query.is_bound());
        }
        let share = self.start_share(query);
        let service = self.services.entry(query.service.to_owned()).or_default();
        let state = &mut service.endpoints[index];
        let is_known = self.recent.contains(query.object, state.key);
        let is_latest = self.recent.record(query.object, state.key);
        state.outlier.start_probe(now);
        state.in_flight += 1;
        let is_limited = state.pacer.is_some();
        if let Some(pacer) = &mut state.pacer {
            pacer.record_sent(now);
        }
        Ok(EndpointChoice {
            key: state.key,
            id: Arc::clone(&state.id),
            address: state.record.address,
            started_ms: state.record.started_ms,
            rank,
            is_warm: if is_by_wait { is_known } else { is_latest },
            is_limited,
            share,
            expected_wait,
        })
    }

    /// Records the outcome of an attempt. Returns `true` if it causes the endpoint to be ejected.
    pub fn finish(
        &mut self,
        now: PolicyTime,
        service: &str,
        key: EndpointKey,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) -> bool {
        self.record_reach(now, key, outcome);
        let is_isolated = self.reachability.state() == Reachability::Isolated;
        let cold_start = self.service_record(service).map(|record| record.cold_start);
        let Some(service) = self.services.get_mut(service) else {
            return false;
        };
        let typical_latency_ms = service.typical_latency_ms;
        let Some(state) = service.endpoints.iter_mut().find(|state| state.key == key) else {
            return false;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        if let Some(report) = report {
            self.states_work |= report.work_percent.is_some();
            service.states_work |= report.work_percent.is_some();
            state.record_report(now, report);
        }
        let is_response = matches!(outcome, AttemptOutcome::Answered(_) | AttemptOutcome::Shed);
        if is_response || outcome.is_path_failure() {
            state.record_baseline(now, !is_response);
        }
        match outcome {
            AttemptOutcome::Unreachable => {
                state.cold_after_recovery = cold_start;
                self.crashes.record_refused(key);
            }
            AttemptOutcome::Silent => {
                state.cold_after_recovery.get_or_insert(REGISTRATION_DELAY);
            }
            // Only a connection from before the isolation can carry it: the endpoint has not restarted.
            _ if is_response && is_isolated => state.cold_after_recovery = None,
            _ if is_response => {
                if let Some(span) = state.cold_after_recovery.take() {
                    state.become_cold(now, span);
                }
            }
            _ => {}
        }
        // Failures of an isolated instance say nothing about the endpoint.
        let is_counted = !(is_isolated && outcome.is_path_failure());
        is_counted && state.outlier.record(now, outcome, typical_latency_ms)
    }

    /// Records what an endpoint stated about itself in a response to an attempt.
    pub fn record_notice(
        &mut self,
        now: PolicyTime,
        choice: &EndpointChoice,
        notice: EndpointNotice,
    ) -> NoticeEffect {
        let incarnation = EndpointIncarnation { key: choice.key, started_ms: choice.started_ms };
        let before = self.notices.stated(incarnation);
        let pause =
            notice.retry_after.map(|requested| endpoint_pause(requested, &self.own, choice.key));
        let stated = self.notices.record(now, incarnation, notice.is_leaving, pause, notice.limit);
        // A late response of an earlier incarnation says nothing about the present one.
        let endpoints = self.services.values_mut().flat_map(|service| &mut service.endpoints);
        for state in endpoints.filter(|state| state.incarnation() == incarnation) {
            state.apply_notice(now, stated, &self.own, self.instances.names());
        }
        match (notice.retry_after, stated.limit) {
            _ if notice.is_leaving && !before.is_leaving => NoticeEffect::Leaving,
            (Some(requested), _) => NoticeEffect::Paused(requested),
            (None, limit) if limit == before.limit => NoticeEffect::None,
            (None, Some(rate)) => NoticeEffect::Limited(rate),
            (None, None) => NoticeEffect::Unlimited,
        }
    }

    /// Returns the crashes recorded by request.
    #[must_use]
    pub const fn crashes(&self) -> &CrashRecord {
        &self.crashes
    }

    /// Returns the crashes recorded by request, to record how requests end.
    pub const fn crashes_mut(&mut self) -> &mut CrashRecord {
        &mut self.crashes
    }

    /// Returns the state of the retry budget of each service that got requests, for metrics and logs.
    pub fn retry_figures(&mut self, now: PolicyTime) -> Vec<(&str, RetryFigures)> {
        let terms = RetryTerms { bounds: &self.bounds, instances: self.instances.divisor() };
        let figures = self
            .services
            .iter_mut()
            .map(|(name, service)| (name.as_str(), service.retries.figures(now, &terms)));
        figures.filter(|(_, figures)| figures.requests > 0).collect()
    }

    /// Returns the estimated load of an endpoint as a multiple of its slots.
    #[must_use]
    pub fn load(&self, now: PolicyTime, service: &str, key: EndpointKey) -> Option<f64> {
        let state = self.services.get(service)?.endpoints.iter().find(|state| state.key == key)?;
        Some(state.held_requests(now) / state.slots())
    }

    /// Returns the identity, failure share and smoothed latency in milliseconds of an endpoint, for
    /// logs.
    #[must_use]
    pub fn behaviour(&self, service: &str, key: EndpointKey) -> Option<(&str, f64, f64)> {
        let state = self.services.get(service)?.endpoints.iter().find(|state| state.key == key)?;
        Some((&state.id, state.outlier.failure_share(), state.outlier.latency_ms()))
    }

    /// Returns the usable endpoints in the object's preference order, at most `MAX_CANDIDATES`.
    fn candidates(
        &self,
        now: PolicyTime,
        query: &EndpointQuery<'_>,
    ) -> SmallVec<[usize; MAX_CANDIDATES]> {
        let Some(service) = self.services.get(query.service) else {
            return SmallVec::new();
        };
        let is_eligible = |state: &EndpointState| self.is_eligible(now, query, state);
        let mut counts = EjectionCounts::default();
        let mut capacity: RegionShares = self.region_names.iter().map(|_| 0.0).collect();
        // Endpoints whose failure domain is unknown share an extra entry at the end.
        capacity.push(0.0);
        for state in service.endpoints.iter().filter(|state| is_eligible(state)) {
            // One that wants no requests now cannot stand in for an ejected one.
            if state.hold_off(now).is_zero() {
                counts.add(state.outlier.ejection(now));
            }
            capacity[state.region] += state.slots();
        }
        let shares = self.shares(query, &capacity);
        let mut best: SmallVec<[(f64, usize); MAX_CANDIDATES]> = SmallVec::new();
        for (index, state) in service.endpoints.iter().enumerate() {
            let is_allowed =
                counts.is_allowed(state.outlier.ejection(now)) || state.outlier.is_probe_due(now);
            let is_excluded =
                !state.hold_off(now).is_zero() || query.attempted.contains(&state.key);
            if !is_allowed || is_excluded || !is_eligible(state) {
                continue;
            }
            let weight = shares[state.region] * state.slots() / capacity[state.region].max(1.0);
            // An endpoint of a region without a share comes last, to be used if there is no other.
            let score = rendezvous_score(query.object, state.key.0, weight.max(MIN_WEIGHT));
            let position = best.iter().position(|(other, _)| score > *other).unwrap_or(best.len());
            if position < MAX_CANDIDATES {
                best.truncate(MAX_CANDIDATES - 1);
                best.insert(position, (score, index));
            }
        }
        let mut candidates: SmallVec<[usize; MAX_CANDIDATES]> =
            best.into_iter().map(|(_score, index)| index).collect();
        if let Some(connected) = query.connected {
            candidates.truncate(if connected.is_preferred_only { 1 } else { MAX_CANDIDATES });
            candidates.retain(|index| connected.keys.contains(&service.endpoints[*index].key));
        }
        candidates
    }

    /// Returns whether requests of a route may be sent to an endpoint, apart from its ejection and
    /// the pause or limit that it stated.
    fn is_eligible(
        &self,
        now: PolicyTime,
        query: &EndpointQuery<'_>,
        state: &EndpointState,
    ) -> bool {
        state.accepts_requests(now)
            && !self.evacuated.contains(&state.record.domain)
            && self.is_home(query, &state.record.domain)
    }

    /// Returns the refusal if no endpoint may be chosen. If endpoints have asked for a pause or state
    /// a limit, it ends when the first of them may get a request.
    fn refuse_without_candidates(
        &self,
        now: PolicyTime,
        query: &EndpointQuery<'_>,
    ) -> ChoiceRefusal {
        let endpoints = self.services.get(query.service).map(|service| &service.endpoints);
        let held_off = endpoints
            .into_iter()
            .flatten()
            .map(|state| (state.hold_off(now), now < state.stated.paused_until, state))
            .filter(|(wait, _, state)| !wait.is_zero() && self.is_eligible(now, query, state));
        match held_off.min_by_key(|(wait, ..)| *wait) {
            Some((wait, true, _)) => refuse(ChoiceRefusalReason::Paused, wait),
            Some((wait, false, _)) => refuse(ChoiceRefusalReason::Limited, wait),
            None => refuse(ChoiceRefusalReason::NoEndpoint, NO_ENDPOINT_RETRY_AFTER),
        }
    }

    /// Returns the shares of this instance's demand by region. The extra entry for unknown failure
    /// domains has a share only if no region has any capacity.
    fn shares(&self, query: &EndpointQuery<'_>, capacity: &[f64]) -> RegionShares {
        let known = &capacity[..self.region_names.len()];
        let service = query.service;
        let service_state = self.services.get(service);
        let free = match service_state {
            Some(state) if !query.is_bound() => {
                state.homed.free_capacity(known, known.iter().sum())
            }
            _ => known.into(),
        };
        let mut shares = region_shares(self.own_region, &free);
        if let Some(state) = service_state.filter(|_| self.follows_demand(service)) {
            shares = state.shift.apply(&shares, known);
        }
        let has_known_region = known.iter().any(|slots| *slots > 0.0);
        shares.push(if has_known_region { 0.0 } else { 1.0 });
        shares
    }

    /// Picks the first candidate that is not held back by its cold rate, or, if the route is not
    /// sticky, the less loaded of the first two. Returns its rank and index.
    ///
    /// If the preferred endpoint is full, the request goes to the next one only if that one is nearly
    /// idle. The object is cold there and the work takes several times as long. Under general
    /// overload every object would soon be cold everywhere, and the overload would outlast its cause.
    fn pick(
        &mut self,
        now: PolicyTime,
        query: &EndpointQuery<'_>,
        candidates: &[usize],
        has_idle: &dyn Fn(EndpointKey) -> bool,
    ) -> Result<(usize, usize), ChoiceRefusal> {
        let is_high = query.priority() <= LOWEST_HIGH_PRIORITY;
        let limit = if is_high { MAX_LOAD_HIGH_PRIORITY } else { MAX_LOAD_LOW_PRIORITY };
        if let Some(member) = self.pick_by_wait(now, query, candidates, has_idle) {
            return Ok(member);
        }
        let mut ranked = candidates.iter().copied().enumerate();
        let own = ranked.find(|(_, index)| self.is_within_cold_rate(now, query.service, *index));
        let Some((rank, index)) = own else {
            return Err(refuse(ChoiceRefusalReason::Cold, COLD_RETRY_AFTER));
        };
        let load = self.load_of(now, query.service, index);
        let next = ranked.find(|(_, index)| self.is_warm(now, query.service, *index));
        let next_load =
            next.map_or(f64::INFINITY, |(_, next)| self.load_of(now, query.service, next));
        let is_next_better = if query.route.is_sticky {
            load >= limit && next_load < MAX_SPILLOVER_LOAD
        } else {
            next_load < load
        };
        match next {
            Some(next) if is_next_better => Ok(next),
            // Requests of services with estimates are limited by their expected wait instead.
            _ if load < limit || self.admission_work(query.service).is_some() => Ok((rank, index)),
            _ => {
                let report_age = self.report_age(now, query.service, index);
                let load = Some(LoadView { load, limit, report_age });
                Err(ChoiceRefusal { load, ..refuse(ChoiceRefusalReason::Full, FULL_RETRY_AFTER) })
            }
        }
    }

    /// Picks the endpoint with the least expected time. Returns `None` if there is no estimate, or
    /// if the preferred endpoint is cold, which its cold rate then decides. Whether the request may wait
    /// there is decided by its admission.
    fn pick_by_wait(
        &self,
        now: PolicyTime,
        query: &EndpointQuery<'_>,
        candidates: &[usize],
        has_idle: &dyn Fn(EndpointKey) -> bool,
    ) -> Option<(usize, usize)> {
        let set = self.endpoint_set(now, query, candidates, has_idle)?;
        set.first().filter(|first| first.rank == 0)?;
        select_member(&set).map(|member| (member.rank, member.index))
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
        state.map_or(f64::INFINITY, |state| state.held_requests(now) / state.slots())
    }

    /// Returns whether an endpoint is warm or this instance's share of its cold rate is not used up,
    /// in which case one request is taken from the share.
    fn is_within_cold_rate(&mut self, now: PolicyTime, service: &str, index: usize) -> bool {
        // Requests that an earlier process of this instance sent in the same second count as well.
        let is_recently_started =
            self.first_endpoint_at.is_none_or(|at| now.since(at) <= COLD_WINDOW);
        let share = if is_recently_started { 0.0 } else { self.cold_share_of(service, index) };
        let service = self.services.get_mut(service);
        let Some(state) = service.and_then(|state| state.endpoints.get_mut(index)) else {
            return false;
        };
        now >= state.cold_until || state.rate_limiter.take(now, share)
    }

    fn cold_share_of(&self, service: &str, index: usize) -> f64 {
        let endpoint = self.services.get(service).and_then(|state| state.endpoints.get(index));
        match (endpoint, self.service_record(service)) {
            (Some(state), Some(record)) => {
                cold_share(&state.id, &self.own, self.instances.names(), record, &self.bounds)
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

    /// Returns whether a request may be served in a failure domain. The homes of its route and of its
    /// team both apply.
    fn is_home(&self, query: &EndpointQuery<'_>, domain: &str) -> bool {
        let region = self.regions.get(domain);
        let is_allowed = |homes: &[String]| {
            homes.is_empty() || region.is_some_and(|region| homes.contains(region))
        };
        is_allowed(&query.route.homes) && query.team.is_none_or(|team| is_allowed(&team.homes))
    }
}
