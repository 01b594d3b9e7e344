//! Checks the promises from what callers and endpoints saw.

mod news;
mod processes;
mod requests;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use jackdawmux_platform_standins::endpoint::EndpointArrival;
use strum::Display;

use crate::disturbance::DisturbanceView;
use crate::fleet::{EventLog, SoakEndpoint};
use crate::record::{LookupRecord, RequestRecord};

/// Promises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SoakPromise {
    /// A request that must not be repeated ran at most once.
    RunsOnce,
    /// A refusal was true.
    RefusalIsTrue,
    /// An answer is the endpoint's own, whole, for this request.
    AnswerIsOwn,
    /// An endpoint got what a caller sent.
    RequestIsUnchanged,
    /// No more endpoints ran a request than its route allows.
    AttemptsAreBounded,
    /// A proper request is not turned down as improper.
    ProperIsServed,
    /// An endpoint that leaves gets nothing more.
    DrainIsKept,
    /// An evacuated domain gets nothing.
    EvacuationIsKept,
    /// A version is in force in time.
    VersionIsInForce,
    /// A front does not go back to an older version.
    VersionStays,
    /// An answer comes when the route's time is over.
    AnswerIsInTime,
    /// A planned stop cuts no request.
    StopCutsNothing,
    /// A front ends only when it is asked to, and in time.
    ProcessLives,
    /// A cold endpoint gets no more than it bears.
    ColdIsSpared,
    /// Look-ups do not name fronts that are gone.
    LookupIsFresh,
    /// Service is back after the faults.
    ServiceRecovers,
}

/// A promise that was broken.
#[derive(Clone, Debug)]
pub struct SoakFinding {
    /// Promise.
    pub promise: SoakPromise,
    /// What was seen.
    pub detail: String,
}

/// All that was seen in a run.
#[derive(Clone, Copy, Debug)]
pub struct RunEvidence<'run> {
    /// Requests.
    pub requests: &'run [RequestRecord],
    /// Look-ups.
    pub lookups: &'run [LookupRecord],
    /// Endpoints.
    pub endpoints: &'run [Arc<SoakEndpoint>],
    /// Facts.
    pub events: &'run EventLog,
    /// Disturbances.
    pub disturbances: DisturbanceView<'run>,
    /// When the last fault had ended and service was due again.
    pub calm_from: Instant,
}

/// One arrival with its endpoint and request.
struct Arrival<'run> {
    endpoint: &'run SoakEndpoint,
    arrival: EndpointArrival,
    request: Option<&'run RequestRecord>,
}

/// Checks a run.
#[must_use]
pub fn judge(evidence: &RunEvidence<'_>) -> Vec<SoakFinding> {
    let by_attempt: HashMap<&str, &RequestRecord> =
        evidence.requests.iter().map(|record| (record.attempt_id.as_str(), record)).collect();
    let arrivals: Vec<Arrival<'_>> = evidence
        .endpoints
        .iter()
        .flat_map(|endpoint| {
            endpoint.standin.arrivals().into_iter().map(|arrival| {
                let request = by_attempt.get(arrival.attempt()).copied();
                Arrival { endpoint, arrival, request }
            })
        })
        .collect();
    let mut judge = RunJudge { evidence, arrivals, findings: Vec::new() };
    judge.check_requests_unchanged();
    judge.check_runs();
    judge.check_answers();
    judge.check_denied();
    judge.check_leaving();
    judge.check_versions();
    judge.check_reversion();
    judge.check_timeouts();
    judge.check_stops();
    judge.check_cold();
    judge.check_lookups();
    judge.check_recovery();
    for text in &evidence.events.failures {
        judge.find(SoakPromise::ProcessLives, text.clone());
    }
    judge.findings
}

struct RunJudge<'judge, 'run> {
    evidence: &'judge RunEvidence<'run>,
    arrivals: Vec<Arrival<'run>>,
    findings: Vec<SoakFinding>,
}

impl RunJudge<'_, '_> {
    fn find(&mut self, promise: SoakPromise, detail: String) {
        self.findings.push(SoakFinding { promise, detail });
    }
}
