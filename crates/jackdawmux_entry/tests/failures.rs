//! Failures over real processes: kills, freezes, outages of the store, races and poison.

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
/// Requests a second, a fifth of what the slots carry: the tests share a machine.
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

/// Nothing ran twice and no endpoint was asked for more than its slots.
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
async fn a_killed_entry_doubles_nothing(#[case] name: &str, #[case] keys: KeySource) {
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
    let report = running.await.expect("the load").expect("the load");
    system.wait_owned(&[0, 2, 3], SIZE.endpoints).await;
    assert_bounds(&system).await;
    assert!(served(&report) > 300, "{}", report.table());
    let (status, outcome, _) = system.get(0, "/ledger/balance").await;
    assert_eq!((status, outcome.as_str()), (200, "ran"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_entry_loses_its_endpoints_and_finds_out() {
    let system = TestSystem::start("freeze", SIZE).await;
    let load = settings(&system, &[0, 2, 3], KeySource::Tickets, 6_000);
    let running = tokio::spawn(async move { run_load(&load).await });
    system.entries[1].signal(Signal::STOP);
    system.wait_owned(&[0, 2, 3], SIZE.endpoints).await;
    system.entries[1].signal(Signal::CONT);
    // It joins again, and endpoints come back to it.
    system
        .wait_for("the thawed entry owns endpoints again", &[1], |states| {
            owned_endpoints(&states[0]) > 0
        })
        .await;
    let report = running.await.expect("the load").expect("the load");
    assert_bounds(&system).await;
    assert!(served(&report) > 300, "{}", report.table());
}

#[tokio::test(flavor = "multi_thread")]
async fn service_goes_on_while_the_store_is_away() {
    let mut system = TestSystem::start("outage", SIZE).await;
    system.store_faults("{\"is_down\":true}").await;
    let load = settings(&system, &[0, 1, 2, 3], KeySource::Tickets, 4_500);
    let report = run_load(&load).await.expect("the load");
    // Longer than the lease, and nothing was refused for it.
    assert_eq!(report.count("not-run") + report.count("error"), 0, "{}", report.table());
    let (_, outcome, body) = system.refund(0, "an-own-key", "{}").await;
    assert_eq!(outcome, "not-run", "{body}");
    assert!(body.contains("claim-unavailable"), "{body}");
    // One that starts now has the configuration from a peer and serves by borrowing.
    let seed = system.entries[0].peer_address.expect("a peer address").to_string();
    let late = system.spawn_entry(4, &["--seed".to_owned(), seed]);
    system.entries.push(late);
    system.wait_version(&[4], 1).await;
    // It serves as soon as its peers have told it of their slots.
    let mut answer = system.get(4, "/ledger/balance").await;
    let longest = tokio::time::Instant::now() + support::WAIT_LONGEST;
    while answer.1 != "ran" && tokio::time::Instant::now() < longest {
        answer = system.get(4, "/ledger/balance").await;
    }
    assert_eq!((answer.0, answer.1.as_str()), (200, "ran"), "{}", answer.2);
    system.store_faults("{}").await;
    system.wait_owned(&[0, 1, 2, 3, 4], SIZE.endpoints).await;
    assert_bounds(&system).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_key_at_every_entry_at_once_runs_once() {
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
                    request.send().await.map(|answer| answer.headers()["jackdaw-outcome"].clone())
                });
            }
        }
        while let Some(outcome) = repeats.join_next().await {
            let outcome = outcome.expect("the repeat").expect("an answer");
            assert!(outcome == "ran" || outcome == "unknown", "{outcome:?}");
        }
        assert_eq!(system.runs_by_key().await.get(&key), Some(&1));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_store_double_nothing() {
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
async fn of_two_operators_one_wins_and_the_other_is_told() {
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
    let loser = if codes[0] == Some(1) { &one } else { &two };
    let text = String::from_utf8_lossy(&loser.stderr).into_owned();
    assert!(text.contains("another change came first") && text.contains("drain domain"), "{text}");
    system.wait_version(&[0, 1, 2, 3], 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poisonous_request_is_stopped_everywhere() {
    let system = TestSystem::start("poison", SIZE).await;
    let mut outcomes = Vec::new();
    for repeat in 0..12 {
        let url = format!("http://{}/ledger/balance?poison=1", system.entries[repeat % 4].address);
        let request = system.client.get(url).header("standin-crash", "1");
        let answer = request.send().await.expect("an answer");
        outcomes.push(answer.text().await.unwrap_or_default());
    }
    let counts = system.upstream_counts().await;
    let deaths: u64 = counts.iter().filter_map(|count| count["deaths"].as_u64()).sum();
    assert!(deaths <= 3, "{deaths} deaths; {outcomes:#?}");
    assert!(outcomes[11].contains("poisonous"), "{outcomes:#?}");
    let (status, ..) = system.get(3, "/ledger/balance?innocent=1").await;
    assert_eq!(status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_upstream_gets_no_new_work() {
    let system = TestSystem::start("drain", SIZE).await;
    let load = settings(&system, &[0, 1, 2, 3], KeySource::Tickets, 4_000);
    let running = tokio::spawn(async move { run_load(&load).await });
    let target = system.upstreams[0].address.to_string();
    assert!(system.ctl(&["drain", &target]).status.success());
    system.wait_version(&[0, 1, 2, 3], 2).await;
    let begun = |counts: &[serde_json::Value]| counts[0]["begun"].as_u64();
    // Two seconds from the accept are allowed; loans under way may take that long to lapse.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = begun(&system.upstream_counts().await);
    let report = running.await.expect("the load").expect("the load");
    assert_eq!(begun(&system.upstream_counts().await), before, "new work after the drain");
    assert_eq!(report.count("error") + report.count("unknown"), 0, "{}", report.table());
}

#[rstest]
#[case::own_keys("rolling-own", KeySource::Own)]
#[case::tickets("rolling-tickets", KeySource::Tickets)]
#[tokio::test(flavor = "multi_thread")]
async fn replacing_every_entry_in_turn_cuts_nothing(#[case] name: &str, #[case] keys: KeySource) {
    let mut system = TestSystem::start(name, SIZE).await;
    let load = settings(&system, &[0, 1, 2, 3], keys, 9_000);
    let running = tokio::spawn(async move { run_load(&load).await });
    for entry in 0..4 {
        let listen = system.entries[entry].address.to_string();
        let peer = system.entries[entry].peer_address.expect("a peer address").to_string();
        system.entries[entry].signal(Signal::TERM);
        assert!(system.entries[entry].wait_end().await, "entry {entry} did not stop gracefully");
        let again = ["--listen".to_owned(), listen, "--peer-listen".to_owned(), peer];
        system.entries[entry] = system.spawn_entry(entry, &again);
        system.wait_owned(&[0, 1, 2, 3], SIZE.endpoints).await;
    }
    let report = running.await.expect("the load").expect("the load");
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
    assert!(system.entries[1].wait_end().await, "the entry did not stop gracefully");
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
    // Each answer of a peer in the other region tells that it has heard of the version too.
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
async fn entries_that_start_together_without_the_store_serve_once_it_is_back() {
    let none = SystemSize { entries: 0, ..SIZE };
    let mut system = TestSystem::start_bare("all-at-once", none);
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
    system.wait_settled(SIZE.endpoints).await;
    let (status, outcome, _) = system.get(0, "/ledger/balance").await;
    assert_eq!((status, outcome.as_str()), (200, "ran"));
}
