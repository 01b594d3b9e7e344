//! Each request by itself: what was run, and what its caller got.

use std::collections::BTreeMap;
use std::time::Duration;

use jackdawmux_platform_standins::manifest::{MAX_ATTEMPTS, ROUTE_TIMEOUT};

use super::{RunChecker, SoakPromise};
use crate::record::{RequestKind, RequestOutcome, RequestRecord};

/// Time after a route's timeout by which its answer is there.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Requests that stay unanswered so long may be a few; below this number nothing is concluded.
const FEW_LATE: usize = 8;
/// Proper requests that may be ended with a failure of the caller's making.
const FEW_DENIED: usize = 5;

impl<'run> RunChecker<'_, 'run> {
    pub(super) fn check_requests_unchanged(&mut self) {
        let odd: Vec<String> = self
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
        for detail in odd {
            self.report(SoakPromise::RequestIsUnchanged, detail);
        }
    }

    pub(super) fn check_runs(&mut self) {
        let mut runs: BTreeMap<&str, (usize, &RequestRecord)> = BTreeMap::new();
        for arrival in self.arrivals.iter().filter(|arrival| arrival.arrival.is_run) {
            if let Some(request) = arrival.request {
                runs.entry(request.attempt_id.as_str()).or_insert((0, request)).0 += 1;
            }
        }
        let mut found = Vec::new();
        for (attempt, (count, request)) in runs {
            let detail = |what: &str| {
                format!("{attempt} at front {} {what}: ran {count} times", request.front)
            };
            if request.kind == RequestKind::Payment && count > 1 {
                found.push((SoakPromise::RunsOnce, detail("must not be repeated")));
            }
            if count > MAX_ATTEMPTS {
                found.push((SoakPromise::AttemptsAreBounded, detail("has two attempts")));
            }
            let is_refused = matches!(request.status(), 408 | 421 | 429 | 503);
            if is_refused && request.kind == RequestKind::Payment {
                found.push((SoakPromise::RefusalIsTrue, detail("was refused")));
            }
        }
        for (promise, detail) in found {
            self.report(promise, detail);
        }
    }

    pub(super) fn check_answers(&mut self) {
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

    pub(super) fn check_denied(&mut self) {
        let denied: Vec<String> = self
            .observations
            .requests
            .iter()
            .filter(|request| !matches!(request.kind, RequestKind::Probe { .. }))
            .filter(|request| matches!(request.status(), 300..500))
            .filter(|request| !matches!(request.status(), 408 | 421 | 429))
            .map(|request| format!("{} got {}", request.attempt_id, request.status()))
            .collect();
        if denied.len() > FEW_DENIED {
            self.report(SoakPromise::ProperIsServed, denied.join(", "));
        }
    }

    pub(super) fn check_timeouts(&mut self) {
        let disturbances = self.observations.disturbances;
        let waiting: Vec<&RequestRecord> = self
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
        let late =
            waiting.iter().filter(|request| request.elapsed() > ROUTE_TIMEOUT + ANSWER_SLACK);
        let late: Vec<&str> = late.map(|request| request.attempt_id.as_str()).collect();
        if late.len() >= FEW_LATE && late.len() * 2 > waiting.len() {
            let detail = format!("{} of {}: {}", late.len(), waiting.len(), late.join(", "));
            self.report(SoakPromise::AnswerIsInTime, detail);
        }
    }
}
