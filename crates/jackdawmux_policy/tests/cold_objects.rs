//! Load pattern: every object is cold at its endpoint at full demand, as after a start, a power
//! failure or a shift. Work on cold objects takes three times as long, so the fleet is over its
//! capacity until the objects are warm again. If requests are spread over further endpoints, the
//! objects are cold there too and the overload never ends.

#[path = "support/fleet_fixtures.rs"]
mod fleet_fixtures;
#[path = "support/warm_fleet.rs"]
mod warm_fleet;

use rstest::rstest;
use warm_fleet::{FleetShape, WarmFleet};

/// Share of requests on time from which on the fleet counts as recovered. The capacity is twice what
/// warm objects need.
const MIN_ON_TIME_SHARE: f64 = 0.85;

macro_rules! recovery_case {
    ($name:ident, $seed:literal, $surge:literal) => {
        #[rstest]
        fn $name() {
            let mut fleet = WarmFleet::new(FleetShape::heaviest(), $seed);
            fleet.run_until(5);
            fleet.clear_objects();
            fleet.surge = $surge;
            fleet.run_until(6);
            fleet.surge = 1.0;
            fleet.run_until(12);
            let on_time = fleet.on_time(9..11);
            assert!(on_time >= MIN_ON_TIME_SHARE, "{on_time:.3} {:?}", fleet.seconds);
        }
    };
}

recovery_case!(cold_objects_at_typical_demand, 1, 1.0);
recovery_case!(cold_objects_in_a_burst, 2, 2.0);
recovery_case!(cold_objects_in_a_heavy_burst, 3, 3.0);
