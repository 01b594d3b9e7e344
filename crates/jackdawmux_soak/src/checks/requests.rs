//! Checks of single requests: what endpoints received and executed, and what the caller got.

use std::collections::BTreeMap;
use std::time::Duration;

use jackdawmux_platform_standins::manifest::{MAX_ATTEMPTS, ROUTE_TIMEOUT};

use super::{RunChecker, SoakPromise};
use crate::record::{RequestKind, RequestOutcome, RequestRecord};

/// Time after the timeout of a route within which the response must have arrived.
const RESPONSE_TOLERANCE: Duration = Duration::from_millis(500);
/// Minimum number of late requests that counts as a violation; fewer are not conclusive.
const MIN_LATE_REQUESTS: usize = 8;
/// Number of valid requests that may be rejected as if the caller were at fault.
const MAX_REJECTIONS: usize = 5;

impl<'run> RunChecker<'_, 'run> {
    pub(super) fn check_requests_unchanged(&mut self) {
        let mismatches: Vec<String> = self
            .arrivals
            .iter()
            .filter(|arrival| {
                arrival.request.is_none_or(|request| {
                    request.target != arrival.arrival.target()
                        || request.body != arrival.arrival.body()
                })
            })
            .map(|arrival| {
                format!("{} got {:?}", arrival.endpoint.standin.id, arrival.arrival.text)
            })
            .collect();
        for detail in mismatches {
            self.report(SoakPromise::RequestIsUnchanged, detail);
        }
    }

    pub(super) fn check_executions(&mut self) {
        let mut executions: BTreeMap<&str, (usize, &RequestRecord)> = BTreeMap::new();
        for arrival in self.arrivals.iter().filter(|arrival| arrival.arrival.is_run) {
            if let Some(request) = arrival.request {
                executions.entry(request.attempt_id.as_str()).or_insert((0, request)).0 += 1;
            }
        }
        let mut violations = Vec::new();
        for (attempt_id, (count, request)) in executions {
            let detail = |problem: &str| {
                format!("{attempt_id} at front {} {problem}: ran {count} times", request.front)
            };
            if request.kind == RequestKind::Payment && count > 1 {
                violations.push((SoakPromise::RunsOnce, detail("must run at most once")));
            }
            if count > MAX_ATTEMPTS {
                violations
                    .push((SoakPromise::AttemptsAreBounded, detail("exceeds the attempt limit")));
            }
            let is_refused = matches!(request.status(), 408 | 421 | 429 | 503);
            if is_refused && request.kind == RequestKind::Payment {
                violations.push((SoakPromise::RefusalIsTrue, detail("was refused")));
            }
        }
        for (promise, detail) in violations {
            self.report(promise, detail);
        }
    }

    pub(super) fn check_responses(&mut self) {
        for request in self.observations.requests {
            let Some(response) = request.response().filter(|_| request.status() / 100 == 2) else {
                continue;
            };
            let is_echoed = response.attempt() == request.attempt_id;
            let is_own = response.body().ends_with(&format!(" for {}", request.attempt_id));
            if !(response.is_signed() && is_echoed && is_own) {
                let detail = format!("{} got {:?}", request.attempt_id, response.text);
                self.report(SoakPromise::AnswerIsOwn, detail);
            }
        }
    }

    pub(super) fn check_rejections(&mut self) {
        let rejected: Vec<String> = self
            .observations
            .requests
            .iter()
            .filter(|request| !matches!(request.kind, RequestKind::Probe { .. }))
            .filter(|request| matches!(request.status(), 300..500))
            .filter(|request| !matches!(request.status(), 408 | 421 | 429))
            .map(|request| format!("{} got {}", request.attempt_id, request.status()))
            .collect();
        if rejected.len() > MAX_REJECTIONS {
            self.report(SoakPromise::ProperIsServed, rejected.join(", "));
        }
    }

    pub(super) fn check_timeouts(&mut self) {
        let disturbances = self.observations.disturbances;
        let timed_out: Vec<&RequestRecord> = self
            .observations
            .requests
            .iter()
            .filter(|request| !matches!(request.outcome, RequestOutcome::Abandoned))
            .filter(|request| {
                request.caller_timeout > ROUTE_TIMEOUT && request.elapsed() >= ROUTE_TIMEOUT
            })
            .filter(|request| {
                disturbances.is_connected(request.front, request.sent_at, request.ended_at)
            })
            .collect();
        let late = timed_out
            .iter()
            .filter(|request| request.elapsed() > ROUTE_TIMEOUT + RESPONSE_TOLERANCE);
        let late: Vec<&str> = late.map(|request| request.attempt_id.as_str()).collect();
        if late.len() >= MIN_LATE_REQUESTS && late.len() * 2 > timed_out.len() {
            let detail = format!("{} of {}: {}", late.len(), timed_out.len(), late.join(", "));
            self.report(SoakPromise::AnswerIsInTime, detail);
        }
    }
}
