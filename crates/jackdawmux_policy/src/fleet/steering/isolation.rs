//! What follows from attempts for the reachability of the endpoints as a whole.

use std::time::Duration;

use smallvec::SmallVec;

use super::super::choice::EndpointKey;
use super::super::endpoint_state::{EndpointState, FailureBaseline};
use super::super::outlier::AttemptOutcome;
use super::super::reachability::{MAX_PROBES, ProbeTarget, ProbeTargets, ReachabilityTracker};
use super::FleetSteering;
use crate::clock::PolicyTime;

/// Time before the first failed connection in which a partition may already have ended requests.
const ISOLATION_ONSET: Duration = Duration::from_secs(1);

impl FleetSteering {
    /// Returns whether the endpoints can be reached.
    #[must_use]
    pub const fn reachability(&self) -> &ReachabilityTracker {
        &self.reachability
    }

    /// Records that a connection to an endpoint was opened. Returns whether it ends an isolation.
    pub fn record_connected(&mut self, now: PolicyTime) -> bool {
        self.crashes.record_connected(now);
        self.reachability.record_connected(now)
    }

    /// Starts a round of probes if one is due. Returns the endpoints to connect to, at most one of a
    /// failure domain; none if no round is due. `draw` is a random number.
    pub fn start_probe_round(&mut self, now: PolicyTime, draw: usize) -> ProbeTargets {
        let usable: Vec<&EndpointState> = self
            .services
            .values()
            .flat_map(|service| &service.endpoints)
            .filter(|state| self.may_probe(now, state))
            .collect();
        let mut targets = ProbeTargets::new();
        if usable.is_empty() || !self.reachability.start_round(now, usable.len()) {
            return targets;
        }
        let mut domains: SmallVec<[&str; MAX_PROBES]> = SmallVec::new();
        for state in usable.iter().cycle().skip(draw % usable.len()).take(usable.len()) {
            let domain = state.record.domain.as_str();
            if domains.len() == MAX_PROBES || domains.contains(&domain) {
                continue;
            }
            domains.push(domain);
            targets.push(ProbeTarget { key: state.key, address: state.record.address });
        }
        targets
    }

    /// Records that no peer is known that reaches the endpoints, or that the update source is lost.
    pub const fn record_alone(&mut self) {
        self.reachability.record_alone();
    }

    /// Records that no endpoint of a round of probes could be connected to. Returns whether this
    /// instance counts as isolated from now on.
    pub fn record_failed_round(&mut self, now: PolicyTime) -> bool {
        let is_new = self.reachability.record_failed_round(now);
        if is_new {
            self.crashes.record_isolation();
            self.readmit_endpoints();
        }
        is_new
    }

    /// Ends the recovery after an isolation when its time is over. Returns whether it has ended now.
    ///
    /// `keeps_warm` says that peers reached the endpoints and registrations arrived all the while:
    /// endpoints that have restarted are then known, and the others do not count as cold.
    pub fn take_recovered(&mut self, now: PolicyTime, keeps_warm: bool) -> bool {
        let is_over = self.reachability.take_recovered(now);
        if is_over && keeps_warm {
            self.for_each_failed_endpoint(|state, before| {
                state.cold_after_recovery = before.cold_after_recovery;
            });
        }
        is_over
    }

    /// Undoes the ejections that the isolation has caused.
    fn readmit_endpoints(&mut self) {
        self.for_each_failed_endpoint(|state, before| state.outlier = before.outlier.clone());
    }

    /// Applies a change to the endpoints whose failures began with the isolation or after.
    fn for_each_failed_endpoint(&mut self, change: impl Fn(&mut EndpointState, &FailureBaseline)) {
        let began_at = self.reachability.failing_since();
        let endpoints = self.services.values_mut().flat_map(|service| &mut service.endpoints);
        for state in endpoints {
            if let Some(before) = state.before_failures.clone()
                && before.at + ISOLATION_ONSET >= began_at
            {
                change(state, &before);
            }
        }
    }

    pub(super) fn record_reach(
        &mut self,
        now: PolicyTime,
        endpoint: EndpointKey,
        outcome: AttemptOutcome,
    ) {
        match outcome {
            AttemptOutcome::Unreachable | AttemptOutcome::Silent => {
                self.reachability.record_failed(now, endpoint);
            }
            AttemptOutcome::Answered(_)
            | AttemptOutcome::Failed
            | AttemptOutcome::Shed
            | AttemptOutcome::Misdirected => self.reachability.record_response(now),
            AttemptOutcome::Lost | AttemptOutcome::TimedOut(_) | AttemptOutcome::Cancelled => {}
        }
    }

    fn may_probe(&self, now: PolicyTime, state: &EndpointState) -> bool {
        state.accepts_requests(now)
            && state.hold_off(now).is_zero()
            && !self.evacuated.contains(&state.record.domain)
    }
}
