//! Checks the promises from what callers and endpoints saw.

mod processes;
mod requests;
mod updates;

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
pub struct PromiseViolation {
    /// Promise.
    pub promise: SoakPromise,
    /// What was seen.
    pub detail: String,
}

/// All that was seen in a run.
#[derive(Clone, Copy, Debug)]
pub struct RunObservations<'run> {
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
    pub recovery_due_at: Instant,
}

/// One arrival with its endpoint and request.
struct Arrival<'run> {
    endpoint: &'run SoakEndpoint,
    arrival: EndpointArrival,
    request: Option<&'run RequestRecord>,
}

/// Checks a run.
#[must_use]
pub fn check_run(observations: &RunObservations<'_>) -> Vec<PromiseViolation> {
    let by_attempt: HashMap<&str, &RequestRecord> =
        observations.requests.iter().map(|record| (record.attempt_id.as_str(), record)).collect();
    let arrivals: Vec<Arrival<'_>> = observations
        .endpoints
        .iter()
        .flat_map(|endpoint| {
            endpoint.standin.arrivals().into_iter().map(|arrival| {
                let request = by_attempt.get(arrival.attempt()).copied();
                Arrival { endpoint, arrival, request }
            })
        })
        .collect();
    let mut checker = RunChecker { observations, arrivals, violations: Vec::new() };
    checker.check_requests_unchanged();
    checker.check_runs();
    checker.check_answers();
    checker.check_denied();
    checker.check_leaving();
    checker.check_versions();
    checker.check_reversion();
    checker.check_timeouts();
    checker.check_stops();
    checker.check_cold();
    checker.check_lookups();
    checker.check_recovery();
    for text in &observations.events.failures {
        checker.report(SoakPromise::ProcessLives, text.clone());
    }
    checker.violations
}

struct RunChecker<'checker, 'run> {
    observations: &'checker RunObservations<'run>,
    arrivals: Vec<Arrival<'run>>,
    violations: Vec<PromiseViolation>,
}

impl RunChecker<'_, '_> {
    fn report(&mut self, promise: SoakPromise, detail: String) {
        self.violations.push(PromiseViolation { promise, detail });
    }
}
