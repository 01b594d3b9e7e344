//! The soak's checks find what they are there for.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jackdawmux_platform_standins::caller::{CallerRequest, CallerResponse, send_request};
use jackdawmux_platform_standins::endpoint::{Behaviour, EndpointStandin};
use jackdawmux_platform_standins::manifest::{FIRST_SERVICE, SECOND_SERVICE};
use jackdawmux_soak::checks::{RunObservations, SoakPromise, check_run};
use jackdawmux_soak::disturbance::{DisturbanceSpan, DisturbanceView, DisturbedComponent};
use jackdawmux_soak::fleet::{EventLog, SoakEndpoint};
use jackdawmux_soak::plan::FaultKind;
use jackdawmux_soak::proxy::LinkProxy;
use jackdawmux_soak::record::{
    ExclusionRecord, RequestKind, RequestOutcome, RequestRecord, VersionRecord,
};
use rstest::rstest;

/// A run of one request, sent straight to an endpoint as a front would.
struct SmallRun {
    endpoint: Arc<SoakEndpoint>,
    request: RequestRecord,
    events: EventLog,
    spans: Vec<DisturbanceSpan>,
}

const LONG_AGO: Duration = Duration::from_secs(10);

impl SmallRun {
    async fn play(kind: RequestKind, sends: usize) -> Self {
        let standin = EndpointStandin::bind("i-0", Behaviour::Answer).await;
        let link = LinkProxy::bind(standin.address).await.expect("a port");
        let endpoint = Arc::new(SoakEndpoint {
            standin,
            link,
            service: FIRST_SERVICE,
            domain: "north-a",
            cold_since: None,
        });
        let path = match kind {
            RequestKind::Read => "/look/1".to_owned(),
            RequestKind::Payment => "/pay/1".to_owned(),
            RequestKind::Probe { version } => format!("/only-{version}/1"),
        };
        let request = CallerRequest {
            method: "GET",
            path: &path,
            attempt: "c0-1",
            object: "1",
            wait_ms: 1_000,
            body: "",
        };
        let sent_at = Instant::now();
        let mut answer = CallerResponse::default();
        for _ in 0..sends {
            answer = send_request(endpoint.link.address, &request.text()).await.expect("an answer");
        }
        let request = RequestRecord {
            attempt_id: "c0-1".to_owned(),
            front: 0,
            start_number: 1,
            kind,
            target: format!("GET {path}"),
            body: String::new(),
            sent_at,
            ended_at: Instant::now(),
            caller_timeout: Duration::from_secs(1),
            outcome: RequestOutcome::Answered(answer),
        };
        let acked_at = sent_at.checked_sub(LONG_AGO).expect("the clock is older");
        let events = EventLog {
            versions: vec![VersionRecord {
                version: 2,
                service: FIRST_SERVICE,
                write_started_at: acked_at,
                acked_at,
            }],
            ..EventLog::default()
        };
        Self { endpoint, request, events, spans: Vec::new() }
    }

    fn broken(&self) -> Vec<SoakPromise> {
        let observations = RunObservations {
            requests: std::slice::from_ref(&self.request),
            lookups: &[],
            endpoints: std::slice::from_ref(&self.endpoint),
            events: &self.events,
            disturbances: DisturbanceView(&self.spans),
            recovery_due_at: self.request.sent_at,
        };
        let mut promises: Vec<SoakPromise> =
            check_run(&observations).into_iter().map(|violation| violation.promise).collect();
        promises.sort();
        promises.dedup();
        promises
    }

    fn left_long_ago(&self, name: &str) -> ExclusionRecord {
        let acked_at = self.request.sent_at.checked_sub(LONG_AGO).expect("the clock is older");
        ExclusionRecord { name: name.to_owned(), acked_at, revoked_at: None }
    }

    fn answer_with(&mut self, change: impl FnOnce(&str) -> String) {
        let text = change(&self.request.response().expect("an answer").text);
        self.request.outcome = RequestOutcome::Answered(CallerResponse { text, is_complete: true });
    }
}

/// A request, what is wrong with the run, and the promise that is found broken.
macro_rules! broken_case {
    ($name:ident, $kind:expr, $sends:literal, $change:expr, $($promise:ident),*) => {
        #[rstest]
        #[tokio::test]
        async fn $name() {
            let mut run = SmallRun::play($kind, $sends).await;
            let change: fn(&mut SmallRun) = $change;
            change(&mut run);
            let expected: Vec<SoakPromise> = vec![$(SoakPromise::$promise),*];
            assert_eq!(run.broken(), expected);
        }
    };
}

broken_case!(a_sound_run_breaks_nothing, RequestKind::Payment, 1, |_run| {},);
broken_case!(a_payment_that_ran_twice_is_found, RequestKind::Payment, 2, |_run| {}, RunsOnce);
broken_case!(a_lookup_may_run_twice, RequestKind::Read, 2, |_run| {},);
broken_case!(a_third_run_is_found, RequestKind::Read, 3, |_run| {}, AttemptsAreBounded);
broken_case!(
    a_false_refusal_is_found,
    RequestKind::Payment,
    1,
    |run| run.answer_with(|_| "HTTP/1.1 503 Service Unavailable\r\n\r\n".to_owned()),
    RefusalIsTrue,
    ServiceRecovers
);
broken_case!(
    a_foreign_answer_is_found,
    RequestKind::Read,
    1,
    |run| run.answer_with(|text| text.replace("c0-1", "c0-2")),
    AnswerIsOwn
);
broken_case!(
    a_changed_request_is_found,
    RequestKind::Read,
    1,
    |run| run.request.target = "GET /look/2".to_owned(),
    RequestIsUnchanged
);
broken_case!(
    a_drained_endpoint_that_is_used_is_found,
    RequestKind::Read,
    1,
    |run| run.events.drains = vec![run.left_long_ago("i-0")],
    DrainIsKept
);
broken_case!(
    an_evacuated_domain_that_is_used_is_found,
    RequestKind::Read,
    1,
    |run| run.events.evacuations = vec![run.left_long_ago("north-a")],
    EvacuationIsKept
);
broken_case!(a_front_out_of_touch_is_excused, RequestKind::Read, 1, |run| {
    run.events.drains = vec![run.left_long_ago("i-0")];
    run.spans.push(DisturbanceSpan {
        component: DisturbedComponent::Store,
        kind: FaultKind::StoreDown,
        started_at: run.events.drains[0].acked_at,
        ended_at: None,
    });
},);
broken_case!(
    an_old_version_is_found,
    RequestKind::Read,
    1,
    |run| run.events.versions[0].service = SECOND_SERVICE,
    VersionIsInForce
);
broken_case!(
    a_dropped_route_is_found,
    RequestKind::Probe { version: 1 },
    1,
    |_run| {},
    VersionIsInForce
);
broken_case!(
    a_missing_route_is_found,
    RequestKind::Probe { version: 2 },
    1,
    |run| run.answer_with(|_| "HTTP/1.1 404 Not Found\r\n\r\n".to_owned()),
    VersionIsInForce,
    ServiceRecovers
);
broken_case!(
    an_odd_end_is_found,
    RequestKind::Read,
    1,
    |run| run.events.failures.push("front 0 exited unexpectedly".to_owned()),
    ProcessLives
);
