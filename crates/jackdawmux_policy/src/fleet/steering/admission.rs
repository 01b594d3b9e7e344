//! Admission of requests at the chosen endpoint, for services whose endpoints state how long work
//! takes and for deployments with pressure.

use std::time::Duration;

use super::super::admission::{AdmissionCase, admit};
use super::super::choice::{ChoiceRefusal, ChoiceRefusalReason, EndpointQuery, WaitView, refuse};
use super::super::fair_share::ShareKey;
use super::FleetSteering;
use crate::clock::PolicyTime;

/// Age of the latest sample up to which the work alone may show that a request cannot end before its
/// deadline. Otherwise a wrong estimate could refuse the requests that would correct it.
const WORK_SAMPLE_AGE: Duration = Duration::from_secs(2);

impl FleetSteering {
    /// Returns the usual work of a service if its requests are admitted by expected wait; `None` if
    /// that is off or there is no estimate yet.
    pub(super) fn admission_work(&self, service: &str) -> Option<Duration> {
        self.usual_work(service).filter(|_| self.is_steered_by_wait(service))
    }

    /// Decides whether a request may wait for an endpoint. Requests of services without estimates
    /// are always admitted here.
    pub(super) fn admit(
        &mut self,
        now: PolicyTime,
        query: &EndpointQuery<'_>,
        index: usize,
    ) -> Result<(), ChoiceRefusal> {
        let Some(work) = self.admission_work(query.service) else {
            return Ok(());
        };
        let wait = self.known_wait(now, query.service, index);
        let Some(service) = self.services.get_mut(query.service) else {
            return Ok(());
        };
        let (priority, target) = (query.priority(), query.route.target_latency);
        service.kinds.record(now, priority, target);
        let deadline = query.deadline.unwrap_or_else(|| now + query.route.timeout);
        let key = ShareKey::of(query.team);
        let is_recent = now.since(service.work_sampled_at) <= WORK_SAMPLE_AGE;
        let case = AdmissionCase {
            urgency: service.kinds.view(now, priority, target),
            wait,
            work,
            time_left: deadline.since(now),
            standing: service.shares.standing(now, key),
        };
        let decision = admit(&case).or_else(|refusal| {
            let is_doubtful = refusal.reason == ChoiceRefusalReason::Deadline
                && !is_recent
                && wait <= case.time_left;
            if is_doubtful { Ok(()) } else { Err(refusal) }
        });
        // A further attempt of a request is not a further request of the team.
        if !query.is_retry {
            service.shares.record(now, key, decision.is_ok());
        }
        decision.map_err(|refusal| ChoiceRefusal {
            max_retry_after: Some(refusal.max_retry),
            wait: Some(WaitView { wait, limit: refusal.limit, work }),
            ..refuse(refusal.reason, refusal.min_retry)
        })
    }

    /// Counts an admitted request as in progress. Returns the key with which it ends; `None` if it is
    /// not counted.
    pub(super) fn start_share(&mut self, query: &EndpointQuery<'_>) -> Option<ShareKey> {
        self.admission_work(query.service)?;
        let key = ShareKey::of(query.team);
        let service = self.services.get_mut(query.service)?;
        service.shares.start(key).then_some(key)
    }

    /// Ends a request that was counted in the share of its team.
    pub fn end_share(&mut self, service: &str, key: ShareKey) {
        if let Some(service) = self.services.get_mut(service) {
            service.shares.end(key);
        }
    }
}
