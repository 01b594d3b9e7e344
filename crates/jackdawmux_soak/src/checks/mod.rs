//! Checks of the promises against what callers and endpoints recorded during a run.

mod partitions;
mod processes;
mod requests;
mod updates;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use jackdawmux_platform_standins::endpoint::EndpointArrival;
use strum::Display;

use crate::disturbance::DisturbanceView;
use crate::fleet::{FleetLog, SoakEndpoint};
use crate::record::{LookupRecord, RequestRecord};

/// A promise of the system that is checked after a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SoakPromise {
    /// A request on the unsafe route is executed at most once.
    RunsOnce,
    /// A request that was refused was not executed.
    RefusalIsTrue,
    /// A successful response is signed by an endpoint and belongs to this request.
    AnswerIsOwn,
    /// Target and body reach the endpoint as the caller sent them.
    RequestIsUnchanged,
    /// A request is executed no more often than its route allows attempts.
    AttemptsAreBounded,
    /// A valid request is not rejected as invalid.
    ProperIsServed,
    /// An endpoint gets no requests after its drain time.
    DrainIsKept,
    /// An evacuated failure domain gets no requests.
    EvacuationIsKept,
    /// A configuration version is active in time.
    VersionIsInForce,
    /// A front does not return to an older configuration version.
    VersionStays,
    /// The caller gets a response soon after the timeout of the route.
    AnswerIsInTime,
    /// A planned stop does not cut requests off.
    StopCutsNothing,
    /// A front exits only when stopped, and then in time.
    ProcessLives,
    /// A cold endpoint gets no more requests per second than allowed.
    ColdIsSpared,
    /// Lookups do not return fronts that have exited.
    LookupIsFresh,
    /// Callers of fronts that reach no endpoint are served nearly as often as the others.
    PartitionIsBridged,
    /// Requests succeed again after the faults.
    ServiceRecovers,
}

/// Violation of a promise.
#[derive(Clone, Debug)]
pub struct PromiseViolation {
    /// Violated promise.
    pub promise: SoakPromise,
    /// Description of what was observed.
    pub detail: String,
}

/// Everything recorded during a run, as input of the checks.
#[derive(Clone, Copy, Debug)]
pub struct RunObservations<'run> {
    /// Requests of all callers.
    pub requests: &'run [RequestRecord],
    /// Lookups of all callers.
    pub lookups: &'run [LookupRecord],
    /// All endpoints started during the run, with the requests that reached them.
    pub endpoints: &'run [Arc<SoakEndpoint>],
    /// What was done to the fleet.
    pub events: &'run FleetLog,
    /// Disturbances of the run.
    pub disturbances: DisturbanceView<'run>,
    /// When service had to be recovered after the last fault.
    pub recovery_due_at: Instant,
}

/// A request that reached an endpoint; `request` is none when no caller sent that attempt.
struct Arrival<'run> {
    endpoint: &'run SoakEndpoint,
    arrival: EndpointArrival,
    request: Option<&'run RequestRecord>,
}

/// Checks all promises against the observations of a run and returns the violations.
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
    checker.check_executions();
    checker.check_responses();
    checker.check_rejections();
    checker.check_exclusions();
    checker.check_versions();
    checker.check_rollback();
    checker.check_timeouts();
    checker.check_stops();
    checker.check_cold_rate();
    checker.check_lookups();
    checker.check_partitions();
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
