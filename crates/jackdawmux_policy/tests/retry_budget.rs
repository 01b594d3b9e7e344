//! The retry budget of a whole fleet: what all instances together may send, whatever each of them
//! knows, restarts or takes over from another.

#[path = "support/fleet_fixtures.rs"]
mod fleet_fixtures;

use fleet_fixtures::{SERVICE, bounds, config, endpoint, regions, route};
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::choice::{EndpointKey, EndpointQuery};
use jackdawmux_policy::fleet::outlier::AttemptOutcome;
use jackdawmux_policy::fleet::record::{FleetBounds, RouteRecord};
use jackdawmux_policy::fleet::steering::FleetSteering;
use proptest::prelude::*;

/// Endpoints of the service; more than one request attempts.
const ENDPOINTS: u16 = 12;
/// Instances of the fleet in which the fault was reported.
const INSTANCES: usize = 89;
/// Window of the budget, in milliseconds.
const WINDOW_MS: u64 = 10_000;

/// Bounds of the deployment in which the fault was reported.
fn fleet_bounds() -> FleetBounds {
    FleetBounds { retry_slack: 218.0, ..bounds() }
}

/// What the endpoints do with a request.
#[derive(Clone, Copy, Debug)]
struct RequestFate {
    /// Connections that fail before the first one opens.
    unreachable: usize,
    /// Endpoints that refuse the request one after the other.
    refusals: usize,
}

/// A request that one endpoint refuses; the retry is answered.
const REFUSED: RequestFate = RequestFate { unreachable: 0, refusals: 1 };
/// A request that is answered at once.
const ANSWERED: RequestFate = RequestFate { unreachable: 0, refusals: 0 };

/// A fleet whose requests and retries are counted as the operator of the endpoints counts them.
#[derive(Debug)]
struct BudgetFleet {
    names: Vec<String>,
    instances: Vec<FleetSteering>,
    bounds: FleetBounds,
    route: RouteRecord,
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl BudgetFleet {
    fn new(instances: usize, bounds: FleetBounds) -> Self {
        let names: Vec<String> = (0..instances).map(|index| format!("front-{index}")).collect();
        let mut fleet = Self {
            instances: Vec::new(),
            bounds,
            route: RouteRecord { max_attempts: 8, ..route() },
            requests: Vec::new(),
            retries: Vec::new(),
            names,
        };
        for index in 0..instances {
            let steering = fleet.start(index, 0);
            fleet.instances.push(steering);
        }
        fleet
    }

    /// An instance that has just started and has read all topics.
    fn start(&self, index: usize, at_ms: u64) -> FleetSteering {
        let mut steering = self.start_without_instances(index, at_ms);
        steering.set_instances(PolicyTime::from_millis(at_ms), self.names.clone());
        steering
    }

    /// An instance that has just started and has not read the list of instances.
    fn start_without_instances(&self, index: usize, at_ms: u64) -> FleetSteering {
        let name = &self.names[index];
        let mut steering = FleetSteering::new(name, "a", regions(), self.bounds.clone());
        assert!(steering.apply_config(config(1)));
        for index in 0..ENDPOINTS {
            steering.apply_endpoint(PolicyTime::from_millis(at_ms), endpoint(index));
        }
        steering
    }

    fn restart_all(&mut self, at_ms: u64) {
        self.instances = (0..self.names.len()).map(|index| self.start(index, at_ms)).collect();
    }

    /// Serves one request, with as many retries as the instance allows.
    fn serve(&mut self, at_ms: u64, index: usize, fate: RequestFate) {
        let now = PolicyTime::from_millis(at_ms);
        self.requests.push(at_ms);
        let object = u64::try_from(self.requests.len()).unwrap();
        let steering = &mut self.instances[index];
        let mut attempted: Vec<EndpointKey> = Vec::new();
        for attempt in 0..=fate.unreachable + fate.refusals {
            let is_retry = attempt > fate.unreachable;
            let query = EndpointQuery {
                service: SERVICE,
                route: &self.route,
                team: None,
                object,
                attempted: &attempted,
                is_retry,
                connected: None,
                deadline: None,
            };
            let Ok(choice) = steering.choose(now, &query) else {
                return;
            };
            if attempt == 0 {
                steering.count_request(now, SERVICE);
            }
            if is_retry {
                self.retries.push(at_ms);
            }
            attempted.push(choice.key);
            // No outcome ejects an endpoint, so that only the budget limits retries.
            steering.finish(now, SERVICE, choice.key, AttemptOutcome::Cancelled, None);
        }
    }

    /// Serves requests at a constant rate for a while, at each of the instances in turn.
    fn serve_evenly(
        &mut self,
        span_ms: std::ops::Range<u64>,
        per_second: u64,
        instances: std::ops::Range<usize>,
        fate: RequestFate,
    ) {
        let count = (span_ms.end - span_ms.start) * per_second / 1_000;
        for request in 0..count {
            let at_ms = span_ms.start + request * 1_000 / per_second;
            let turn = usize::try_from(request).unwrap() % instances.len();
            self.serve(at_ms, instances.start + turn, fate);
        }
    }

    /// Checks each window that begins with a retry. The requests of the window count, or those of the
    /// window before it, or those of the one half a window before it.
    fn check(&self) {
        let within = |times: &[u64], start: u64, end: u64| {
            let count =
                times.partition_point(|at| *at < end) - times.partition_point(|at| *at < start);
            f64::from(u32::try_from(count).unwrap())
        };
        for start in &self.retries {
            let retries = within(&self.retries, *start, start + WINDOW_MS);
            let requests = [0, WINDOW_MS / 2, WINDOW_MS]
                .map(|earlier| {
                    let start = start.saturating_sub(earlier);
                    within(&self.requests, start, start + WINDOW_MS)
                })
                .into_iter()
                .fold(0.0, f64::max);
            let allowed = requests * self.bounds.retry_ratio + self.bounds.retry_slack;
            assert!(
                retries <= allowed,
                "{retries} retries in the window from {start} ms, for {requests} requests; allowed {allowed}"
            );
        }
    }
}

/// Guards against a budget whose base counts a request once for each connection that fails.
#[test]
fn connections_that_fail_do_not_count_as_requests() {
    let mut fleet = BudgetFleet::new(INSTANCES, fleet_bounds());
    let fate = RequestFate { unreachable: 2, refusals: 1 };
    fleet.serve_evenly(0..WINDOW_MS, 660, 0..INSTANCES, fate);
    fleet.check();
}

/// Guards against a whole fleet of instances of which each takes the slack of all, because it has not
/// read which others there are.
#[test]
fn instances_that_know_no_others_take_no_slack() {
    let mut fleet = BudgetFleet::new(INSTANCES, fleet_bounds());
    fleet.instances = (0..INSTANCES).map(|index| fleet.start_without_instances(index, 0)).collect();
    fleet.serve_evenly(0..WINDOW_MS, 660, 0..INSTANCES, REFUSED);
    fleet.check();
}

/// Guards against processes that restart with a share that their predecessors have already spent.
#[test]
fn restarts_bring_no_fresh_share() {
    let mut fleet = BudgetFleet::new(INSTANCES, fleet_bounds());
    fleet.serve_evenly(0..WINDOW_MS, 660, 0..INSTANCES, ANSWERED);
    for restart in 0..5 {
        let start = WINDOW_MS + restart * 2_000;
        fleet.serve_evenly(start..start + 2_000, 660, 0..INSTANCES, REFUSED);
        fleet.restart_all(start + 2_000);
    }
    fleet.check();
}

/// Guards against callers who move to other instances and find a second share there for the same
/// requests.
#[test]
fn callers_that_move_bring_no_second_share() {
    let mut fleet = BudgetFleet::new(INSTANCES, fleet_bounds());
    let half = INSTANCES / 2;
    fleet.serve_evenly(0..9_500, 660, 0..half, ANSWERED);
    fleet.serve_evenly(9_500..11_500, 660, 0..half, RequestFate { unreachable: 0, refusals: 3 });
    fleet.serve_evenly(11_500..17_000, 660, half..INSTANCES, ANSWERED);
    fleet.serve_evenly(
        17_000..19_500,
        660,
        half..INSTANCES,
        RequestFate { unreachable: 0, refusals: 3 },
    );
    fleet.check();
}

/// Guards against shares that grow while instances stop that have used theirs in the same window.
#[test]
fn instances_that_left_lately_still_count() {
    let fleet = BudgetFleet::new(20, fleet_bounds());
    let mut steering = fleet.start(0, 0);
    let mut divisor_at = |at_ms: u64| {
        let now = PolicyTime::from_millis(at_ms);
        steering.set_instances(now, fleet.names[..10].to_vec());
        steering.count_request(now, SERVICE);
        steering.retry_figures(now).first().and_then(|(_, figures)| figures.instances)
    };
    assert_eq!(divisor_at(1_000), Some(20));
    assert_eq!(divisor_at(WINDOW_MS), Some(20));
    assert_eq!(divisor_at(WINDOW_MS + 1_000), Some(10));
}

/// Returns the retries of a fleet from `from_ms` on.
fn retries_from(fleet: &BudgetFleet, from_ms: u64) -> f64 {
    f64::from(u32::try_from(fleet.retries.iter().filter(|at| **at >= from_ms).count()).unwrap())
}

/// Guards against a budget that keeps its limit because it allows hardly any retry: callers lose what
/// the operator allows them.
#[test]
fn most_of_the_limit_is_allowed_after_a_calm_window() {
    let mut fleet = BudgetFleet::new(INSTANCES, fleet_bounds());
    fleet.serve_evenly(0..WINDOW_MS, 660, 0..INSTANCES, ANSWERED);
    fleet.serve_evenly(WINDOW_MS..2 * WINDOW_MS, 660, 0..INSTANCES, REFUSED);
    fleet.check();
    let allowed = 6_600.0 * 0.2 + 218.0;
    let retries = retries_from(&fleet, WINDOW_MS);
    assert!(retries >= 0.8 * allowed, "{retries} of {allowed}");
}

/// Guards against shares that are rounded down to nothing where each instance gets few requests.
#[test]
fn a_large_fleet_retries_requests_of_a_service_with_little_traffic() {
    let mut fleet = BudgetFleet::new(1_700, FleetBounds { retry_slack: 62.0, ..bounds() });
    fleet.serve_evenly(0..WINDOW_MS, 510, 0..1_700, ANSWERED);
    fleet.serve_evenly(WINDOW_MS..2 * WINDOW_MS, 510, 0..1_700, REFUSED);
    fleet.check();
    let allowed = 5_100.0 * 0.2 + 62.0;
    let retries = retries_from(&fleet, WINDOW_MS);
    assert!(retries >= 0.5 * allowed, "{retries} of {allowed}");
}

/// What happens in a fleet for a while.
#[derive(Clone, Debug)]
enum FleetPhase {
    /// Callers send to a part of the instances.
    Serve { span_ms: u64, per_second: u64, first: usize, count: usize, fate: RequestFate },
    /// All instances restart.
    Restart,
}

fn fleet_phases() -> impl Strategy<Value = Vec<FleetPhase>> {
    let fate = (0..3_usize, 0..4_usize)
        .prop_map(|(unreachable, refusals)| RequestFate { unreachable, refusals });
    let serve = (100..4_000_u64, 50..400_u64, 0..20_usize, 1..20_usize, fate).prop_map(
        |(span_ms, per_second, first, count, fate)| FleetPhase::Serve {
            span_ms,
            per_second,
            first,
            count,
            fate,
        },
    );
    prop::collection::vec(prop_oneof![4 => serve, 1 => Just(FleetPhase::Restart)], 4..14)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        failure_persistence: None,
        cases: 96,
        ..ProptestConfig::default()
    })]

    /// Whatever fails, restarts or moves, in any order, all instances together stay within the limit.
    #[test]
    fn all_instances_together_stay_within_the_budget(phases in fleet_phases()) {
        let mut fleet = BudgetFleet::new(20, FleetBounds { retry_slack: 20.0, ..bounds() });
        let mut now = 1_000;
        for phase in phases {
            match phase {
                FleetPhase::Serve { span_ms, per_second, first, count, fate } => {
                    let last = (first + count).min(20);
                    fleet.serve_evenly(now..now + span_ms, per_second, first..last, fate);
                    now += span_ms;
                }
                FleetPhase::Restart => fleet.restart_all(now),
            }
        }
        fleet.check();
    }
}
