//! A store that does not answer the watches that wait at some moment.

mod support;

use std::time::Duration;

use support::{SystemSize, TestSystem};
use tokio::time::{Instant, sleep};

/// Time within which an accepted version must be active everywhere.
const ACTIVATION_DEADLINE: Duration = Duration::from_secs(4);
/// Time in which the watches that wait at the store notice the fault.
const FAULT_TIME: Duration = Duration::from_millis(200);
const SIZE: SystemSize = SystemSize { entries: 4, endpoints: 8, slots: 6, service_ms: 20 };

/// Guards against a version that is hidden from all entries because their watches of the head have lost
/// the same reply.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_watch_reply_hides_no_version() {
    let system = TestSystem::start("lost-watch", SIZE).await;
    system.store_faults("{\"drops_watches\":true}").await;
    sleep(FAULT_TIME).await;
    system.store_faults("{}").await;
    let accepted = Instant::now();
    system.accept(&system.rules(SIZE), &["--note", "lost reply"]);
    system.wait_version(&[0, 1, 2, 3], 2).await;
    assert!(accepted.elapsed() < ACTIVATION_DEADLINE, "{:?}", accepted.elapsed());
}

/// Guards against a view that is hidden from all members but the one that wrote it.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_watch_reply_hides_no_view() {
    let mut system = TestSystem::start("lost-view", SIZE).await;
    system.store_faults("{\"drops_watches\":true}").await;
    sleep(FAULT_TIME).await;
    system.store_faults("{}").await;
    let seed = system.entries[0].peer_address.expect("a peer address").to_string();
    let entry = system.spawn_entry(4, &["--seed".to_owned(), seed]);
    system.entries.push(entry);
    let started = Instant::now();
    system
        .wait_for("the same view with five members", &[0, 1, 2, 3, 4], |states| {
            let versions: Vec<_> =
                states.iter().map(|state| &state["steering"]["view_version"]).collect();
            let is_member = states[4]["steering"]["is_member"] == true;
            is_member && versions.iter().all(|version| *version == versions[0])
        })
        .await;
    assert!(started.elapsed() < ACTIVATION_DEADLINE, "{:?}", started.elapsed());
}
