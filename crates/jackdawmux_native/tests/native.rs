//! A front that follows accepted rules, with stand-ins for the object store and for upstreams.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jackdawmux_front::process::{FrontParts, SettingsReader};
use jackdawmux_front::{FrontProcess, FrontSettings};
use jackdawmux_native::{NativeDialect, RulesSource, read_regions};
use jackdawmux_policy::fleet::record::FleetBounds;
use jackdawmux_standins::store::{StoreFaults, StoreStandin};
use jackdawmux_standins::upstream::{UpstreamSettings, UpstreamStandin};
use jackdawmux_store::{AcceptOutcome, AcceptRequest, HttpStore, ObjectStore, accept_rules};
use reqwest::Client;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout};

/// Limit of the time for each condition that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which accepted rules must be applied.
const UPDATE_DEADLINE: Duration = Duration::from_secs(2);
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

struct NativeFleet {
    store: Arc<dyn ObjectStore>,
    standin: StoreStandin,
    upstreams: Vec<UpstreamStandin>,
    front: FrontProcess,
    client: Client,
}

impl NativeFleet {
    async fn start() -> Self {
        let standin =
            StoreStandin::bind(ANY_PORT, None).await.expect("the store stand-in binds a port");
        let address = format!("http://{}", standin.address);
        let store = HttpStore::open(&address, None).expect("the store client opens");
        let store: Arc<dyn ObjectStore> = Arc::new(store);
        let mut upstreams = Vec::new();
        for seed in 0..2 {
            let settings = UpstreamSettings { service_ms: 2.0, ..UpstreamSettings::default() };
            let upstream = UpstreamStandin::bind(ANY_PORT, settings, seed).await;
            upstreams.push(upstream.expect("the upstream stand-in binds a port"));
        }
        accept(store.as_ref(), &rules(&upstreams, "")).await;
        let regions =
            read_regions(store.as_ref()).await.expect("regions are read from the accepted rules");
        let settings = settings(regions);
        let reloaded = settings.clone();
        let parts = FrontParts {
            settings,
            source: Arc::new(RulesSource::new(Arc::clone(&store), &address)),
            dialect: Arc::new(NativeDialect),
            reader: SettingsReader::new(move || Ok(reloaded.clone())),
        };
        let front = FrontProcess::open(parts).await.expect("the front starts");
        let client = Client::builder().no_proxy().build().expect("the HTTP client is built");
        let fleet = Self { store, standin, upstreams, front, client };
        fleet.wait_status("/balance/1", 200).await;
        fleet
    }

    async fn status(&self, path: &str) -> u16 {
        let url = format!("http://{}{path}", self.front.address());
        let request = self.client.get(url).header("Host", "a.example");
        let request = request.header("Jackdaw-Request-Id", "r-1").header("Jackdaw-Object", "17");
        request.send().await.expect("the front responds").status().as_u16()
    }

    async fn wait_status(&self, path: &str, expected: u16) {
        let reached = async {
            while self.status(path).await != expected {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(WAIT_TIMEOUT, reached).await.expect("the status is reached in time");
    }
}

fn settings(regions: BTreeMap<String, String>) -> FrontSettings {
    FrontSettings {
        instance: "front-1".to_owned(),
        domain: "north-a".to_owned(),
        regions,
        listen: ANY_PORT,
        ready_listen: ANY_PORT,
        directory_listen: ANY_PORT,
        heartbeat_listen: ANY_PORT,
        cap_listen: None,
        metrics_listen: None,
        capacity_permille: 1_000,
        max_descriptors: 1_000,
        bounds: FleetBounds {
            retry_ratio: 0.2,
            retry_slack: 62.0,
            retry_window: Duration::from_secs(10),
            cold_multiplier: 1.5,
            grace: Duration::from_secs(1),
            max_lookup_ttl: Duration::from_secs(5),
            update_deadline: Duration::from_secs(2),
            config_deadline: Duration::from_secs(2),
            evacuation_deadline: Duration::from_secs(2),
            teams: None,
            has_pressure: false,
            has_endpoint_sets: false,
            has_demand_shares: false,
        },
    }
}

fn rules(upstreams: &[UpstreamStandin], more: &str) -> String {
    let mut text = String::from(
        "region north domains north-a,north-b  # platform team: sites\n\
         service ledger connections 400 cold 17/s for 3s  # platform team: contract\n\
         route balance host a.example path /balance/ to ledger priority low attempts 2 sticky \
         target 200ms timeout 2s  # counter team: lookups\n",
    );
    for (upstream, domain) in upstreams.iter().zip(["north-a", "north-b"]) {
        let address = upstream.address;
        let _ = writeln!(
            text,
            "upstream ledger {address} domain {domain} slots 6 connections 400  # platform team"
        );
    }
    text.push_str(more);
    text
}

async fn accept(store: &dyn ObjectStore, rules: &str) {
    let request = AcceptRequest {
        rules: rules.as_bytes(),
        by: "test",
        note: "",
        base: None,
        above: 0,
        now_ms: 1_790_000_000_000,
    };
    let outcome = accept_rules(store, &request).await;
    assert!(matches!(outcome, AcceptOutcome::Accepted(_)), "{outcome:?}");
}

#[tokio::test]
async fn newly_accepted_rules_apply_to_a_running_front() {
    let fleet = NativeFleet::start().await;
    assert_eq!(fleet.status("/elsewhere/1").await, 404);
    let more = "route new host a.example path /new/ to ledger priority low attempts 2 \
                target 200ms timeout 2s  # counter team: new\n";
    accept(fleet.store.as_ref(), &rules(&fleet.upstreams, more)).await;
    fleet.wait_status("/new/1", 200).await;
}

/// Guards against rules that are hidden from all fronts because they have lost the same reply.
#[tokio::test]
async fn a_lost_watch_reply_hides_no_accepted_rules() {
    let fleet = NativeFleet::start().await;
    fleet.standin.set_faults(StoreFaults { drops_watches: true, ..StoreFaults::default() });
    // The watches that wait at the store notice the fault.
    sleep(Duration::from_millis(100)).await;
    fleet.standin.set_faults(StoreFaults::default());
    let more = "route new host a.example path /new/ to ledger priority low attempts 2 \
                target 200ms timeout 2s  # counter team: new\n";
    accept(fleet.store.as_ref(), &rules(&fleet.upstreams, more)).await;
    let accepted = Instant::now();
    fleet.wait_status("/new/1", 200).await;
    assert!(accepted.elapsed() < UPDATE_DEADLINE, "{:?}", accepted.elapsed());
}

/// Guards against a list that waits for the whole update deadline for a reply that was lost.
#[tokio::test]
async fn a_read_without_reply_fails_before_the_update_deadline() {
    let listener = TcpListener::bind(ANY_PORT).await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let store = HttpStore::open(&format!("http://{address}"), None).expect("the client opens");
    let started = Instant::now();
    assert!(store.read("config/head").await.is_err());
    assert!(started.elapsed() < UPDATE_DEADLINE, "{:?}", started.elapsed());
}

#[tokio::test]
async fn a_drained_upstream_gets_no_new_requests() {
    let fleet = NativeFleet::start().await;
    let first = &fleet.upstreams[0];
    let more = format!("drain upstream {}  # platform team: disk swap\n", first.address);
    accept(fleet.store.as_ref(), &rules(&fleet.upstreams, &more)).await;
    let second = &fleet.upstreams[1];
    let moved = async {
        loop {
            let before = (first.counts().begun, second.counts().begun);
            for index in 0..10 {
                fleet.status(&format!("/balance/{index}")).await;
            }
            if first.counts().begun == before.0 && second.counts().begun >= before.1 + 10 {
                return;
            }
        }
    };
    timeout(WAIT_TIMEOUT, moved).await.expect("requests move to the other upstream in time");
    let more = "drain domain north-a  # platform team\ndrain domain north-b  # platform team\n";
    accept(fleet.store.as_ref(), &rules(&fleet.upstreams, more)).await;
    fleet.wait_status("/balance/1", 503).await;
}

#[tokio::test]
async fn a_front_registers_and_is_listed_by_lookups() {
    let fleet = NativeFleet::start().await;
    let url = format!("http://{}/v1/entries?region=north", fleet.front.directory_address());
    let listed = async {
        loop {
            let response = fleet.client.get(&url).send().await.expect("the directory responds");
            let body: serde_json::Value = response.json().await.expect("the lookup is JSON");
            if body["entries"][0]["address"] == fleet.front.address().to_string() {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(WAIT_TIMEOUT, listed).await.expect("the front is listed in time");
    let NativeFleet { store, front, .. } = fleet;
    front.leave().await;
    let table = store.read("fronts/instances").await.expect("the store responds");
    assert_eq!(table.expect("the table exists").content.as_ref(), br#"{"instances":{}}"#);
}
