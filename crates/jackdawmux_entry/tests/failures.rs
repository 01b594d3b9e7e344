//! Failure tests over real processes: killed and frozen entries, store outages, concurrent accepts
//! and poison requests.

mod support;

use std::time::Duration;

use jackdawmux_standins::caller::{CallerSettings, KeySource, OperationLoad, run_load};
use jackdawmux_standins::deployment::OperationProfile;
use jackdawmux_standins::report::LoadReport;
use rstest::rstest;
use rustix::process::Signal;
use support::{SystemSize, TestSystem, owned_endpoints};
use tokio::task::JoinSet;

const SIZE: SystemSize = SystemSize { entries: 4, endpoints: 8, slots: 3, service_ms: 20 };
const LOOKUP: OperationProfile = OperationProfile {
    service: "ledger",
    method: "GET",
    path: "/balance",
    priority: "low",
    is_at_most_once: false,
    body_bytes: 0,
    share_percent: 60,
};
const REFUND: OperationProfile = OperationProfile {
    service: "ledger",
    method: "POST",
    path: "/refunds",
    priority: "high",
    is_at_most_once: true,
    body_bytes: 100,
    share_percent: 40,
};
/// Requests per second, a fifth of the capacity of all slots, because the tests share a machine.
const RATE: f64 = 240.0;

fn settings(
    system: &TestSystem,
    entries: &[usize],
    keys: KeySource,
    millis: u64,
) -> CallerSettings {
    CallerSettings {
        entries: entries.iter().map(|entry| system.entries[*entry].address).collect(),
        loads: [LOOKUP, REFUND]
            .into_iter()
            .map(|operation| OperationLoad {
                operation,
                rate: RATE * f64::from(operation.share_percent) / 100.0,
            })
            .collect(),
        duration: Duration::from_millis(millis),
        seed: 7,
        keys,
        is_skewed: false,
    }
}

/// Asserts that no key ran twice and that no endpoint was sent more concurrent requests than it has
/// slots.
async fn assert_bounds(system: &TestSystem) {
    let runs = system.runs_by_key().await;
    let doubled: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
    assert!(doubled.is_empty(), "ran twice: {doubled:?}");
    assert_eq!(system.overloads().await, 0, "an endpoint was overloaded");
}

fn served(report: &LoadReport) -> u64 {
    report.count("ran")
}

#[rstest]
#[case::tickets("kill-tickets", KeySource::Tickets)]
#[case::own_keys("kill-own", KeySource::Own)]
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_entry_causes_no_duplicate_run(#[case] name: &str, #[case] keys: KeySource) {
    let mut system = TestSystem::start(name, SIZE).await;
    let load = settings(&system, &[0, 1, 2, 3], keys, 3_000);
    let running = tokio::spawn(async move { run_load(&load).await });
    let some_served = |counts: &[serde_json::Value]| {
        counts.iter().filter_map(|count| count["answered"].as_u64()).sum::<u64>() > 150
    };
    while !some_served(&system.upstream_counts().await) {
        tokio::task::yield_now().await;
    }
    system.entries[1].kill();
    let report = running.await.expect("the load task finishes").expect("the load runs");
    system.wait_owned(&[0, 2, 3], SIZE.endpoints).await;
    assert_bounds(&system).await;
    assert!(served(&report) > 300, "{}", report.table());
    let (status, outcome, _) = system.get(0, "/ledger/balance").await;
    assert_eq!((status, outcome.as_str()), (200, "ran"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_entry_loses_its_endpoints_and_rejoins_when_resumed() {
    let system = TestSystem::start("freeze", SIZE).await;
    let load = settings(&system, &[0, 2, 3], KeySource::Tickets, 6_000);
    let running = tokio::spawn(async move { run_load(&load).await });
    system.entries[1].signal(Signal::STOP);
    system.wait_owned(&[0, 2, 3], SIZE.endpoints).await;
    system.entries[1].signal(Signal::CONT);
    // The entry joins the group again and gets endpoints back.
    system
        .wait_for("the resumed entry owns endpoints again", &[1], |states| {
            owned_endpoints(&states[0]) > 0
        })
        .await;
    let report = running.await.expect("the load task finishes").expect("the load runs");
    assert_bounds(&system).await;
    assert!(served(&report) > 300, "{}", report.table());
}

#[tokio::test(flavor = "multi_thread")]
async fn serving_continues_while_the_store_is_down() {
    let mut system = TestSystem::start("outage", SIZE).await;
    system.store_faults("{\"is_down\":true}").await;
    let load = settings(&system, &[0, 1, 2, 3], KeySource::Tickets, 4_500);
    let report = run_load(&load).await.expect("the load runs");
    // The outage lasts longer than the lease, and no request was refused because of it.
    assert_eq!(report.count("not-run") + report.count("error"), 0, "{}", report.table());
    let (_, outcome, body) = system.refund(0, "an-own-key", "{}").await;
    assert_eq!(outcome, "not-run", "{body}");
    assert!(body.contains("claim-unavailable"), "{body}");
    // An entry that starts now gets the configuration from a peer and uses slots of its peers.
    let seed = system.entries[0].peer_address.expect("a peer address").to_string();
    let late_entry = system.spawn_entry(4, &["--seed".to_owned(), seed]);
    system.entries.push(late_entry);
    system.wait_version(&[4], 1).await;
    // It serves requests once its peers have reported their slots.
    let mut response = system.get(4, "/ledger/balance").await;
    let deadline = tokio::time::Instant::now() + support::WAIT_TIMEOUT;
    while response.1 != "ran" && tokio::time::Instant::now() < deadline {
        response = system.get(4, "/ledger/balance").await;
    }
    assert_eq!((response.0, response.1.as_str()), (200, "ran"), "{}", response.2);
    system.store_faults("{}").await;
    system.wait_owned(&[0, 1, 2, 3, 4], SIZE.endpoints).await;
    assert_bounds(&system).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_key_sent_to_all_entries_at_once_runs_once() {
    let system = TestSystem::start("one-key", SIZE).await;
    for (round, own_key) in [(0, true), (1, false), (2, true)] {
        let key = if own_key { format!("key-{round}") } else { system.ticket(2).await };
        let mut repeats = JoinSet::new();
        for entry in 0..4 {
            for _ in 0..3 {
                let (client, key) = (system.client.clone(), key.clone());
                let url = format!("http://{}/ledger/refunds", system.entries[entry].address);
                repeats.spawn(async move {
                    let request = client.post(url).header("idempotency-key", key).body("{}");
                    request
                        .send()
                        .await
                        .map(|response| response.headers()["jackdaw-outcome"].clone())
                });
            }
        }
        while let Some(outcome) = repeats.join_next().await {
            let outcome = outcome.expect("the task finishes").expect("the entry responds");
            assert!(outcome == "ran" || outcome == "unknown", "{outcome:?}");
        }
        assert_eq!(system.runs_by_key().await.get(&key), Some(&1));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_store_responses_cause_no_duplicate_run() {
    let system = TestSystem::start("lost-answer", SIZE).await;
    system.store_faults("{\"lost_answers\":1}").await;
    let (_, outcome, body) = system.refund(0, "claimed-unseen", "{}").await;
    assert_eq!(outcome, "ran", "{body}");
    let (_, outcome, _) = system.refund(1, "claimed-unseen", "{}").await;
    assert_eq!(outcome, "ran replayed");
    assert_eq!(system.runs_by_key().await.get("claimed-unseen"), Some(&1));
    system.store_faults("{\"lost_answers\":2}").await;
    system.accept(&system.rules(SIZE), &["--note", "answers lost"]);
    let log = system.ctl(&["log"]);
    let log = String::from_utf8_lossy(&log.stdout).into_owned();
    assert_eq!(log.lines().count(), 2, "{log}");
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrent_accepts_one_is_refused_with_the_difference() {
    let system = TestSystem::start("race", SIZE).await;
    let rules = system.rules(SIZE);
    let path = |name: &str, extra: &str| {
        let path = system.write_rules(name, &format!("{rules}{extra}"));
        path.display().to_string()
    };
    let left = path("left.rules", "drain domain north-a  # left operator: cable work\n");
    let right = path("right.rules", "drain domain north-b  # right operator: cable work\n");
    let (one, two) = std::thread::scope(|scope| {
        let one = scope.spawn(|| system.ctl(&["accept", "--base", "1", &left]));
        let two = scope.spawn(|| system.ctl(&["accept", "--base", "1", &right]));
        (one.join().expect("left"), two.join().expect("right"))
    });
    let codes = [one.status.code(), two.status.code()];
    assert!(codes.contains(&Some(0)) && codes.contains(&Some(1)), "{codes:?}");
    let rejected = if codes[0] == Some(1) { &one } else { &two };
    let text = String::from_utf8_lossy(&rejected.stderr).into_owned();
    assert!(text.contains("another change came first") && text.contains("drain domain"), "{text}");
    system.wait_version(&[0, 1, 2, 3], 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_is_blocked_by_all_entries() {
    let system = TestSystem::start("poison", SIZE).await;
    let mut outcomes = Vec::new();
    for repeat in 0..12 {
        let url = format!("http://{}/ledger/balance?poison=1", system.entries[repeat % 4].address);
        let request = system.client.get(url).header("standin-crash", "1");
        let response = request.send().await.expect("the entry responds");
        outcomes.push(response.text().await.unwrap_or_default());
    }
    let counts = system.upstream_counts().await;
    let crashes: u64 = counts.iter().filter_map(|count| count["deaths"].as_u64()).sum();
    assert!(crashes <= 3, "{crashes} crashes; {outcomes:#?}");
    assert!(outcomes[11].contains("poisonous"), "{outcomes:#?}");
    let (status, ..) = system.get(3, "/ledger/balance?innocent=1").await;
    assert_eq!(status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_upstream_gets_no_new_requests() {
    let system = TestSystem::start("drain", SIZE).await;
    let load = settings(&system, &[0, 1, 2, 3], KeySource::Tickets, 4_000);
    let running = tokio::spawn(async move { run_load(&load).await });
    let target = system.upstreams[0].address.to_string();
    assert!(system.ctl(&["drain", &target]).status.success());
    system.wait_version(&[0, 1, 2, 3], 2).await;
    let begun = |counts: &[serde_json::Value]| counts[0]["begun"].as_u64();
    // The drain may take up to two seconds from the accept, because loans of slots that are still
    // active may take that long to expire.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = begun(&system.upstream_counts().await);
    let report = running.await.expect("the load task finishes").expect("the load runs");
    assert_eq!(begun(&system.upstream_counts().await), before, "new requests after the drain");
    assert_eq!(report.count("error") + report.count("unknown"), 0, "{}", report.table());
}

#[rstest]
#[case::own_keys("rolling-own", KeySource::Own)]
#[case::tickets("rolling-tickets", KeySource::Tickets)]
#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart_interrupts_no_request(#[case] name: &str, #[case] keys: KeySource) {
    let mut system = TestSystem::start(name, SIZE).await;
    let load = settings(&system, &[0, 1, 2, 3], keys, 9_000);
    let running = tokio::spawn(async move { run_load(&load).await });
    for entry in 0..4 {
        let listen = system.entries[entry].address.to_string();
        let peer = system.entries[entry].peer_address.expect("a peer address").to_string();
        system.entries[entry].signal(Signal::TERM);
        assert!(system.entries[entry].wait_exit().await, "entry {entry} did not stop gracefully");
        let listen_flags = ["--listen".to_owned(), listen, "--peer-listen".to_owned(), peer];
        system.entries[entry] = system.spawn_entry(entry, &listen_flags);
        system.wait_owned(&[0, 1, 2, 3], SIZE.endpoints).await;
    }
    let report = running.await.expect("the load task finishes").expect("the load runs");
    assert_bounds(&system).await;
    assert_eq!(report.count("unknown"), 0, "{}", report.table());
}

#[tokio::test(flavor = "multi_thread")]
async fn tickets_of_a_leaving_entry_run_once_at_its_successor() {
    let mut system = TestSystem::start("successor", SIZE).await;
    let (used, unused) = (system.ticket(1).await, system.ticket(1).await);
    let (_, outcome, _) = system.refund(1, &used, "{}").await;
    assert_eq!(outcome, "ran");
    system.entries[1].signal(Signal::TERM);
    assert!(system.entries[1].wait_exit().await, "the entry did not stop gracefully");
    let (_, outcome, body) = system.refund(0, &used, "{}").await;
    assert_eq!(outcome, "unknown", "{body}");
    let (_, outcome, body) = system.refund(0, &unused, "{}").await;
    assert_eq!(outcome, "ran", "{body}");
    let (_, outcome, _) = system.refund(2, &unused, "{}").await;
    assert_eq!(outcome, "ran replayed");
    assert_bounds(&system).await;
}

#[rstest]
#[case::all("shift-all", 100)]
#[case::half("shift-half", 50)]
#[case::none("shift-none", 0)]
#[tokio::test(flavor = "multi_thread")]
async fn a_shift_moves_no_more_than_its_cap(#[case] name: &str, #[case] cap: u64) {
    let system = TestSystem::start(name, SIZE).await;
    let shift = format!(
        "shift ledger from north to mid cap {cap}% start 2020-01-01T00:00:00Z \
         end 2020-01-02T00:00:00Z  # ward office: inspection\n"
    );
    system.accept(&format!("{}{shift}", system.rules(SIZE)), &[]);
    system.wait_version(&[0, 1, 2, 3], 2).await;
    // Each response of a peer in the other region shows that the peer has received the version too.
    let before = served_by_domain(&system).await;
    for number in 0..60 {
        let (status, ..) = system.get(0, &format!("/ledger/balance?number={number}")).await;
        assert_eq!(status, 200);
    }
    let after = served_by_domain(&system).await;
    let served = |domain: &str| after[domain] - before[domain];
    let moved = served("mid-a") + served("mid-b");
    assert!(moved * 100 <= 60 * cap, "{moved} of 60 moved under a cap of {cap} %");
    if cap == 100 {
        assert_eq!(moved, 60);
    }
}

async fn served_by_domain(system: &TestSystem) -> std::collections::BTreeMap<&'static str, u64> {
    let mut served = std::collections::BTreeMap::new();
    for (index, count) in system.upstream_counts().await.iter().enumerate() {
        let domain = support::DOMAINS[index % support::DOMAINS.len()];
        *served.entry(domain).or_default() += count["answered"].as_u64().unwrap_or(0);
    }
    served
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_started_during_a_store_outage_serve_after_it() {
    let none = SystemSize { entries: 0, ..SIZE };
    let mut system = TestSystem::start_without_rules("all-at-once", none);
    system.store_faults("{\"is_down\":true}").await;
    for index in 0..4 {
        let entry = system.spawn_entry(index, &[]);
        system.entries.push(entry);
    }
    for entry in 0..4 {
        let (status, outcome, body) = system.get(entry, "/ledger/balance").await;
        assert_eq!((status, outcome.as_str()), (503, "not-run"), "{body}");
        assert!(body.contains("no-configuration"), "{body}");
    }
    system.store_faults("{}").await;
    system.accept(&system.rules(SIZE), &[]);
    system.wait_all_owned(SIZE.endpoints).await;
    let (status, outcome, _) = system.get(0, "/ledger/balance").await;
    assert_eq!((status, outcome.as_str()), (200, "ran"));
}
