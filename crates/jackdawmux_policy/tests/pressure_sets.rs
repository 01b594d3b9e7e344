//! Load pattern: endpoints with three slots, 3 % of the work takes seven times as long, and 15 % of the
//! time a machine works 2.5 times slower, which it states. Without sets of endpoints, requests wait
//! behind long ones although other endpoints are idle.

#[path = "support/fleet_fixtures.rs"]
mod fleet_fixtures;
#[path = "support/warm_fleet.rs"]
mod warm_fleet;

use std::time::Duration;

use fleet_fixtures::{SERVICE, route, steering};
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::choice::{EndpointKey, EndpointQuery, LoadReport};
use jackdawmux_policy::fleet::outlier::AttemptOutcome;
use jackdawmux_policy::fleet::steering::FleetSteering;
use rstest::rstest;
use warm_fleet::{FleetShape, WarmFleet};

/// Measured without and with sets, by case: late 0.31 0.38 0.43 0.59, 0.11 0.12 0.14 0.19; new connections
/// per request 0.31 0.66 0.31 0.74, 0.25 0.56 0.24 0.49.
#[rstest]
#[case::large_instances(24, 657.0, 0.15)]
#[case::many_instances(89, 657.0, 0.15)]
#[case::high_demand(24, 850.0, 0.19)]
#[case::many_instances_at_high_demand(89, 950.0, 0.25)]
fn few_requests_are_late(#[case] fronts: u16, #[case] per_second: f64, #[case] max_late: f64) {
    let [before, after] = [false, true].map(|states_work| {
        let shape = FleetShape { fronts, per_second, states_work, ..FleetShape::few_slots() };
        let mut fleet = WarmFleet::new(shape, 5);
        fleet.run_until(61);
        println!(
            "late={:.3} busiest={:.2} opened={:.3}",
            1.0 - fleet.on_time(30..60),
            fleet.busiest(),
            f64::from(fleet.opened) / 657.0 / 61.0
        );
        (1.0 - fleet.on_time(30..60), fleet.busiest(), fleet.opened)
    });
    assert!(after.0 <= max_late && after.0 < 0.5 * before.0, "{before:?} {after:?}");
    assert!(f64::from(after.2) < 0.9 * f64::from(before.2), "connections: {before:?} {after:?}");
    assert!(after.1 < 0.75 * before.1, "the busiest endpoint: {before:?} {after:?}");
}

/// Guards against sets that spread cold objects in an overload, so that it outlasts its cause.
#[rstest]
#[case::typical_demand(1, 1.0)]
#[case::burst(2, 2.0)]
#[case::heavy_burst(3, 3.0)]
fn cold_objects_become_warm_again(#[case] seed: u64, #[case] surge: f64) {
    let shape = FleetShape { states_work: true, ..FleetShape::heaviest() };
    let mut fleet = WarmFleet::new(shape, seed);
    fleet.run_until(5);
    fleet.clear_objects();
    fleet.surge = surge;
    fleet.run_until(6);
    fleet.surge = 1.0;
    fleet.run_until(12);
    assert!(fleet.on_time(9..11) >= 0.85, "{:?}", fleet.seconds);
}

/// Usual work time of the endpoints in [`send`].
const WORK: Duration = Duration::from_millis(200);

/// Sends a request for an object and answers it with a report. Returns the endpoint.
fn send(
    steering: &mut FleetSteering,
    at_ms: u64,
    report: (u32, u32),
    has_idle: &dyn Fn(EndpointKey) -> bool,
) -> EndpointKey {
    let route = route();
    let query = EndpointQuery {
        service: SERVICE,
        route: &route,
        team: None,
        object: 7,
        attempted: &[],
        is_retry: false,
        connected: None,
        deadline: None,
    };
    let now = PolicyTime::from_millis(at_ms);
    let choice = steering.choose_connected(now, &query, has_idle).expect("an endpoint is chosen");
    let (running, percent) = report;
    let latency = WORK * percent / 100;
    let now = now + latency;
    let load = LoadReport { running, waiting: 0, slots: 6, work_percent: Some(percent) };
    let outcome = AttemptOutcome::Answered(None);
    steering.finish(now, SERVICE, choice.key, outcome, Some(load));
    steering.record_answer(now, SERVICE, &choice, latency);
    choice.key
}

/// Guards against requests that wait at a busy or slow endpoint of the set, against ones that stay away
/// long after its report, and against new connections where an idle one would do.
#[rstest]
#[case::usual((1, 100), 50, false, true)]
#[case::slow((1, 250), 50, false, false)]
#[case::slow_a_while_ago((1, 250), 900, false, true)]
#[case::full((9, 100), 50, false, false)]
#[case::full_a_while_ago((9, 100), 2_500, false, true)]
#[case::other_has_an_idle_connection((1, 100), 50, true, false)]
fn requests_leave_the_first_endpoint_only_while_it_pays(
    #[case] report: (u32, u32),
    #[case] later_ms: u64,
    #[case] has_other_idle: bool,
    #[case] expects_first: bool,
) {
    let mut steering = steering("front-1", "a", &["front-1".to_owned()], 12);
    let none_idle = |_| false;
    let first = send(&mut steering, 10, (1, 100), &none_idle);
    assert_eq!(send(&mut steering, 1_000, (1, 250), &none_idle), first);
    // The object becomes warm at the second endpoint of its set.
    assert_ne!(send(&mut steering, 1_550, (1, 100), &none_idle), first);
    let before = 20_000;
    assert_eq!(send(&mut steering, before, report, &none_idle), first);
    let sent_at = before + 2 * u64::from(report.1) + later_ms;
    let chosen = send(&mut steering, sent_at, (1, 100), &|key| has_other_idle && key != first);
    assert_eq!(chosen == first, expects_first);
}
