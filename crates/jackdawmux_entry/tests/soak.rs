//! Short fault soaks of real front processes, including every seed that has failed before.

use std::path::Path;
use std::time::Duration;

use jackdawmux_soak::{SoakSize, run_seed};
use rstest::rstest;

const SIZE: SoakSize = SoakSize {
    fronts: 3,
    endpoints: 12,
    callers: 10,
    fault_duration: Duration::from_secs(10),
    restores: 0,
    partitions: 0,
    grace: Duration::from_secs(3),
};
/// The same with another grace period.
const SIZE_WITH_LONG_GRACE: SoakSize = SoakSize { grace: Duration::from_secs(10), ..SIZE };

/// The same with two restores of the store.
const SIZE_WITH_RESTORES: SoakSize = SoakSize { restores: 2, ..SIZE };

/// The same with partitions of fronts from all endpoints.
const SIZE_WITH_PARTITIONS: SoakSize = SoakSize { partitions: 3, ..SIZE };

/// Defines a test that runs the short soak with one seed.
macro_rules! soak_case {
    ($name:ident, $seed:literal, $size:expr) => {
        #[rstest]
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let program = Path::new(env!("CARGO_BIN_EXE_jackdawmux"));
            let report = run_seed($seed, $size, program).await.expect("the fleet starts");
            assert!(report.violations.is_empty(), "{report}");
            assert!(report.outcomes.get("200").is_some_and(|served| *served > 100), "{report}");
        }
    };
}

soak_case!(promises_hold_under_signals_and_link_faults, 11, SIZE);
soak_case!(promises_hold_under_updates_and_endpoint_loss, 12, SIZE);
soak_case!(promises_hold_with_a_long_grace_period, 14, SIZE_WITH_LONG_GRACE);
soak_case!(promises_hold_when_the_store_is_restored, 12, SIZE_WITH_RESTORES);
soak_case!(promises_hold_when_fronts_are_partitioned, 13, SIZE_WITH_PARTITIONS);
// The soak process was not scheduled for seconds. It noticed only after the stop grace that a front
// had exited, and reported the stop as late although the front had exited in time.
soak_case!(a_stop_is_not_late_when_the_soak_stalls, 136, SIZE);
