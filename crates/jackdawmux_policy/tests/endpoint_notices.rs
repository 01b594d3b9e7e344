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
    LimitStatement, NoticeEffect,
};
use jackdawmux_policy::fleet::outlier::AttemptOutcome;
use jackdawmux_policy::fleet::record::EndpointRecord;
use jackdawmux_policy::fleet::steering::FleetSteering;
use proptest::prelude::*;

const LEAVING: EndpointNotice =
    EndpointNotice { is_leaving: true, retry_after: None, limit: LimitStatement::Unknown };

fn at(millis: u64) -> PolicyTime {
    PolicyTime::from_millis(millis)
}

fn pause(millis: u64) -> EndpointNotice {
    EndpointNotice { retry_after: Some(Duration::from_millis(millis)), ..EndpointNotice::default() }
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
    let query = EndpointQuery {
        service: SERVICE,
        route: &route,
        team: None,
        object,
        attempted: &[],
        is_retry: false,
        connected: None,
        deadline: None,
    };
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

/// An outage of the source that ended at `ended_at`; registrations that lapsed are kept for a while.
/// Guards against callers who are refused until a pause ends, because the only other endpoint stays
/// ejected as if the paused one could take its requests.
#[test]
fn an_ejected_endpoint_is_used_if_the_others_want_no_requests() {
    let mut steering = front(2);
    let paused = choose(&mut steering, at(10), 1).expect("an endpoint is usable");
    steering.record_notice(at(20), &paused, pause(5_000));
    let other = choose(&mut steering, at(30), 1).expect("the other endpoint is usable");
    assert_ne!(other.key, paused.key);
    steering.finish(at(40), SERVICE, other.key, AttemptOutcome::Misdirected, None);
    let again = choose(&mut steering, at(50), 1).expect("the only endpoint left is used");
    assert_eq!(again.key, other.key);
}

fn end_outage(steering: &mut FleetSteering, ended_at: PolicyTime) {
    steering.record_source_recovery(ended_at, Duration::from_secs(3));
}

/// Removes an endpoint, as `way` says, so that the same registration can be listed again.
fn remove(steering: &mut FleetSteering, way: Removal, id: &str) {
    match way {
        Removal::Withdrawn => {
            steering.remove_endpoint(at(1_000), id);
        }
        Removal::GraceOver => {
            end_outage(steering, at(900));
            steering.remove_endpoint(at(1_000), id);
            assert_eq!(steering.tick(at(3_100)), [id.to_owned()]);
        }
        Removal::OtherService => {
            let index = (0..6).find(|index| endpoint(*index).id == id).expect("a listed endpoint");
            let moved = EndpointRecord { service: "other".to_owned(), ..endpoint(index) };
            steering.apply_endpoint(at(1_000), moved);
        }
        Removal::OlderIncarnation => {
            let index = (0..6).find(|index| endpoint(*index).id == id).expect("a listed endpoint");
            steering.apply_endpoint(at(1_000), EndpointRecord { started_ms: 0, ..endpoint(index) });
        }
    }
}

/// How an endpoint leaves the table of its service.
#[derive(Clone, Copy, Debug)]
enum Removal {
    /// Its registration is removed.
    Withdrawn,
    /// It is not renewed within the grace period after an outage.
    GraceOver,
    /// It registers for another service.
    OtherService,
    /// An earlier registration of it is applied, and removed.
    OlderIncarnation,
}

macro_rules! removal_cases {
    ($($name:ident: $removal:ident,)*) => {
        mod an_endpoint_listed_again_keeps {
            use super::*;

            $(
                /// Guards against use of an endpoint that had stated that it is leaving, after its
                /// entry was dropped and the same incarnation is listed again.
                #[test]
                fn $name() {
                    let mut steering = front(6);
                    let choice = choose(&mut steering, at(10), 1).expect("an endpoint is usable");
                    steering.record_notice(at(20), &choice, LEAVING);
                    remove(&mut steering, Removal::$removal, &choice.id);
                    steering.replace_endpoints(at(3_200), listed((0..6).map(endpoint)));
                    assert!(!shares(&mut steering, at(3_300)).contains_key(&choice.key));
                }
            )*
        }

        mod an_endpoint_listed_again_pauses {
            use super::*;

            $(
                /// Guards against use of an endpoint that had asked for a pause, after its entry was
                /// dropped and the same incarnation is listed again within the pause.
                #[test]
                fn $name() {
                    let mut steering = front(6);
                    let choice = choose(&mut steering, at(10), 1).expect("an endpoint is usable");
                    steering.record_notice(at(20), &choice, pause(5_000));
                    remove(&mut steering, Removal::$removal, &choice.id);
                    steering.replace_endpoints(at(3_200), listed((0..6).map(endpoint)));
                    assert!(!shares(&mut steering, at(3_300)).contains_key(&choice.key));
                    assert!(shares(&mut steering, at(6_400)).contains_key(&choice.key));
                }
            )*
        }
    };
}

removal_cases! {
    when_withdrawn: Withdrawn,
    when_not_renewed_after_an_outage: GraceOver,
    when_it_served_another_service: OtherService,
    when_an_older_registration_was_applied: OlderIncarnation,
}

/// Guards against a statement that is lost because its response arrives after the endpoint's
/// registration was removed.
#[test]
fn a_statement_that_arrives_after_the_removal_counts_when_the_endpoint_is_listed_again() {
    let mut steering = front(6);
    let choice = choose(&mut steering, at(10), 1).expect("an endpoint is usable");
    steering.remove_endpoint(at(20), &choice.id);
    assert_eq!(steering.record_notice(at(30), &choice, LEAVING), NoticeEffect::Leaving);
    steering.replace_endpoints(at(40), listed((0..6).map(endpoint)));
    assert!(!shares(&mut steering, at(50)).contains_key(&choice.key));
}

/// Guards against a statement that a later removal of the same incarnation overwrites.
#[test]
fn a_second_removal_does_not_erase_what_the_endpoint_stated() {
    let mut steering = front(6);
    let choice = choose(&mut steering, at(10), 1).expect("an endpoint is usable");
    steering.record_notice(at(20), &choice, LEAVING);
    for round in 1_u64..4 {
        steering.remove_endpoint(at(round * 100), &choice.id);
        let newer = (0..6).map(|index| EndpointRecord { started_ms: 1 + round, ..endpoint(index) });
        steering.replace_endpoints(at(round * 100 + 20), listed(newer));
        steering.remove_endpoint(at(round * 100 + 40), &choice.id);
        steering.replace_endpoints(at(round * 100 + 60), listed((0..6).map(endpoint)));
        let now = at(round * 100 + 80);
        assert!(!shares(&mut steering, now).contains_key(&choice.key), "round {round}");
    }
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
