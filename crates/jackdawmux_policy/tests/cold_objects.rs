//! Load pattern: every object is unknown at its endpoint, at full demand (after a start, a loss of
//! power, or a shift). Work on unknown objects takes three times as long, so the fleet is over its
//! capacity until the objects are known again; spreading requests over further endpoints makes
//! them unknown there too, and the overload never ends.

#[path = "support/fleet_fixtures.rs"]
mod fleet_fixtures;
#[path = "support/warm_fleet.rs"]
mod warm_fleet;

use rstest::rstest;
use warm_fleet::{FleetShape, WarmFleet};

/// Share of requests on time that counts as recovered; warm work fits twice into the capacity.
const RECOVERED: f64 = 0.85;

macro_rules! recovery_case {
    ($name:ident, $seed:literal, $surge:literal) => {
        #[rstest]
        fn $name() {
            let mut fleet = WarmFleet::new(FleetShape::heaviest(), $seed);
            fleet.run_until(5);
            fleet.forget_objects();
            fleet.surge = $surge;
            fleet.run_until(6);
            fleet.surge = 1.0;
            fleet.run_until(12);
            let on_time = fleet.on_time(9..11);
            assert!(on_time >= RECOVERED, "{on_time:.3} {:?}", fleet.seconds);
        }
    };
}

recovery_case!(objects_forgotten_at_usual_demand, 1, 1.0);
recovery_case!(objects_forgotten_in_a_burst, 2, 2.0);
recovery_case!(objects_forgotten_in_a_heavy_burst, 3, 3.0);
