//! Tests that requests over a limit and invalid requests are refused with the right status.

use std::net::SocketAddr;
use std::time::Duration;

use jackdawmux_entry::EntryProcess;
use jackdawmux_entry::process::{EntrySettings, parse_settings, settings_parser};
use jackdawmux_standins::store::{StoreFaults, StoreStandin};
use jackdawmux_standins::upstream::{UpstreamSettings, UpstreamStandin};
use jackdawmux_store::{AcceptOutcome, AcceptRequest, HttpStore, accept_rules};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

struct SmallSystem {
    store: StoreStandin,
    upstream: UpstreamStandin,
    entry: EntryProcess,
}

fn settings(store: &StoreStandin) -> EntrySettings {
    EntrySettings {
        store: store.url(),
        listen: any_port(),
        peer_listen: any_port(),
        failure_domain: "d".to_owned(),
        instance: "one".to_owned(),
        group: "main".to_owned(),
        peer_keys: vec!["a key only for the tests".to_owned()],
        seeds: Vec::new(),
        lookup_ttl: Duration::from_millis(200),
        lease: Duration::from_secs(3),
        max_connections: 4,
        max_body_bytes: 100_000,
        threads: 1,
    }
}

async fn accept(store: &StoreStandin, rules: &str, above: u64) -> u64 {
    let client = HttpStore::open(&store.url(), None).expect("the store client is built");
    let request = AcceptRequest {
        rules: rules.as_bytes(),
        by: "test",
        note: "",
        base: None,
        above,
        now_ms: 1,
    };
    match accept_rules(&client, &request).await {
        AcceptOutcome::Accepted(record) => record.version,
        other => panic!("not accepted: {other:?}"),
    }
}

impl SmallSystem {
    async fn start(upstream: UpstreamSettings) -> Self {
        let store = StoreStandin::bind(any_port(), None).await.expect("the store starts");
        let upstream =
            UpstreamStandin::bind(any_port(), upstream, 1).await.expect("the upstream starts");
        let system = Self {
            entry: EntryProcess::open(settings(&store)).await.expect("the entry starts"),
            store,
            upstream,
        };
        accept(&system.store, &system.rules(), 0).await;
        system.wait_served().await;
        system
    }

    fn rules(&self) -> String {
        format!(
            "region r domains d  # test: place\n\
             upstream ledger {} domain d slots 4 connections 400  # test: endpoint\n\
             operation ledger GET / priority low timeout 1s  # test: lookups\n\
             operation ledger POST /refunds priority high once timeout 1s  # test: refunds\n",
            self.upstream.address
        )
    }

    /// Waits until the endpoint has an owner.
    async fn wait_served(&self) {
        let served = async {
            loop {
                let response = self.send("GET /ledger/ready HTTP/1.1\r\nHost: x\r\n\r\n").await;
                if !response.contains("no-upstream") && !response.contains("no-configuration") {
                    return;
                }
            }
        };
        timeout(WAIT_TIMEOUT, served).await.expect("the entry serves");
    }

    /// Sends raw bytes and reads the first part of the response.
    async fn send(&self, request: &str) -> String {
        let mut stream =
            TcpStream::connect(self.entry.address()).await.expect("the connection is accepted");
        stream.write_all(request.as_bytes()).await.expect("the request is sent");
        read_some(&mut stream).await
    }
}

async fn read_some(stream: &mut TcpStream) -> String {
    let mut buffer = vec![0; 16 * 1024];
    let read = timeout(WAIT_TIMEOUT, stream.read(&mut buffer)).await;
    let count = read.expect("the response arrives before the timeout").unwrap_or(0);
    String::from_utf8_lossy(&buffer[..count]).into_owned()
}

#[rstest]
#[case::both_lengths(
    "POST /ledger/refunds HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nContent-Length: 3\r\n\
     Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "400"
)]
#[case::both_lengths_reversed(
    "POST /ledger/refunds HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n\
     Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
    "400"
)]
#[case::two_lengths(
    "POST /ledger/refunds HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nContent-Length: 3\r\n\
     Content-Length: 4\r\n\r\nabcd",
    "400"
)]
#[case::bad_chunk(
    "POST /ledger/refunds HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n\
     Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
    "400"
)]
#[case::declared_too_large(
    "POST /ledger/refunds HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n\
     Content-Length: 200000\r\n\r\n",
    "413"
)]
#[case::bad_deadline(
    "GET /ledger/x HTTP/1.1\r\nHost: x\r\nJackdaw-Deadline-Ms: soon\r\n\r\n",
    "400"
)]
#[case::no_time_left("GET /ledger/x HTTP/1.1\r\nHost: x\r\nJackdaw-Deadline-Ms: 0\r\n\r\n", "504")]
#[case::no_key("POST /ledger/refunds HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", "400")]
#[case::forged_ticket(
    "POST /ledger/refunds HTTP/1.1\r\nHost: x\r\nIdempotency-Key: jt1-0000000000000001-1-ff-ab\r\n\
     Content-Length: 0\r\n\r\n",
    "409"
)]
#[case::old_uuid(
    "POST /ledger/refunds HTTP/1.1\r\nHost: x\r\n\
     Idempotency-Key: 017f22e2-79b0-7cc3-98c4-dc0c0c07398f\r\nContent-Length: 0\r\n\r\n",
    "410"
)]
#[tokio::test]
async fn hostile_requests_are_refused(#[case] request: &str, #[case] status: &str) {
    let system = SmallSystem::start(UpstreamSettings::default()).await;
    let begun = system.upstream.counts().begun;
    let response = system.send(request).await;
    assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{response}");
    assert_eq!(system.upstream.counts().begun, begun, "the request reached the upstream");
}

#[tokio::test]
async fn a_connection_above_the_limit_gets_503_with_retry_after() {
    let system = SmallSystem::start(UpstreamSettings::default()).await;
    let mut held = Vec::new();
    let refused = async {
        loop {
            let mut stream = TcpStream::connect(system.entry.address())
                .await
                .expect("the connection is accepted");
            let response = timeout(Duration::from_millis(300), read_some(&mut stream)).await;
            match response {
                Ok(response) => return response,
                Err(_) => held.push(stream),
            }
        }
    };
    let response = timeout(WAIT_TIMEOUT, refused).await.expect("a connection is refused");
    assert!(response.contains("503") && response.contains("Retry-After: 1"), "{response}");
}

#[tokio::test]
async fn a_cut_off_response_is_unknown_or_visibly_incomplete() {
    let cuts = UpstreamSettings { cuts_answers: true, ..UpstreamSettings::default() };
    let system = SmallSystem::start(cuts).await;
    let request = "POST /ledger/refunds HTTP/1.1\r\nHost: x\r\nIdempotency-Key: cut\r\n\
        Content-Length: 2\r\n\r\n{}";
    let mut stream =
        TcpStream::connect(system.entry.address()).await.expect("the connection is accepted");
    stream.write_all(request.as_bytes()).await.expect("the request is sent");
    let mut received = Vec::new();
    let read = timeout(WAIT_TIMEOUT, stream.read_to_end(&mut received))
        .await
        .expect("the response ends before the timeout");
    let text = String::from_utf8_lossy(&received).into_owned();
    // Either the outcome is unknown or the last chunk is missing, so no caller can take the
    // response for a complete one.
    let is_reported = text.contains("jackdaw-outcome: unknown");
    assert!(is_reported || read.is_err() || !text.ends_with("0\r\n\r\n"), "{text}");
    assert_eq!(system.upstream.counts().runs_by_key.get("cut"), Some(&1));
}

#[tokio::test]
async fn a_stuck_upstream_ends_the_request_at_its_deadline() {
    let system = SmallSystem::start(UpstreamSettings::default()).await;
    system.upstream.update_settings(|settings| settings.is_stuck = true);
    let request = "POST /ledger/refunds HTTP/1.1\r\nHost: x\r\nIdempotency-Key: stuck\r\n\
        Jackdaw-Deadline-Ms: 200\r\nContent-Length: 2\r\n\r\n{}";
    let response = system.send(request).await;
    assert!(response.contains("jackdaw-outcome: unknown"), "{response}");
    let again = system.send(request).await;
    assert!(again.contains("jackdaw-outcome: unknown"), "{again}");
    assert_eq!(system.upstream.counts().runs_by_key.get("stuck"), Some(&1));
}

#[tokio::test]
async fn a_store_restored_to_an_older_version_changes_nothing() {
    let system = SmallSystem::start(UpstreamSettings::default()).await;
    let (old_version, old_head) =
        system.store.peek("config/head").expect("the store has a head object");
    let second = format!("{}drain domain d  # test: cable work\n", system.rules());
    assert_eq!(accept(&system.store, &second, 0).await, 2);
    let mut active_config = system.entry.context().active_config.clone();
    let is_second = |state: &Option<std::sync::Arc<jackdawmux_entry::version::ActiveConfig>>| {
        state.as_ref().is_some_and(|state| state.content.version == 2)
    };
    timeout(WAIT_TIMEOUT, active_config.wait_for(is_second))
        .await
        .expect("the version is active before the timeout")
        .expect("the version is active");
    // The store is restored from a backup while no instance can watch it.
    system.store.set_faults(StoreFaults { is_down: true, ..StoreFaults::default() });
    system.store.restore("config/head", old_version, old_head);
    system.store.set_faults(StoreFaults::default());
    let alarmed = async {
        loop {
            let events = system.entry.context().events.events();
            if events.iter().any(|event| event.kind == "alarm-store-older") {
                return;
            }
            tokio::task::yield_now().await;
        }
    };
    timeout(WAIT_TIMEOUT, alarmed).await.expect("the alarm is recorded");
    assert!(is_second(&active_config.borrow()), "the version went back");
    // The operator recovers by accepting rules with a version above the active one.
    assert_eq!(accept(&system.store, &system.rules(), 2).await, 3);
    let is_third = |state: &Option<std::sync::Arc<jackdawmux_entry::version::ActiveConfig>>| {
        state.as_ref().is_some_and(|state| state.content.version == 3)
    };
    timeout(WAIT_TIMEOUT, active_config.wait_for(is_third))
        .await
        .expect("the version is active before the timeout")
        .expect("the version is active");
}

#[test]
fn all_errors_in_the_settings_are_reported_at_once() {
    let arguments = [
        "--store",
        "ftp://x",
        "--listen",
        "nowhere",
        "--failure-domain",
        "north a",
        "--instance",
        "one",
        "--peer-key",
        "short",
        "--lease-ms",
        "1",
    ];
    let raw = settings_parser().run_inner(&arguments[..]).expect("the flags are accepted");
    let errors = parse_settings(raw).expect_err("the settings are invalid");
    let flags: Vec<&str> = errors.iter().map(|error| error.flag).collect();
    let expected = ["--store", "--listen", "--failure-domain", "--peer-key", "--lease-ms"];
    assert_eq!(flags, expected);
}

#[test]
fn help_lists_environment_variables() {
    let help =
        settings_parser().run_inner(&["--help"]).expect_err("the help is shown").unwrap_stdout();
    for variable in ["JACKDAWMUX_STORE", "JACKDAWMUX_LISTEN", "JACKDAWMUX_THREADS"] {
        assert!(help.contains(variable), "{help}");
    }
}
