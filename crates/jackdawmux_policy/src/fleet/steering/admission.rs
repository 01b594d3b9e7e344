//! Admission of requests at the chosen endpoint, for services whose endpoints state how long work
//! takes and for deployments with pressure.

use std::time::Duration;

use super::super::admission::{AdmissionCase, admit};
use super::super::choice::{
    ChoiceRefusal, ChoiceRefusalReason, EndpointQuery, LoadReport, WaitView, refuse,
};
use super::super::fair_share::ShareKey;
use super::super::outlier::AttemptOutcome;
use super::FleetSteering;
use crate::clock::PolicyTime;

/// Weight of one response in the usual work, which covers about the last twenty responses.
const WORK_WEIGHT: f64 = 0.05;
/// Maximum sample as a multiple of the usual work. Up to 3 % of the work takes 7 times as long.
const MAX_WORK_SAMPLE: f64 = 2.5;
/// Age of the latest sample up to which the work alone may show that a request cannot end before its
/// deadline. Otherwise a wrong estimate could refuse the requests that would correct it.
const WORK_SAMPLE_AGE: Duration = Duration::from_secs(2);

/// Work of a request at an endpoint that has the object, on a machine of usual speed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WorkEstimate {
    usual_ms: f64,
    sampled_at: PolicyTime,
    /// Whether an endpoint of the service has stated how long work takes.
    is_stated: bool,
}

impl WorkEstimate {
    /// Records a response. Its latency is a sample of the work if no request waited at the endpoint.
    pub(super) fn record(
        &mut self,
        now: PolicyTime,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        let Some(report) = report else {
            return;
        };
        self.is_stated |= report.work_percent.is_some();
        let AttemptOutcome::Answered(Some(latency)) = outcome else {
            return;
        };
        if report.waiting > 0 {
            return;
        }
        let percent = report.work_percent.unwrap_or(100).max(1);
        let sample = latency.as_secs_f64() * 1e5 / f64::from(percent);
        if self.usual_ms > 0.0 {
            let sample = sample.min(MAX_WORK_SAMPLE * self.usual_ms);
            self.usual_ms += WORK_WEIGHT * (sample - self.usual_ms);
        } else {
            self.usual_ms = sample;
        }
        self.sampled_at = now;
    }
}

impl FleetSteering {
    /// Returns the usual work of a service if its requests are admitted by expected wait; `None` if
    /// that is off or there is no estimate yet.
    pub(super) fn usual_work(&self, service: &str) -> Option<Duration> {
        let estimate = self.services.get(service)?.work;
        let is_on = self.bounds.has_pressure || estimate.is_stated;
        (is_on && estimate.usual_ms > 0.0).then(|| Duration::from_secs_f64(estimate.usual_ms / 1e3))
    }

    /// Returns the time until an endpoint is expected to start a further request.
    fn expected_wait(&self, now: PolicyTime, service: &str, index: usize) -> Duration {
        let work = self.usual_work(service).unwrap_or_default();
        let state = self.services.get(service).and_then(|state| state.endpoints.get(index));
        let excess = state
            .map_or(0.0, |state| (state.held_requests(now) - state.slots() + 1.0) / state.slots());
        work.mul_f64(excess.max(0.0))
    }

    /// Decides whether a request may wait for an endpoint. Requests of services without estimates
    /// are always admitted here.
    pub(super) fn admit(
        &mut self,
        now: PolicyTime,
        query: &EndpointQuery<'_>,
        index: usize,
    ) -> Result<(), ChoiceRefusal> {
        let Some(work) = self.usual_work(query.service) else {
            return Ok(());
        };
        let wait = self.expected_wait(now, query.service, index);
        let Some(service) = self.services.get_mut(query.service) else {
            return Ok(());
        };
        let (priority, target) = (query.priority(), query.route.target_latency);
        service.kinds.record(now, priority, target);
        let deadline = query.deadline.unwrap_or_else(|| now + query.route.timeout);
        let key = ShareKey::of(query.team);
        let is_recent = now.since(service.work.sampled_at) <= WORK_SAMPLE_AGE;
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
        self.usual_work(query.service)?;
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
