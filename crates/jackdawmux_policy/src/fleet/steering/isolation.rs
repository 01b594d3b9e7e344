//! What follows from attempts for the reachability of the endpoints as a whole.

use smallvec::SmallVec;

use super::super::choice::EndpointKey;
use super::super::endpoint_state::EndpointState;
use super::super::outlier::AttemptOutcome;
use super::super::reachability::{MAX_PROBES, ProbeTarget, ProbeTargets, ReachabilityTracker};
use super::FleetSteering;
use crate::clock::PolicyTime;

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

    /// Records that no endpoint of a round of probes could be connected to. Returns whether this
    /// instance counts as isolated from now on.
    pub fn record_failed_round(&mut self, now: PolicyTime) -> bool {
        let is_new = self.reachability.record_failed_round(now);
        if is_new {
            self.crashes.record_isolation();
        }
        is_new
    }

    /// Ends the recovery after an isolation when its time is over. Returns whether it has ended now.
    pub fn take_recovered(&mut self, now: PolicyTime) -> bool {
        self.reachability.take_recovered(now)
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
