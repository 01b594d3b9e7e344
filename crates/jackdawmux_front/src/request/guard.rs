//! Counts a send at its endpoint until it ends, whatever becomes of the request.

use std::sync::Arc;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::choice::{EndpointChoice, EndpointKey, LoadReport};
use jackdawmux_policy::fleet::outlier::AttemptOutcome;

use crate::process::FrontState;
use crate::upstream::PooledConnection;

/// One send in progress; dropping it counts it as cancelled, or as timed out after the deadline.
#[derive(Debug)]
pub(crate) struct SendGuard {
    state: Arc<FrontState>,
    service: String,
    endpoint: EndpointKey,
    begun: PolicyTime,
    deadline: PolicyTime,
    load: Option<LoadReport>,
    /// Whether the endpoint has had the object before, as far as this instance knows.
    is_known: bool,
    is_finished: bool,
}

impl SendGuard {
    pub(crate) fn new(
        state: &Arc<FrontState>,
        service: &str,
        choice: &EndpointChoice,
        deadline: PolicyTime,
    ) -> Self {
        Self {
            begun: state.clock.now(),
            state: Arc::clone(state),
            service: service.to_owned(),
            endpoint: choice.key,
            deadline,
            load: None,
            is_known: choice.is_warm,
            is_finished: false,
        }
    }

    /// Notes the load that the answer reports.
    pub(crate) const fn note_load(&mut self, load: Option<LoadReport>) {
        self.load = load;
    }

    /// A whole answer was read; its connection may carry another request.
    pub(crate) fn finish_answered(self, connection: PooledConnection) {
        let latency = self.state.clock.now().since(self.begun);
        self.state.pool.give_back(connection);
        let latency = self.is_known.then_some(latency);
        self.finish(AttemptOutcome::Answered(latency));
    }

    /// The connection ended or went silent.
    pub(crate) fn finish_lost(self) {
        self.finish(AttemptOutcome::Lost);
    }

    /// The send ended.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: AttemptOutcome) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        let now = self.state.clock.now();
        let mut steering = self.state.steering();
        let is_aside = steering.finish(now, &self.service, self.endpoint, outcome, self.load);
        if is_aside {
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

impl Drop for SendGuard {
    fn drop(&mut self) {
        let now = self.state.clock.now();
        let outcome = if now >= self.deadline {
            AttemptOutcome::TimedOut(self.is_known.then(|| now.since(self.begun)))
        } else {
            AttemptOutcome::Cancelled
        };
        self.end(outcome);
    }
}
