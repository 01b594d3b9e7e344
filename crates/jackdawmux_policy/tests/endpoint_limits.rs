//! Load pattern: an endpoint in need states a limit over all instances, while each of them has more
//! demand for it than its share. At any fleet size the sum stays within the limit and no instance
//! is cut off from it for good.

#[path = "support/fleet_fixtures.rs"]
mod fleet_fixtures;

use std::time::Duration;

use fleet_fixtures::{SERVICE, bounds, config, endpoint, regions, route, steering};
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::choice::{
    ChoiceRefusalReason, EndpointChoice, EndpointKey, EndpointNotice, EndpointQuery,
    LimitStatement, NoticeEffect,
};
use jackdawmux_policy::fleet::endpoint_limit::LimitRate;
use jackdawmux_policy::fleet::outlier::AttemptOutcome;
use jackdawmux_policy::fleet::steering::FleetSteering;
use proptest::prelude::*;

/// Window in which the requests to a limited endpoint are counted.
const WINDOW_MS: u64 = 4_000;
/// Time after the first statement from which on the limit holds.
const STABILITY_MS: u64 = 3_000;
/// Time between two requests of an instance that go to the limited endpoint if it may get them.
const DEMAND_INTERVAL_MS: u64 = 100;

fn at(millis: u64) -> PolicyTime {
    PolicyTime::from_millis(millis)
}

/// Requests that may reach an endpoint within a window.
fn allowed(rate: f64) -> f64 {
    (1.5 * rate * Duration::from_millis(WINDOW_MS).as_secs_f64() + 5.0).floor()
}

/// All instances of a fleet, each with two endpoints. The first one states a limit.
struct LimitedFleet {
    fronts: Vec<FleetSteering>,
    limited: EndpointKey,
    /// An object that prefers the limited endpoint.
    object: u64,
    /// What the limited endpoint states in its responses.
    statement: LimitStatement,
    /// Times at which it got requests, in milliseconds.
    arrivals: Vec<u64>,
    /// Number of requests that it got from each instance.
    by_front: Vec<u32>,
}

impl LimitedFleet {
    fn new(instances: usize) -> Self {
        let names: Vec<String> = (0..instances).map(|index| format!("front-{index:04}")).collect();
        let fronts = names.iter().map(|name| steering(name, "a", &names, 3)).collect();
        let limited = EndpointKey::of(&endpoint(0).id);
        Self {
            fronts,
            limited,
            object: preferring_object(limited),
            statement: LimitStatement::Unlimited,
            arrivals: Vec::new(),
            by_front: vec![0; instances],
        }
    }

    fn state_limit(&mut self, rate: f64) {
        self.statement = LimitStatement::Limited(LimitRate::per_second(rate).expect("a rate"));
    }

    /// Sends a request of one instance.
    fn send(&mut self, front: usize, millis: u64) {
        let now = at(millis);
        let steering = &mut self.fronts[front];
        let choice = choose(steering, now, self.object);
        if choice.key != self.limited {
            return;
        }
        self.arrivals.push(millis);
        self.by_front[front] += 1;
        if self.statement != LimitStatement::Unlimited || choice.is_limited {
            let notice = EndpointNotice { limit: self.statement, ..EndpointNotice::default() };
            steering.record_notice(now, &choice, notice);
        }
    }

    /// Lets each instance send requests at its own pace in a span of time.
    fn run(&mut self, from_ms: u64, to_ms: u64) {
        for millis in (from_ms..to_ms).step_by(10) {
            for front in 0..self.fronts.len() {
                let offset = u64::try_from(front).expect("a small fleet") * 37;
                if (millis + offset / 10 * 10) % DEMAND_INTERVAL_MS == 0 {
                    self.send(front, millis);
                }
            }
        }
    }

    /// Highest number of requests in a window that begins at `from_ms` or later.
    fn most_in_window(&self, from_ms: u64) -> f64 {
        let counted: Vec<u64> =
            self.arrivals.iter().copied().filter(|millis| *millis >= from_ms).collect();
        let in_window = |start: &u64| {
            counted.iter().filter(|millis| (*start..*start + WINDOW_MS).contains(*millis)).count()
        };
        let most = counted.iter().map(in_window).max().unwrap_or(0);
        f64::from(u32::try_from(most).expect("a small number"))
    }
}

/// An object that prefers an endpoint.
fn preferring_object(limited: EndpointKey) -> u64 {
    let mut front = steering("front-0", "a", &["front-0".to_owned()], 3);
    let prefers = |object: &u64| choose(&mut front, at(10), *object).key == limited;
    (0..1_000).find(prefers).expect("some object prefers the endpoint")
}

/// Chooses an endpoint for an object and ends the attempt immediately.
fn choose(steering: &mut FleetSteering, now: PolicyTime, object: u64) -> EndpointChoice {
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
    let choice = steering.choose(now, &query).expect("an endpoint is usable");
    steering.finish(now, SERVICE, choice.key, AttemptOutcome::Cancelled, None);
    choice
}

macro_rules! limit_cases {
    ($($name:ident: $instances:literal instances, $rate:literal per second;)*) => {
        mod all_instances_together_keep_to_the_limit {
            use super::*;

            $(
                #[test]
                fn $name() {
                    let mut fleet = LimitedFleet::new($instances);
                    fleet.state_limit($rate);
                    fleet.run(0, 33_000);
                    let most = fleet.most_in_window(STABILITY_MS);
                    assert!(most <= allowed($rate), "{most} in a window, {}", allowed($rate));
                }
            )*
        }

        /// Guards against shares that are rounded down to nothing.
        mod a_limited_endpoint_is_still_used {
            use super::*;

            $(
                #[test]
                fn $name() {
                    let mut fleet = LimitedFleet::new($instances);
                    fleet.state_limit($rate);
                    fleet.run(0, 63_000);
                    let counted = fleet.arrivals.iter().filter(|millis| **millis >= STABILITY_MS);
                    let per_second = f64::from(u32::try_from(counted.count()).expect("few")) / 60.0;
                    assert!(per_second >= 0.5 * $rate, "{per_second} requests per second");
                }
            )*
        }

        /// Guards against shares that accumulate while there is no demand.
        mod a_burst_after_a_pause_keeps_to_the_limit {
            use super::*;

            $(
                #[test]
                fn $name() {
                    let mut fleet = LimitedFleet::new($instances);
                    fleet.state_limit($rate);
                    fleet.run(0, 5_000);
                    fleet.run(65_000, 80_000);
                    let most = fleet.most_in_window(STABILITY_MS);
                    assert!(most <= allowed($rate), "{most} in a window, {}", allowed($rate));
                }
            )*
        }
    };
}

limit_cases! {
    one_instance: 1 instances, 3.2 per second;
    seven_instances: 7 instances, 3.2 per second;
    seven_instances_and_less_than_one_request: 7 instances, 0.4 per second;
    seven_instances_and_a_high_limit: 7 instances, 22.5 per second;
    many_instances: 118 instances, 3.2 per second;
    many_instances_and_less_than_one_request: 118 instances, 0.4 per second;
    many_instances_and_a_high_limit: 118 instances, 22.5 per second;
}

/// Guards against a fleet of instances of which each takes the whole rate, because it has not read
/// which others there are.
#[test]
fn instances_that_know_no_others_keep_to_the_limit() {
    let mut fleet = LimitedFleet::new(118);
    for (index, front) in fleet.fronts.iter_mut().enumerate() {
        *front = FleetSteering::new(&format!("front-{index:04}"), "a", regions(), bounds());
        assert!(front.apply_config(config(1)));
        for index in 0..3 {
            front.apply_endpoint(at(1), endpoint(index));
        }
    }
    fleet.state_limit(3.2);
    fleet.run(0, 33_000);
    let most = fleet.most_in_window(STABILITY_MS);
    assert!(most <= allowed(3.2), "{most} in a window, {}", allowed(3.2));
}

#[test]
fn an_endpoint_without_a_limit_is_used_in_full_again() {
    let mut fleet = LimitedFleet::new(7);
    fleet.state_limit(3.2);
    fleet.run(0, 10_000);
    fleet.statement = LimitStatement::Unlimited;
    fleet.run(10_000, 14_000);
    let before = fleet.by_front.clone();
    fleet.run(14_000, 16_000);
    for (front, (after, before)) in fleet.by_front.iter().zip(before).enumerate() {
        assert!(after - before >= 19, "front {front} sent {} in 2 s", after - before);
    }
}

#[test]
fn a_limit_of_zero_still_lets_the_endpoint_state_its_end() {
    let mut fleet = LimitedFleet::new(7);
    fleet.state_limit(0.0);
    fleet.run(0, 20_000);
    assert!(fleet.most_in_window(STABILITY_MS) <= allowed(0.0));
    fleet.statement = LimitStatement::Unlimited;
    fleet.run(20_000, 320_000);
    assert!(fleet.by_front.iter().all(|count| *count > 100), "{:?}", fleet.by_front);
}

#[test]
fn a_service_whose_endpoints_are_all_limited_refuses_until_the_first_may_get_a_request() {
    let mut steering = steering("front-0", "a", &["front-0".to_owned()], 1);
    let route = route();
    let query = EndpointQuery {
        service: SERVICE,
        route: &route,
        team: None,
        object: 1,
        attempted: &[],
        is_retry: false,
        connected: None,
        deadline: None,
    };
    let choice = steering.choose(at(10), &query).expect("the endpoint is usable");
    let rate = LimitRate::per_second(0.5).expect("a rate");
    let notice =
        EndpointNotice { limit: LimitStatement::Limited(rate), ..EndpointNotice::default() };
    assert_eq!(steering.record_notice(at(20), &choice, notice), NoticeEffect::Limited(rate));
    assert_eq!(steering.record_notice(at(21), &choice, notice), NoticeEffect::None);
    let refusal = steering.choose(at(20), &query).expect_err("the share is used up");
    assert_eq!(refusal.reason, ChoiceRefusalReason::Limited);
    assert!(steering.choose(at(20) + refusal.retry_after, &query).is_ok());
}

/// Guards against a limit that is forgotten with the registration of the endpoint.
#[test]
fn a_limit_holds_for_an_endpoint_that_is_listed_again() {
    let mut fleet = LimitedFleet::new(1);
    fleet.state_limit(3.2);
    fleet.run(0, 2_000);
    fleet.fronts[0].remove_endpoint(at(2_000), &endpoint(0).id);
    fleet.fronts[0].apply_endpoint(at(2_010), endpoint(0));
    fleet.run(2_020, 12_000);
    assert!(fleet.most_in_window(0) <= allowed(3.2), "{}", fleet.most_in_window(0));
}

proptest! {
    #[test]
    fn rates_are_never_negative_or_infinite(rate in any::<f64>()) {
        match LimitRate::per_second(rate) {
            Some(limit) => prop_assert!(rate >= 0.0 && limit.as_per_second().is_finite()),
            None => prop_assert!(!rate.is_finite() || rate < 0.0),
        }
    }
}
