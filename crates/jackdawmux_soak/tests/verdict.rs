//! The soak's checks find what they are there for.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jackdawmux_platform_standins::caller::{CallerRequest, CallerResponse, send_request};
use jackdawmux_platform_standins::endpoint::{Behaviour, EndpointStandin};
use jackdawmux_platform_standins::manifest::{FIRST_SERVICE, SECOND_SERVICE};
use jackdawmux_soak::disturbance::{DisturbanceSpan, DisturbanceView, DisturbedPart};
use jackdawmux_soak::fleet::{FactLog, SoakEndpoint};
use jackdawmux_soak::plan::FaultKind;
use jackdawmux_soak::proxy::LinkProxy;
use jackdawmux_soak::record::{
    LeavingFact, RequestKind, RequestOutcome, RequestRecord, VersionFact,
};
use jackdawmux_soak::verdict::{RunEvidence, SoakPromise, judge};
use rstest::rstest;

/// A run of one request, sent straight to an endpoint as a front would.
struct SmallRun {
    endpoint: Arc<SoakEndpoint>,
    request: RequestRecord,
    facts: FactLog,
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
            cold_from: None,
        });
        let path = match kind {
            RequestKind::Look => "/look/1".to_owned(),
            RequestKind::Pay => "/pay/1".to_owned(),
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
            attempt: "c0-1".to_owned(),
            front: 0,
            start: 1,
            kind,
            target: format!("GET {path}"),
            body: String::new(),
            sent_at,
            ended_at: Instant::now(),
            wait: Duration::from_secs(1),
            outcome: RequestOutcome::Answered(answer),
        };
        let acked_at = sent_at.checked_sub(LONG_AGO).expect("the clock is older");
        let facts = FactLog {
            versions: vec![VersionFact {
                version: 2,
                service: FIRST_SERVICE,
                written_at: acked_at,
                acked_at,
            }],
            ..FactLog::default()
        };
        Self { endpoint, request, facts, spans: Vec::new() }
    }

    fn broken(&self) -> Vec<SoakPromise> {
        let evidence = RunEvidence {
            requests: std::slice::from_ref(&self.request),
            lookups: &[],
            endpoints: std::slice::from_ref(&self.endpoint),
            facts: &self.facts,
            disturbances: DisturbanceView(&self.spans),
            calm_from: self.request.sent_at,
        };
        let mut promises: Vec<SoakPromise> =
            judge(&evidence).into_iter().map(|finding| finding.promise).collect();
        promises.sort();
        promises.dedup();
        promises
    }

    fn left_long_ago(&self, name: &str) -> LeavingFact {
        let acked_at = self.request.sent_at.checked_sub(LONG_AGO).expect("the clock is older");
        LeavingFact { name: name.to_owned(), acked_at, until: None }
    }

    fn answer_with(&mut self, change: impl FnOnce(&str) -> String) {
        let text = change(&self.request.answer().expect("an answer").text);
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

broken_case!(a_sound_run_breaks_nothing, RequestKind::Pay, 1, |_run| {},);
broken_case!(a_payment_that_ran_twice_is_found, RequestKind::Pay, 2, |_run| {}, RunsOnce);
broken_case!(a_lookup_may_run_twice, RequestKind::Look, 2, |_run| {},);
broken_case!(a_third_run_is_found, RequestKind::Look, 3, |_run| {}, AttemptsAreBounded);
broken_case!(
    a_false_refusal_is_found,
    RequestKind::Pay,
    1,
    |run| run.answer_with(|_| "HTTP/1.1 503 Service Unavailable\r\n\r\n".to_owned()),
    RefusalIsTrue,
    ServiceRecovers
);
broken_case!(
    a_foreign_answer_is_found,
    RequestKind::Look,
    1,
    |run| run.answer_with(|text| text.replace("c0-1", "c0-2")),
    AnswerIsOwn
);
broken_case!(
    a_changed_request_is_found,
    RequestKind::Look,
    1,
    |run| run.request.target = "GET /look/2".to_owned(),
    RequestIsUnchanged
);
broken_case!(
    a_drained_endpoint_that_is_used_is_found,
    RequestKind::Look,
    1,
    |run| run.facts.drains = vec![run.left_long_ago("i-0")],
    DrainIsKept
);
broken_case!(
    an_evacuated_domain_that_is_used_is_found,
    RequestKind::Look,
    1,
    |run| run.facts.evacuations = vec![run.left_long_ago("north-a")],
    EvacuationIsKept
);
broken_case!(a_front_out_of_touch_is_excused, RequestKind::Look, 1, |run| {
    run.facts.drains = vec![run.left_long_ago("i-0")];
    run.spans.push(DisturbanceSpan {
        part: DisturbedPart::Store,
        kind: FaultKind::StoreDown,
        from: run.facts.drains[0].acked_at,
        until: None,
    });
},);
broken_case!(
    an_old_version_is_found,
    RequestKind::Look,
    1,
    |run| run.facts.versions[0].service = SECOND_SERVICE,
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
    RequestKind::Look,
    1,
    |run| run.facts.odd_ends.push("front 0 ended by itself".to_owned()),
    ProcessLives
);
