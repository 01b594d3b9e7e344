//! Rules that a front for self-registered endpoints keeps, alone and together with other fronts.

#[path = "support/fleet_fixtures.rs"]
mod fleet_fixtures;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fleet_fixtures::{SERVICE, bounds, config, endpoint, listed, regions, route, steering};
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::choice::{
    ChoiceRefusalReason, EndpointChoice, EndpointKey, EndpointQuery,
};
use jackdawmux_policy::fleet::directory::InstanceDirectory;
use jackdawmux_policy::fleet::endpoint_state::EndpointChange;
use jackdawmux_policy::fleet::outlier::AttemptOutcome;
use jackdawmux_policy::fleet::placement::{LookupSpread, select_instances};
use jackdawmux_policy::fleet::record::{EndpointPhase, InstanceRecord, RouteRecord, RouteTarget};
use jackdawmux_policy::fleet::region_share::region_shares;
use jackdawmux_policy::fleet::routing::RouteTable;
use jackdawmux_policy::fleet::split::SplitTable;
use jackdawmux_policy::fleet::steering::FleetSteering;
use proptest::prelude::*;
use rstest::rstest;
use smallvec::smallvec;

fn at(millis: u64) -> PolicyTime {
    PolicyTime::from_millis(millis)
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("front-{index}")).collect()
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

/// Chooses an endpoint and cancels the attempt immediately.
fn probe(steering: &mut FleetSteering, now: PolicyTime, object: u64) -> Option<EndpointChoice> {
    let route = route();
    let choice = steering.choose(now, &query(&route, object)).ok()?;
    steering.finish(now, SERVICE, choice.key, AttemptOutcome::Cancelled, None);
    Some(choice)
}

fn chosen(steering: &mut FleetSteering, now: PolicyTime, objects: u64) -> HashMap<u64, String> {
    (0..objects)
        .filter_map(|object| Some((object, probe(steering, now, object)?.id.to_string())))
        .collect()
}

#[test]
fn every_front_of_a_region_maps_an_object_to_the_same_endpoint() {
    let names = names(5);
    let mut first = steering("front-0", "a", &names, 20);
    let mut second = steering("front-3", "a", &names, 20);
    assert_eq!(chosen(&mut first, at(10), 500), chosen(&mut second, at(10), 500));
}

#[test]
fn only_the_objects_of_a_lost_endpoint_move() {
    let mut steering = steering("front-0", "a", &names(1), 20);
    let before = chosen(&mut steering, at(10), 500);
    let lost = endpoint(4).id;
    assert_eq!(steering.remove_endpoint(at(20), &lost), EndpointChange::Left);
    let after = chosen(&mut steering, at(30), 500);
    let region = |id: &str| {
        let index: u16 = id.trim_start_matches("i-").parse().expect("the id ends with a number");
        endpoint(index).domain
    };
    let mut moved_away = 0;
    for (object, id) in before {
        assert_ne!(after[&object], lost);
        if id == lost || after[&object] == id {
            continue;
        }
        // The region has lost a tenth of its slots, so it keeps 18/19 of its demand.
        assert_ne!(region(&after[&object]), region(&id), "object {object} moved inside its region");
        moved_away += 1;
    }
    assert!(moved_away <= 500 / 19 + 15, "{moved_away} of 500 objects left the region");
}

/// Tests that an endpoint gets no requests after a change that makes it unusable.
macro_rules! unusable_case {
    ($name:ident, $change:expr) => {
        #[rstest]
        fn $name() {
            let mut steering = steering("front-0", "a", &names(1), 6);
            let change: fn(&mut FleetSteering) = $change;
            change(&mut steering);
            let ids = chosen(&mut steering, at(100), 200);
            assert!(!ids.is_empty());
            assert!(ids.values().all(|id| *id != endpoint(0).id), "{ids:?}");
        }
    };
}

unusable_case!(a_draining_endpoint_gets_no_requests, |steering| {
    let record = jackdawmux_policy::fleet::record::EndpointRecord {
        phase: EndpointPhase::Draining,
        ..endpoint(0)
    };
    assert_eq!(steering.apply_endpoint(at(50), record), EndpointChange::Draining);
});
unusable_case!(an_evacuated_domain_gets_no_requests, |steering| {
    steering.set_evacuated(at(50), "a", true);
});
unusable_case!(an_endpoint_missing_from_a_list_gets_no_requests, |steering| {
    steering.replace_endpoints(at(50), listed((1..6).map(endpoint)));
});
unusable_case!(an_unreachable_endpoint_gets_no_requests, |steering| {
    let key = EndpointKey::of(&endpoint(0).id);
    assert!(steering.finish(at(99), SERVICE, key, AttemptOutcome::Unreachable, None));
});

#[test]
fn a_new_start_time_is_a_restart() {
    let mut steering = steering("front-0", "a", &names(1), 1);
    let restarted = jackdawmux_policy::fleet::record::EndpointRecord {
        started_ms: 2,
        cold_left: Duration::from_secs(3),
        ..endpoint(0)
    };
    assert_eq!(steering.apply_endpoint(at(50), restarted), EndpointChange::Restarted);
}

#[test]
fn requests_stay_in_their_home_regions() {
    let mut steering = steering("front-0", "a", &names(1), 8);
    let homes = RouteRecord { homes: smallvec!["south".to_owned()], ..route() };
    for object in 0..200 {
        let choice = steering.choose(at(10), &query(&homes, object)).expect("south has endpoints");
        steering.finish(at(10), SERVICE, choice.key, AttemptOutcome::Cancelled, None);
        let index: u16 =
            choice.id.trim_start_matches("i-").parse().expect("the id ends with a number");
        assert_eq!(endpoint(index).domain, "b", "{choice:?}");
    }
    steering.set_evacuated(at(20), "b", true);
    let refusal = steering
        .choose(at(30), &query(&homes, 1))
        .expect_err("no home region has a usable endpoint");
    assert_eq!(refusal.reason, ChoiceRefusalReason::NoEndpoint);
}

#[test]
fn registrations_lapse_only_in_an_outage_of_the_source() {
    let own = |steering: &mut FleetSteering, now| {
        chosen(steering, now, 200).values().any(|id| *id == endpoint(0).id)
    };
    let mut cut = steering("front-0", "a", &names(2), 6);
    cut.record_source_recovery(at(10_000), Duration::from_secs(5));
    let others: Vec<_> = (1..6).map(endpoint).collect();
    cut.replace_endpoints(at(10_010), listed(others.clone()));
    assert!(own(&mut cut, at(10_020)), "kept for the grace period");
    // A peer was connected to the source for longer than this instance's outage, so the source was
    // available.
    cut.record_peer_source_connection(at(10_200), Duration::from_secs(30));
    assert!(
        !own(&mut cut, at(10_210)),
        "the peer's connection to the source ends the grace period"
    );

    let mut outage = steering("front-0", "a", &names(2), 6);
    outage.record_source_recovery(at(10_000), Duration::from_secs(5));
    outage.replace_endpoints(at(10_010), listed(others));
    outage.record_peer_source_connection(at(10_200), Duration::from_secs(1));
    assert!(own(&mut outage, at(11_900)), "the registration has two seconds to be renewed");
    assert!(!own(&mut outage, at(12_200)), "then the endpoint is removed");
    assert_eq!(outage.tick(at(12_200)), [endpoint(0).id]);
}

#[test]
fn a_draining_endpoint_does_not_lapse() {
    let mut steering = steering("front-0", "a", &names(1), 6);
    let draining = jackdawmux_policy::fleet::record::EndpointRecord {
        phase: EndpointPhase::Draining,
        ..endpoint(0)
    };
    steering.apply_endpoint(at(9_000), draining);
    steering.record_source_recovery(at(10_000), Duration::from_secs(5));
    assert_eq!(steering.remove_endpoint(at(10_010), &endpoint(0).id), EndpointChange::Left);
}

#[test]
fn an_older_configuration_is_never_applied() {
    let mut steering = FleetSteering::new("front-0", "a", regions(), bounds());
    assert!(steering.apply_config(config(7)));
    assert!(!steering.apply_config(config(6)));
    assert!(!steering.apply_config(config(7)));
    assert!(steering.apply_config(config(12)));
    assert_eq!(steering.table().expect("a configuration is active").version(), 12);
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let mut config = config(1);
    let deeper =
        RouteRecord { name: "deep".to_owned(), prefix: "/lookup/x/".to_owned(), ..route() };
    config.routes.push(deeper);
    let table = RouteTable::new(config);
    let name = |host, path| table.find(host, path).map(|route| route.name.clone());
    assert_eq!(name("a.example", "/lookup/x/1").as_deref(), Some("deep"));
    assert_eq!(name("A.EXAMPLE:80", "/lookup/y").as_deref(), Some("lookup"));
    assert_eq!(name("a.example", "/lookup"), None);
    assert_eq!(name("b.example", "/lookup/x/1"), None);
}

#[test]
fn each_target_of_a_split_gets_its_weight_in_short_windows() {
    let target = |service: &str, weight| RouteTarget { service: service.to_owned(), weight };
    let route = RouteRecord { targets: smallvec![target("a", 90), target("b", 10)], ..route() };
    let mut table = SplitTable::default();
    let targets: Vec<usize> = (0..400).map(|_| table.next(3, &route)).collect();
    for window in targets.windows(100) {
        let second = window.iter().filter(|pick| **pick == 1).count();
        assert!((9..=11).contains(&second), "{second}");
    }
}

/// Guards against a fleet of instances of which each takes the whole rate of a cold endpoint, because
/// it has not read which others there are.
#[test]
fn instances_that_know_no_others_keep_to_the_rate_of_a_cold_endpoint() {
    let cold = jackdawmux_policy::fleet::record::EndpointRecord {
        cold_left: Duration::from_secs(60),
        ..endpoint(0)
    };
    let mut sent = 0;
    for name in names(89) {
        let mut front = FleetSteering::new(&name, "a", regions(), bounds());
        assert!(front.apply_config(config(1)));
        front.apply_endpoint(at(0), cold.clone());
        sent += (2_000..2_900)
            .step_by(100)
            .filter(|millis| probe(&mut front, at(*millis), *millis).is_some())
            .count();
    }
    assert!(sent <= 30, "{sent} requests in a second");
}

/// Event at one of the instances of a fleet.
#[derive(Clone, Copy, Debug)]
enum FleetEvent {
    /// A request at an instance, after a delay in milliseconds.
    Request { front: usize, delay: u64 },
    /// An instance restarts and no longer knows what it sent.
    Restart { front: usize },
}

fn fleet_events() -> impl Strategy<Value = Vec<FleetEvent>> {
    let request =
        (0..31_usize, 0..8_u64).prop_map(|(front, delay)| FleetEvent::Request { front, delay });
    let restart = (0..31_usize).prop_map(|front| FleetEvent::Restart { front });
    prop::collection::vec(prop_oneof![60 => request, 1 => restart], 200..600)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        cases: 64,
        ..ProptestConfig::default()
    })]

    /// The deployment's limit is the rate times the multiplier plus the slack. It applies to all
    /// instances together, however often they restart.
    #[test]
    fn a_cold_endpoint_gets_no_more_than_its_bound(
        events in fleet_events(),
        fronts in 1..31_usize,
    ) {
        let names = names(fronts);
        let cold = jackdawmux_policy::fleet::record::EndpointRecord {
            cold_left: Duration::from_secs(60),
            ..endpoint(0)
        };
        let open = |name: &str, now: u64| {
            let mut front = steering(name, "a", &names, 0);
            front.apply_endpoint(at(now), cold.clone());
            front
        };
        let mut fleet: Vec<FleetSteering> = names.iter().map(|name| open(name, 0)).collect();
        let (mut now, mut sent) = (1_000, Vec::new());
        for event in events {
            match event {
                FleetEvent::Request { front, delay } => {
                    now += delay;
                    let front = &mut fleet[front % fronts];
                    if probe(front, at(now), now).is_some() {
                        sent.push(now);
                    }
                }
                FleetEvent::Restart { front } => {
                    let index = front % fronts;
                    fleet[index] = open(&names[index], now);
                }
            }
        }
        let bound = 17.0 * 1.5 + 5.0;
        for (index, window_start) in sent.iter().enumerate() {
            let count = sent[index..].iter().take_while(|time| **time < window_start + 1_000).count();
            prop_assert!(f64::from(u32::try_from(count).unwrap()) <= bound, "{} in a second", count);
        }
    }

    /// The retries of all instances in any window of ten seconds stay within the ratio of the
    /// requests plus the slack, however often instances restart.
    #[test]
    fn retries_of_all_instances_stay_within_the_budget(
        events in fleet_events(),
        fronts in 1..31_usize,
    ) {
        let names = names(fronts);
        let mut fleet: Vec<FleetSteering> =
            names.iter().map(|name| steering(name, "a", &names, 6)).collect();
        let route = route();
        let (mut now, mut requests, mut retries) = (1_000, Vec::new(), Vec::new());
        for event in events {
            match event {
                FleetEvent::Request { front, delay } => {
                    now += delay * 5;
                    let front = &mut fleet[front % fronts];
                    if let Ok(choice) = front.choose(at(now), &query(&route, now)) {
                        requests.push(now);
                        front.count_request(at(now), SERVICE);
                        front.finish(at(now), SERVICE, choice.key, AttemptOutcome::Cancelled, None);
                    }
                    let again = EndpointQuery { is_retry: true, ..query(&route, now) };
                    if let Ok(choice) = front.choose(at(now), &again) {
                        retries.push(now);
                        front.finish(at(now), SERVICE, choice.key, AttemptOutcome::Cancelled, None);
                    }
                }
                FleetEvent::Restart { front } => {
                    let index = front % fronts;
                    fleet[index] = steering(&names[index], "a", &names, 6);
                }
            }
        }
        let within = |times: &[u64], end: u64| {
            let inside = times.iter().filter(|time| **time <= end && **time + 10_000 > end);
            f64::from(u32::try_from(inside.count()).unwrap())
        };
        for end in &retries {
            let (retried, requested) = (within(&retries, *end), within(&requests, *end));
            prop_assert!(
                retried <= 0.2 * requested + 62.0,
                "{} retries of {} requests",
                retried,
                requested
            );
        }
    }

    /// The shares sum to one, and no region is given more than its part of the capacity if all
    /// regions have equal demand.
    #[test]
    fn region_shares_carry_even_demand(
        capacity in prop::collection::vec(0.0..200.0_f64, 1..6),
    ) {
        let total: f64 = capacity.iter().sum();
        prop_assume!(total > 1.0);
        let shares: Vec<_> =
            (0..capacity.len()).map(|origin| region_shares(origin, &capacity)).collect();
        let regions = f64::from(u32::try_from(capacity.len()).unwrap());
        for row in &shares {
            prop_assert!((row.iter().sum::<f64>() - 1.0).abs() < 1e-9);
        }
        for (region, slots) in capacity.iter().enumerate() {
            let load: f64 = shares.iter().map(|row| row[region] / regions).sum();
            prop_assert!(load <= slots / total + 1e-9, "{} over {}", load, slots / total);
        }
    }
}

#[test]
fn a_region_with_an_even_part_of_the_capacity_keeps_all_its_demand() {
    assert_eq!(region_shares(1, &[24.0, 72.0, 84.0])[1], 1.0);
    let small = region_shares(0, &[24.0, 72.0, 84.0]);
    assert!((small[0] - 0.4).abs() < 1e-9, "{small:?}");
}

fn instance(name: &str, domain: &str, capacity_permille: u32) -> InstanceRecord {
    let address = SocketAddr::from(([10, 0, 0, 9], 80));
    InstanceRecord {
        name: name.to_owned(),
        address,
        heartbeat_address: address,
        domain: domain.to_owned(),
        capacity_permille,
        incarnation: 1,
        cap_address: None,
    }
}

fn directory() -> InstanceDirectory {
    let regions: BTreeMap<String, String> = [("a", "north"), ("b", "north"), ("c", "south")]
        .map(|(domain, region)| (domain.to_owned(), region.to_owned()))
        .into();
    let mut directory = InstanceDirectory::new("one", Arc::new(regions));
    directory.set_serving(true);
    let instances = [("one", "a", 200), ("two", "b", 600), ("far", "c", 400)];
    let records = instances.map(|(name, domain, capacity)| instance(name, domain, capacity));
    directory.replace(records.into(), false);
    directory
}

fn live_names(directory: &InstanceDirectory, now: PolicyTime) -> Vec<String> {
    directory.live(now).iter().map(|view| view.record.name.clone()).collect()
}

#[test]
fn unresponsive_leaving_and_withdrawn_instances_are_not_returned() {
    let mut directory = directory();
    assert_eq!(live_names(&directory, at(100)), ["one"], "only itself before any heartbeat");
    directory.record_heartbeat(at(100), "two", true, true);
    directory.record_heartbeat(at(100), "far", true, true);
    assert_eq!(live_names(&directory, at(200)), ["far", "one", "two"]);
    directory.record_heartbeat(at(300), "two", false, true);
    assert_eq!(live_names(&directory, at(310)), ["far", "one"], "`two` is leaving");
    directory.record_heartbeat(at(1_000), "two", true, true);
    // The deployment allows the stability window plus three seconds; heartbeats take far less.
    assert_eq!(live_names(&directory, at(2_400)), ["one", "two"], "`far` is unresponsive");
    directory.withdraw("two");
    assert_eq!(live_names(&directory, at(2_400)), ["one"]);
}

/// Guards against shares among the few instances that a list from before the own registration names.
#[test]
fn a_list_without_the_own_registration_says_nothing_about_the_number_of_instances() {
    let mut directory = directory();
    directory.replace(vec![instance("two", "b", 600)], false);
    assert_eq!(directory.names(), None);
    directory.register(instance("one", "a", 200));
    assert_eq!(directory.names().map(|names| names.len()), Some(2));
}

#[test]
fn an_instance_without_heartbeats_still_counts_for_shares() {
    let directory = directory();
    assert_eq!(directory.names().map(|names| names.len()), Some(3));
}

#[test]
fn an_abandoned_registration_is_removed_by_one_instance() {
    // In the order of names `one` is followed by `two`, and `two` by `one`.
    let mut directory = directory();
    assert!(directory.abandoned(at(0)).is_empty(), "the registrations have only just been seen");
    assert!(directory.abandoned(at(599_000)).is_empty(), "ten minutes have not passed");
    assert_eq!(directory.abandoned(at(601_000)), ["two"], "not the instance of another region");
    directory.record_heartbeat(at(601_500), "two", true, true);
    assert!(directory.abandoned(at(602_000)).is_empty(), "`two` is live");
    directory.register(instance("three", "a", 200));
    directory.record_heartbeat(at(1_205_000), "two", true, true);
    assert!(directory.abandoned(at(1_205_500)).is_empty(), "`three` was first seen just now");
    directory.record_heartbeat(at(1_900_000), "two", true, true);
    assert!(directory.abandoned(at(1_900_100)).is_empty(), "`two` must remove `three`");
    directory.withdraw("two");
    assert_eq!(directory.abandoned(at(1_900_200)), ["three"]);
}

#[test]
fn lookups_return_instances_of_the_region_by_capacity() {
    let mut directory = directory();
    directory.record_heartbeat(at(100), "two", true, true);
    directory.record_heartbeat(at(100), "far", true, true);
    let live = directory.live(at(200));
    let (mut strong, mut weak) = (0.0, 0.0);
    for step in 0..1_000 {
        let selected =
            select_instances(&live, "north", f64::from(step) / 1_000.0, LookupSpread::Whole);
        let share = 1.0 / f64::from(u32::try_from(selected.len()).expect("the count fits"));
        for view in &selected {
            assert_eq!(view.region, "north");
            *(if view.record.name == "two" { &mut strong } else { &mut weak }) += share;
        }
    }
    assert!((strong / (strong + weak) - 0.75).abs() < 0.01, "{strong} {weak}");
    let elsewhere = select_instances(&live, "lost", 0.99, LookupSpread::Whole);
    assert_eq!(elsewhere.len(), 3, "all instances are selected if none is in the region");
}

#[test]
fn a_slow_endpoint_is_ejected_and_probed() {
    let mut steering = steering("front-0", "a", &names(1), 8);
    let answered = |millis| AttemptOutcome::Answered(Some(Duration::from_millis(millis)));
    for index in 0..8 {
        let key = EndpointKey::of(&endpoint(index).id);
        for _ in 0..10 {
            steering.finish(at(100), SERVICE, key, answered(80), None);
        }
    }
    steering.tick(at(150));
    let slow = EndpointKey::of(&endpoint(0).id);
    let is_ejected = (0..20).any(|_| steering.finish(at(200), SERVICE, slow, answered(400), None));
    assert!(is_ejected);
    let used = |steering: &mut FleetSteering, now| {
        chosen(steering, now, 300).values().filter(|id| **id == endpoint(0).id).count()
    };
    assert_eq!(used(&mut steering, at(210)), 0);
    assert_eq!(used(&mut steering, at(1_000)), 1, "one request probes the endpoint");
}

#[test]
fn when_most_fail_ejections_are_ignored() {
    let mut steering = steering("front-0", "a", &names(1), 8);
    for index in 0..6 {
        let key = EndpointKey::of(&endpoint(index).id);
        for _ in 0..10 {
            steering.finish(at(100), SERVICE, key, AttemptOutcome::Failed, None);
        }
    }
    let ids = chosen(&mut steering, at(110), 300);
    let used: std::collections::BTreeSet<String> = ids.into_values().collect();
    let own_region = [0, 2, 4, 6].map(|index| endpoint(index).id);
    assert_eq!(used, own_region.into());
}

#[test]
fn a_full_endpoint_refuses_low_priorities_first() {
    let mut steering = steering("front-0", "a", &names(1), 1);
    let low = route();
    let high = RouteRecord { priority: 1, ..route() };
    let mut taken = 0;
    while steering.choose(at(10), &query(&low, 1)).is_ok() {
        taken += 1;
        assert!(taken < 100);
    }
    let refusal = steering.choose(at(10), &query(&low, 1)).expect_err("the endpoint is full");
    assert_eq!(refusal.reason, ChoiceRefusalReason::Full);
    assert!(steering.choose(at(10), &query(&high, 1)).is_ok(), "high priorities have a reserve");
}

const DIGEST: u64 = 77;

/// Loses a request at an endpoint that is then found to be down, while another one is connected to.
fn crash(steering: &mut FleetSteering, now: PolicyTime, index: u16) {
    let key = EndpointKey::of(&endpoint(index).id);
    steering.crashes_mut().record_lost(now, DIGEST, key);
    steering.finish(now, SERVICE, key, AttemptOutcome::Unreachable, None);
    steering.record_connected(now);
}

#[test]
fn a_request_that_crashes_its_endpoints_is_blocked_by_all() {
    let names = names(3);
    let mut fronts: Vec<FleetSteering> =
        names.iter().map(|name| steering(name, "a", &names, 8)).collect();
    for (index, front) in fronts.iter_mut().enumerate() {
        crash(front, at(100), u16::try_from(index).expect("the index fits"));
        assert!(!front.crashes().is_blocked(at(100), DIGEST), "one crash does not block a request");
    }
    let shared_crashes: Vec<_> =
        fronts.iter().map(|front| front.crashes().shared(at(200))).collect();
    for (index, front) in fronts.iter_mut().enumerate() {
        for (name, crashes) in names.iter().zip(&shared_crashes) {
            if *name != names[index] {
                // Heartbeats report the same crashes repeatedly.
                front.crashes_mut().apply_peer_crashes(at(300), name, crashes);
                front.crashes_mut().apply_peer_crashes(at(600), name, crashes);
            }
        }
        assert!(front.crashes().is_blocked(at(700), DIGEST));
        assert!(!front.crashes().is_blocked(at(100_000), DIGEST), "the crashes expire");
    }
}

#[test]
fn a_harmless_request_during_crashes_is_cleared() {
    let mut front = steering("front-0", "a", &names(1), 8);
    for round in 0..6 {
        crash(&mut front, at(1_000 * round), 0);
        front.crashes_mut().clear(DIGEST);
    }
    assert!(!front.crashes().is_blocked(at(6_000), DIGEST));
}

#[test]
fn a_response_lost_by_a_running_endpoint_is_no_crash() {
    let mut front = steering("front-0", "a", &names(1), 8);
    let key = EndpointKey::of(&endpoint(0).id);
    for round in 0..6 {
        front.crashes_mut().record_lost(at(1_000 * round), DIGEST, key);
    }
    assert!(front.crashes().is_empty());
}

/// Returns the number of requests, of 100 within 0.9 s, that one front sends to a recovered endpoint
/// from `from` milliseconds after its first response on.
fn sent_after_recovery(outcome: AttemptOutcome, from: u64) -> usize {
    let mut front = steering("front-0", "a", &names(1), 1);
    let key = EndpointKey::of(&endpoint(0).id);
    front.finish(at(5_000), SERVICE, key, outcome, None);
    front.finish(at(9_000), SERVICE, key, AttemptOutcome::Answered(None), None);
    (0..100).filter(|step| probe(&mut front, at(9_000 + from + step * 9), *step).is_some()).count()
}

#[test]
fn an_endpoint_that_refused_connections_is_cold_after_recovery() {
    // At most the rate times the multiplier per second, as for any cold endpoint.
    assert!(sent_after_recovery(AttemptOutcome::Unreachable, 0) <= 25);
    assert!(sent_after_recovery(AttemptOutcome::Unreachable, 2_300) <= 25);
    assert_eq!(sent_after_recovery(AttemptOutcome::Unreachable, 3_500), 100);
}

#[test]
fn an_endpoint_that_was_cut_off_is_rate_limited_until_its_registration_would_be_known() {
    assert!(sent_after_recovery(AttemptOutcome::Silent, 0) <= 25);
    assert_eq!(sent_after_recovery(AttemptOutcome::Silent, 1_700), 100);
}

#[test]
fn a_cold_endpoint_keeps_its_rate_for_its_own_objects() {
    // Two endpoints, one cold: the other one's objects must not use up the cold one's rate.
    let mut front = steering("front-0", "a", &names(1), 0);
    let cold = jackdawmux_policy::fleet::record::EndpointRecord {
        cold_left: Duration::from_secs(30),
        ..endpoint(0)
    };
    front.apply_endpoint(at(0), cold);
    front.apply_endpoint(at(0), endpoint(2));
    let sent: Vec<String> = (0..40)
        .filter_map(|object| Some(probe(&mut front, at(2_000 + object), object)?.id.to_string()))
        .collect();
    let to_cold = sent.iter().filter(|id| **id == endpoint(0).id).count();
    assert_eq!(sent.len(), 40, "the warm one takes the rest");
    // The cold endpoint is preferred for about half of the objects; its share is 19 per second.
    assert!(to_cold >= 14, "{to_cold}");
}
