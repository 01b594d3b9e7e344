//! Counts an attempt at its endpoint until it ends, even if the request is dropped.

use std::sync::Arc;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::choice::{EndpointChoice, EndpointKey, LoadReport};
use jackdawmux_policy::fleet::fair_share::ShareKey;
use jackdawmux_policy::fleet::outlier::AttemptOutcome;

use crate::process::FrontState;
use crate::upstream::PooledConnection;

/// One attempt in progress. Dropping it records it as cancelled, or as timed out after the
/// deadline.
#[derive(Debug)]
pub(crate) struct AttemptGuard {
    state: Arc<FrontState>,
    service: String,
    endpoint: EndpointKey,
    started: PolicyTime,
    deadline: PolicyTime,
    load: Option<LoadReport>,
    share: Option<ShareKey>,
    /// Whether the object is warm at the endpoint, as far as this instance knows. The latency of a
    /// cold object does not reflect the endpoint's health and is not recorded.
    is_warm: bool,
    is_finished: bool,
    /// The choice that the attempt follows; none if it was made at a peer, whose endpoints are its own
    /// concern.
    choice: Option<EndpointChoice>,
}

impl AttemptGuard {
    pub(crate) fn new(
        state: &Arc<FrontState>,
        service: &str,
        choice: &EndpointChoice,
        deadline: PolicyTime,
    ) -> Self {
        Self {
            started: state.clock.now(),
            state: Arc::clone(state),
            service: service.to_owned(),
            endpoint: choice.key,
            deadline,
            load: None,
            share: choice.share,
            is_warm: choice.is_warm,
            is_finished: false,
            choice: Some(choice.clone()),
        }
    }

    /// A guard of an attempt at a peer, which counts at no endpoint.
    pub(crate) fn for_peer(state: &Arc<FrontState>, deadline: PolicyTime) -> Self {
        Self {
            started: state.clock.now(),
            state: Arc::clone(state),
            service: String::new(),
            endpoint: EndpointKey(0),
            deadline,
            load: None,
            share: None,
            is_warm: false,
            is_finished: false,
            choice: None,
        }
    }

    /// Returns a connection to the pool that it was taken from.
    pub(crate) fn release(&self, connection: PooledConnection) {
        let pool = if self.choice.is_some() { &self.state.pool } else { &self.state.peers };
        pool.release(connection);
    }

    /// Records the load that the response reports.
    pub(crate) const fn record_load(&mut self, load: Option<LoadReport>) {
        self.load = load;
    }

    /// Records that a complete response was read, and returns its connection to the pool.
    pub(crate) fn finish_answered(mut self, connection: PooledConnection) {
        let now = self.state.clock.now();
        let latency = now.since(self.started);
        self.release(connection);
        self.finish_once(AttemptOutcome::Answered(self.is_warm.then_some(latency)));
        if let Some(choice) = &self.choice {
            self.state.steering().record_answer(now, &self.service, choice, latency);
        }
    }

    /// Records that the connection ended or became unresponsive before the response was complete.
    pub(crate) fn finish_lost(self) {
        self.finish(AttemptOutcome::Lost);
    }

    /// Records the outcome of the attempt.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.finish_once(outcome);
    }

    fn finish_once(&mut self, outcome: AttemptOutcome) {
        if std::mem::replace(&mut self.is_finished, true) || self.choice.is_none() {
            return;
        }
        let now = self.state.clock.now();
        let mut steering = self.state.steering();
        let is_ejected = steering.finish(now, &self.service, self.endpoint, outcome, self.load);
        if let Some(share) = self.share {
            steering.end_share(&self.service, share);
        }
        if matches!(outcome, AttemptOutcome::Unreachable | AttemptOutcome::Silent) {
            self.state.probe_due.notify_one();
        }
        if is_ejected {
            let behaviour = steering.behaviour(&self.service, self.endpoint);
            let (id, failures, latency_ms) = behaviour.unwrap_or_default();
            log::info!(
                "event=endpoint-set-aside endpoint={id} service={} cause={outcome:?} \
                 failure_share={failures:.2} latency_ms={latency_ms:.0}",
                self.service,
            );
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.state.clock.now();
        let outcome = if now >= self.deadline {
            AttemptOutcome::TimedOut(self.is_warm.then(|| now.since(self.started)))
        } else {
            AttemptOutcome::Cancelled
        };
        self.finish_once(outcome);
    }
}
