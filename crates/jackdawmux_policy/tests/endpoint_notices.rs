//! Endpoints that state in a response that they are leaving, or that they want a pause.

#[path = "support/fleet_fixtures.rs"]
mod fleet_fixtures;

use std::collections::HashMap;
use std::time::Duration;

use fleet_fixtures::{SERVICE, endpoint, listed, route, steering};
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::backoff::{MAX_PAUSE, endpoint_pause};
use jackdawmux_policy::fleet::choice::{
    ChoiceRefusal, ChoiceRefusalReason, EndpointChoice, EndpointKey, EndpointNotice, EndpointQuery,
    NoticeEffect,
};
use jackdawmux_policy::fleet::outlier::AttemptOutcome;
use jackdawmux_policy::fleet::record::EndpointRecord;
use jackdawmux_policy::fleet::steering::FleetSteering;
use proptest::prelude::*;

const LEAVING: EndpointNotice = EndpointNotice { is_leaving: true, retry_after: None };

fn at(millis: u64) -> PolicyTime {
    PolicyTime::from_millis(millis)
}

fn pause(millis: u64) -> EndpointNotice {
    EndpointNotice { is_leaving: false, retry_after: Some(Duration::from_millis(millis)) }
}

fn front(endpoints: u16) -> FleetSteering {
    steering("front-0", "a", &["front-0".to_owned()], endpoints)
}

/// Chooses an endpoint for an object and ends the attempt immediately.
fn choose(
    steering: &mut FleetSteering,
    now: PolicyTime,
    object: u64,
) -> Result<EndpointChoice, ChoiceRefusal> {
    let route = route();
    let query =
        EndpointQuery { service: SERVICE, route: &route, object, attempted: &[], is_retry: false };
    let choice = steering.choose(now, &query)?;
    steering.finish(now, SERVICE, choice.key, AttemptOutcome::Cancelled, None);
    Ok(choice)
}

/// Number of objects per endpoint, of 600 objects.
fn shares(steering: &mut FleetSteering, now: PolicyTime) -> HashMap<EndpointKey, usize> {
    let mut shares = HashMap::new();
    for object in 0..600 {
        let choice = choose(steering, now, object).expect("an endpoint is usable");
        *shares.entry(choice.key).or_default() += 1;
    }
    shares
}

#[test]
fn a_leaving_endpoint_gets_no_requests_although_its_registration_says_ready() {
    let mut steering = front(6);
    let choice = choose(&mut steering, at(10), 1).expect("an endpoint is usable");
    assert_eq!(steering.record_notice(at(20), &choice, LEAVING), NoticeEffect::Leaving);
    assert_eq!(steering.record_notice(at(21), &choice, LEAVING), NoticeEffect::None);
    assert!(!shares(&mut steering, at(30)).contains_key(&choice.key));
    // A list that still says ready, also one that was read later.
    steering.replace_endpoints(at(40), listed((0..6).map(endpoint)));
    assert!(!shares(&mut steering, at(50)).contains_key(&choice.key));
}

#[test]
fn a_leaving_endpoint_that_is_removed_and_listed_again_stays_unused() {
    let mut steering = front(6);
    let choice = choose(&mut steering, at(10), 1).expect("an endpoint is usable");
    steering.record_notice(at(20), &choice, LEAVING);
    steering.remove_endpoint(at(30), &choice.id);
    steering.replace_endpoints(at(40), listed((0..6).map(endpoint)));
    assert!(!shares(&mut steering, at(50)).contains_key(&choice.key));
}

#[test]
fn a_leaving_endpoint_is_used_after_it_has_started_again() {
    let mut steering = front(6);
    let choice = choose(&mut steering, at(10), 1).expect("an endpoint is usable");
    steering.record_notice(at(20), &choice, LEAVING);
    let restarted = |index| EndpointRecord { started_ms: 2, ..endpoint(index) };
    steering.replace_endpoints(at(30), listed((0..6).map(restarted)));
    assert!(shares(&mut steering, at(40)).contains_key(&choice.key));
    // A late response of the earlier incarnation.
    assert_eq!(steering.record_notice(at(50), &choice, LEAVING), NoticeEffect::None);
    assert!(shares(&mut steering, at(60)).contains_key(&choice.key));
}

#[test]
fn a_paused_endpoint_gets_no_requests_until_the_pause_ends() {
    let mut steering = front(6);
    let choice = choose(&mut steering, at(10), 1).expect("an endpoint is usable");
    steering.record_notice(at(20), &choice, pause(2_000));
    for millis in (20..2_020).step_by(100) {
        assert!(!shares(&mut steering, at(millis)).contains_key(&choice.key), "after {millis} ms");
    }
    assert!(shares(&mut steering, at(3_100)).contains_key(&choice.key));
}

/// Answers the load of a paused endpoint: its objects are spread over the others by their shares.
#[test]
fn the_objects_of_a_paused_endpoint_are_spread_over_the_others() {
    let mut steering = front(12);
    let before = shares(&mut steering, at(10));
    let choice = choose(&mut steering, at(20), 1).expect("an endpoint is usable");
    steering.record_notice(at(30), &choice, pause(2_000));
    let after = shares(&mut steering, at(40));
    let moved = before[&choice.key];
    for (key, count) in &after {
        let gained = count.saturating_sub(before[key]);
        assert!(gained <= moved / 2, "{gained} of {moved} objects moved to one endpoint");
    }
}

#[test]
fn a_service_whose_endpoints_all_pause_refuses_until_the_first_pause_ends() {
    let mut steering = front(3);
    for seconds in 1..=3 {
        let choice = choose(&mut steering, at(10), 1).expect("an endpoint does not pause yet");
        steering.record_notice(at(20), &choice, pause(1_000 * seconds));
    }
    let refusal = choose(&mut steering, at(100), 1).expect_err("all endpoints pause");
    assert_eq!(refusal.reason, ChoiceRefusalReason::Paused);
    assert!(refusal.retry_after >= Duration::from_millis(920), "{refusal:?}");
    assert!(refusal.retry_after <= Duration::from_millis(1_300), "{refusal:?}");
    assert!(choose(&mut steering, at(100) + refusal.retry_after, 1).is_ok());
}

proptest! {
    #[test]
    fn a_pause_is_bounded_and_never_shorter_than_requested(
        millis in 0_u64..100_000_000,
        own in "[a-z]{1,8}",
        key in any::<u64>(),
    ) {
        let requested = Duration::from_millis(millis);
        let granted = endpoint_pause(requested, &own, EndpointKey(key));
        prop_assert!(granted >= requested.min(MAX_PAUSE));
        prop_assert!(granted <= MAX_PAUSE + Duration::from_secs(2));
    }
}

#[test]
fn instances_return_to_a_paused_endpoint_at_different_times() {
    let pause = |own: u16| {
        endpoint_pause(Duration::from_secs(4), &format!("front-{own}"), EndpointKey(7)).as_millis()
    };
    let mut pauses: Vec<u128> = (0..100).map(pause).collect();
    pauses.sort_unstable();
    // Evenly spread over a second: no tenth of it holds more than a quarter of the instances.
    let densest = pauses
        .iter()
        .map(|start| pauses.iter().filter(|other| (*start..start + 100).contains(other)).count());
    assert!(densest.max() <= Some(25), "{pauses:?}");
}
