//! Applies registrations, evacuations and the state of the update source to the fleet.

use std::collections::HashSet;
use std::time::Duration;

use super::super::choice::EndpointKey;
use super::super::endpoint_state::{EndpointChange, EndpointState, describe_change};
use super::super::notices::EndpointIncarnation;
use super::super::position::{SourcePosition, WatchTopic};
use super::super::record::{EndpointPhase, EndpointRecord};
use super::super::restore::SETTLE_TIME;
use super::{FleetSteering, SourceOutage};
use crate::clock::PolicyTime;

/// Time after the recovery of the update source within which registrations that expired during the
/// outage are renewed.
const LAPSE_GRACE: Duration = Duration::from_millis(2_100);

impl FleetSteering {
    /// Records that the update source replies again after an outage. Registrations that are missing
    /// now may have expired during the outage and may be renewed.
    pub fn record_source_recovery(&mut self, now: PolicyTime, outage: Duration) {
        if self.outage.is_some_and(|known| known.is_restore && now < known.ended_at + LAPSE_GRACE) {
            return;
        }
        let started_at = now.before(outage);
        self.outage = Some(SourceOutage { started_at, ended_at: now, is_restore: false });
    }

    /// Records that a peer has been connected to the update source for the time `held`. If that
    /// covers the outage seen by this instance, the source was available throughout, so missing
    /// registrations have really been removed.
    pub fn record_peer_source_connection(&mut self, now: PolicyTime, held: Duration) {
        let Some(outage) = self.outage else {
            return;
        };
        if outage.is_restore || now.before(held) > outage.started_at {
            return;
        }
        self.outage = None;
        for state in self.services.values_mut().flat_map(|service| &mut service.endpoints) {
            state.lapses_at = state.lapses_at.map(|end| end.min(now));
        }
    }

    /// Records the position of a batch of updates before they are applied. Returns `false` if the
    /// batch belongs to an era that has ended and must be ignored.
    pub fn record_position(
        &mut self,
        now: PolicyTime,
        topic: WatchTopic,
        position: SourcePosition,
    ) -> bool {
        if self.restore.is_past_era(position) {
            return false;
        }
        if self.restore.record_position(now, topic, position) {
            self.outage = Some(SourceOutage { started_at: now, ended_at: now, is_restore: true });
        }
        true
    }

    /// Returns whether the update source has come back from an older copy and objects may still be
    /// written again.
    #[must_use]
    pub fn is_settling(&self, now: PolicyTime) -> bool {
        self.restore.is_settling(now)
    }

    /// Returns `true` once after each restore, when the full lists hold again and must be read.
    pub fn take_settled(&mut self, now: PolicyTime) -> bool {
        self.restore.take_settled(now)
    }

    /// Applies the registration of an endpoint that was written at a position. A registration that
    /// may come from an older copy does not undo what is known of the endpoint.
    pub fn apply_written_endpoint(
        &mut self,
        now: PolicyTime,
        record: EndpointRecord,
        written_at: SourcePosition,
    ) -> EndpointChange {
        let is_copied = self.restore.is_copied(now, WatchTopic::Endpoints, written_at);
        if is_copied && self.is_outdated(now, &record) {
            return EndpointChange::Same;
        }
        self.apply_endpoint(now, record)
    }

    /// Returns whether a copied registration is older than what is known of its endpoint.
    fn is_outdated(&self, now: PolicyTime, record: &EndpointRecord) -> bool {
        let key = EndpointKey::of(&record.id);
        let mut endpoints = self.services.values().flat_map(|service| &service.endpoints);
        match endpoints.find(|state| state.key == key) {
            None => self.restore.is_removed(now, record),
            Some(state) if record.started_ms != state.record.started_ms => {
                record.started_ms < state.record.started_ms
            }
            Some(state) => {
                state.record.phase == EndpointPhase::Draining
                    && record.phase == EndpointPhase::Ready
            }
        }
    }

    /// Applies the registration of an endpoint, unless the endpoint is known to have made a later
    /// statement: a write may be executed late, after those that followed it.
    pub fn apply_endpoint(&mut self, now: PolicyTime, record: EndpointRecord) -> EndpointChange {
        let key = EndpointKey::of(&record.id);
        if self.is_superseded(now, &record) {
            let standing = self.standing.entry(key).or_insert_with(|| (record.clone(), now));
            if standing.0 != record {
                *standing = (record, now);
            }
            return EndpointChange::Outdated;
        }
        self.standing.remove(&key);
        self.install_endpoint(now, record)
    }

    /// Returns whether an endpoint has made a later statement than a registration, by its own numbers.
    fn is_superseded(&self, now: PolicyTime, record: &EndpointRecord) -> bool {
        let key = EndpointKey::of(&record.id);
        let mut endpoints = self.services.values().flat_map(|service| &service.endpoints);
        match endpoints.find(|state| state.key == key) {
            Some(state) => record.is_before(&state.record),
            None => self.restore.is_before_removal(now, record),
        }
    }

    /// Applies outdated registrations that have stood for so long that their endpoints must be renewing
    /// them: the numbers of those started anew. `replied_at` is when the source last said what is written.
    pub fn apply_standing(
        &mut self,
        now: PolicyTime,
        replied_at: PolicyTime,
    ) -> Vec<(String, EndpointChange)> {
        let is_renewed =
            |(_, seen_at): &(EndpointRecord, PolicyTime)| replied_at >= *seen_at + SETTLE_TIME;
        let due: Vec<EndpointKey> = self
            .standing
            .iter()
            .filter(|(_, standing)| is_renewed(standing))
            .map(|(key, _)| *key)
            .collect();
        let records = due.iter().filter_map(|key| self.standing.remove(key));
        let records: Vec<EndpointRecord> = records.map(|(record, _)| record).collect();
        let changes = records.into_iter().map(|record| {
            let id = record.id.clone();
            (id, self.install_endpoint(now, record))
        });
        changes.collect()
    }

    fn install_endpoint(&mut self, now: PolicyTime, record: EndpointRecord) -> EndpointChange {
        let key = EndpointKey::of(&record.id);
        self.first_endpoint_at.get_or_insert(now);
        self.remove_from_other_services(key, &record.service);
        let region = self.region_index(&record.domain);
        let stated =
            self.notices.stated(EndpointIncarnation { key, started_ms: record.started_ms });
        let service = self.services.entry(record.service.clone()).or_default();
        let Some(state) = service.endpoints.iter_mut().find(|state| state.key == key) else {
            let mut state = EndpointState::new(record, region, now);
            state.apply_notice(now, stated, &self.own, self.instances.names());
            service.endpoints.push(state);
            return EndpointChange::Joined;
        };
        state.lapses_at = None;
        let change = describe_change(&state.record, &record);
        if change == EndpointChange::Restarted {
            self.crashes.record_endpoint_down(now, key);
        }
        let mut record = record;
        if change == EndpointChange::Restarted && record.sequence >= state.record.sequence {
            // The status may still be that of the previous incarnation, whose count goes on.
            record.sequence = None;
        }
        if change == EndpointChange::Restarted || state.record.address != record.address {
            let in_flight = state.in_flight;
            *state = EndpointState::new(record, region, now);
            state.apply_notice(now, stated, &self.own, self.instances.names());
            state.in_flight = in_flight;
            return change;
        }
        state.record = record;
        state.apply_cold_start(now);
        change
    }

    /// Removes an endpoint whose registration is missing. After an outage of the update source a
    /// ready endpoint is kept for a grace period.
    pub fn remove_endpoint(&mut self, now: PolicyTime, id: &str) -> EndpointChange {
        let key = EndpointKey::of(id);
        self.standing.remove(&key);
        let lapse_end = self.outage.map(|outage| outage.ended_at + LAPSE_GRACE);
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
            let removed = service.endpoints.swap_remove(index);
            self.restore.record_removed(now, &removed.record);
            return EndpointChange::Left;
        }
        EndpointChange::Same
    }

    /// Replaces the endpoints by a complete list of registrations, each with the position at which
    /// it was written. Returns the endpoints that changed.
    pub fn replace_endpoints(
        &mut self,
        now: PolicyTime,
        records: Vec<(EndpointRecord, SourcePosition)>,
    ) -> Vec<(String, EndpointChange)> {
        let listed: HashSet<String> =
            records.iter().map(|(record, _written_at)| record.id.clone()).collect();
        self.standing.retain(|_, (record, _)| listed.contains(&record.id));
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
        for (record, written_at) in records {
            let id = record.id.clone();
            let change = self.apply_written_endpoint(now, record, written_at);
            if change != EndpointChange::Same {
                changes.push((id, change));
            }
        }
        changes
    }

    /// Starts or ends the evacuation of a failure domain. Its endpoints are cold after the end.
    pub fn set_evacuated(&mut self, now: PolicyTime, domain: &str, is_evacuated: bool) {
        if is_evacuated {
            self.evacuated.insert(domain.to_owned());
        } else if self.evacuated.remove(domain) {
            self.mark_domain_cold(now, domain);
        }
    }

    /// Replaces the evacuated failure domains by a complete list. While objects are written again
    /// after a restore, evacuations that are missing from the list stay in force.
    pub fn replace_evacuated(&mut self, now: PolicyTime, domains: &[String]) {
        if self.is_settling(now) {
            self.evacuated.extend(domains.iter().cloned());
            return;
        }
        let returned: Vec<String> =
            self.evacuated.iter().filter(|domain| !domains.contains(domain)).cloned().collect();
        for domain in returned {
            self.set_evacuated(now, &domain, false);
        }
        self.evacuated.extend(domains.iter().cloned());
    }

    fn remove_from_other_services(&mut self, key: EndpointKey, service: &str) {
        for (name, state) in &mut self.services {
            if name != service {
                state.endpoints.retain(|endpoint| endpoint.key != key);
            }
        }
    }

    fn mark_domain_cold(&mut self, now: PolicyTime, domain: &str) {
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
