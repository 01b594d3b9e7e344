//! Instances that reach no endpoint: how this is told apart from the loss of endpoints, and what it
//! leaves behind.

#[path = "support/fleet_fixtures.rs"]
mod fleet_fixtures;

use std::time::Duration;

use fleet_fixtures::{SERVICE, endpoint, route, steering};
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::choice::{EndpointKey, EndpointQuery};
use jackdawmux_policy::fleet::outlier::AttemptOutcome;
use jackdawmux_policy::fleet::reachability::Reachability;
use jackdawmux_policy::fleet::record::RouteRecord;
use jackdawmux_policy::fleet::steering::FleetSteering;
use rstest::rstest;

const DIGEST: u64 = 77;
const ENDPOINTS: u16 = 8;

fn at(millis: u64) -> PolicyTime {
    PolicyTime::from_millis(millis)
}

fn query(route: &RouteRecord, object: u64) -> EndpointQuery<'_> {
    EndpointQuery {
        service: SERVICE,
        route,
        team: None,
        object,
        attempted: &[],
        is_retry: false,
        connected: None,
        deadline: None,
    }
}

fn front() -> FleetSteering {
    steering("front-0", "a", &["front-0".to_owned(), "front-1".to_owned()], ENDPOINTS)
}

fn key(index: u16) -> EndpointKey {
    EndpointKey::of(&endpoint(index).id)
}

/// Fails attempts at the first `count` endpoints.
fn fail(front: &mut FleetSteering, now: PolicyTime, count: u16, outcome: AttemptOutcome) {
    for index in 0..count {
        front.finish(now, SERVICE, key(index), outcome, None);
    }
}

/// Fails attempts and the round of probes that follows.
fn isolate(front: &mut FleetSteering, now: PolicyTime, outcome: AttemptOutcome) {
    fail(front, now, ENDPOINTS, outcome);
    assert!(!front.start_probe_round(now, 3).is_empty(), "a round is due");
    assert!(front.record_failed_round(now), "the instance is isolated");
}

/// Guards against an instance that counts as isolated because single endpoints crashed.
#[test]
fn endpoints_that_crash_while_others_are_reached_isolate_nobody() {
    let mut front = front();
    fail(&mut front, at(1_000), 1, AttemptOutcome::Unreachable);
    assert!(front.start_probe_round(at(1_000), 0).is_empty(), "one endpoint is no suspicion");
    fail(&mut front, at(1_100), 2, AttemptOutcome::Unreachable);
    let targets = front.start_probe_round(at(1_100), 0);
    assert!(targets.len() >= 2, "endpoints of different failure domains are probed: {targets:?}");
    front.record_connected(at(1_110));
    assert!(!front.record_failed_round(at(1_400)), "a connection was opened in the round");
    assert_eq!(front.reachability().state(), Reachability::Reachable);
    assert!(front.start_probe_round(at(2_500), 0).is_empty(), "the failures count no more");
}

/// Guards against an isolation that ends while registrations of restarted endpoints are on the way.
#[test]
fn an_isolation_ends_a_while_after_the_first_connection() {
    let mut front = front();
    isolate(&mut front, at(1_000), AttemptOutcome::Silent);
    assert!(front.start_probe_round(at(1_200), 0).is_empty());
    assert!(!front.start_probe_round(at(1_500), 0).is_empty());
    assert!(front.record_connected(at(9_000)));
    assert!(front.reachability().is_isolated());
    assert!(!front.take_recovered(at(10_100), true));
    assert!(front.take_recovered(at(10_200), true));
    assert!(!front.reachability().is_isolated());
}

/// Guards against a harmless request that is blocked as poison, because its connections were reset by
/// a partition and further ones were refused.
#[test]
fn requests_lost_in_a_partition_are_no_crashes() {
    let mut front = front();
    for index in 0..3 {
        front.crashes_mut().record_lost(at(990), DIGEST, key(index));
    }
    isolate(&mut front, at(1_000), AttemptOutcome::Unreachable);
    front.record_connected(at(4_000));
    assert!(front.crashes().is_empty());
}

/// Guards against a request that crashes endpoints and is not blocked, because a refused connection
/// alone no longer counts.
#[test]
fn a_refused_connection_is_a_crash_once_another_endpoint_is_connected_to() {
    let mut front = front();
    for index in 0..3 {
        front.crashes_mut().record_lost(at(990), DIGEST, key(index));
    }
    fail(&mut front, at(1_000), 3, AttemptOutcome::Unreachable);
    assert!(!front.crashes().is_blocked(at(1_000), DIGEST));
    front.record_connected(at(1_050));
    assert!(front.crashes().is_blocked(at(1_050), DIGEST));
}

/// Returns how many of 100 requests within a second an instance sends after a partition.
fn sent_after(outcome: AttemptOutcome, keeps_warm: bool) -> usize {
    let mut front = front();
    isolate(&mut front, at(1_000), outcome);
    front.record_connected(at(8_000));
    assert!(front.take_recovered(at(9_200), keeps_warm));
    let route = route();
    let sent = (0..100_u64).filter(|step| {
        let now = at(9_200 + step * 10);
        let Ok(choice) = front.choose(now, &query(&route, *step)) else {
            return false;
        };
        front.finish(now, SERVICE, choice.key, AttemptOutcome::Answered(None), None);
        true
    });
    sent.count()
}

/// Guards against endpoints that stay ejected, or count as cold, after a partition in which they ran
/// all the time.
#[rstest]
#[case::hang(AttemptOutcome::Silent)]
#[case::reset(AttemptOutcome::Unreachable)]
fn endpoints_are_used_in_full_after_a_partition(#[case] outcome: AttemptOutcome) {
    assert_eq!(sent_after(outcome, true), 100);
}

/// Guards against requests above the rate of cold endpoints, where nobody reached them in the
/// meantime: they may have restarted.
#[test]
fn endpoints_that_nobody_reached_count_as_cold() {
    assert!(sent_after(AttemptOutcome::Unreachable, false) < 100);
}

/// Guards against connections that count as surviving because a response was on the way when the
/// partition began.
#[test]
fn only_later_responses_show_that_connections_survive() {
    let mut front = front();
    let answered = AttemptOutcome::Answered(None);
    isolate(&mut front, at(1_000), AttemptOutcome::Unreachable);
    front.finish(at(1_010), SERVICE, key(0), answered, None);
    assert!(!front.reachability().has_usable_connections(at(1_020)));
    front.finish(at(1_200), SERVICE, key(0), answered, None);
    assert!(front.reachability().has_usable_connections(at(1_300)));
    let later = at(1_200) + Duration::from_secs(2);
    assert!(!front.reachability().has_usable_connections(later));
}
