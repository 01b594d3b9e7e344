//! The times of a planned stop against what callers may expect, for any grace period.

use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::planned_stop::{BodyArrival, PlannedStop};
use proptest::prelude::*;

/// A request that is sent later than this after the signal is never cut off at its endpoint.
const EXCUSED_UNTIL: Duration = Duration::from_secs(3);
/// Time after the signal within which a process handles it.
const MAX_HANDLING_DELAY: Duration = Duration::from_millis(500);
/// Time that the final answers have to reach their callers, as a share of the grace period.
const MIN_DELIVERY_SHARE: f64 = 0.02;

fn millis(range: std::ops::Range<u64>) -> impl Strategy<Value = Duration> {
    range.prop_map(Duration::from_millis)
}

proptest! {
    /// Guards against a request that is started in a planned stop and cut off without an excuse.
    #[test]
    fn what_is_started_ends_or_is_excused(
        grace in millis(500..120_000),
        handling_delay in millis(0..500),
        moment_share in 0.0..1.0_f64,
        limit in millis(100..60_000),
        is_partial in any::<bool>(),
    ) {
        prop_assume!(handling_delay < MAX_HANDLING_DELAY);
        let signal = PolicyTime::from_millis(1_000);
        let stop = PlannedStop::new(signal + handling_delay, grace);
        let sent = signal + grace.mul_f64(moment_share);
        prop_assume!(sent >= stop.began());
        let body = if is_partial { BodyArrival::Partial } else { BodyArrival::Complete };
        let may_start = stop.may_start(sent, sent + limit, body);
        let ends_in_time = sent + limit <= stop.answers_by();
        // The last byte of a body that is still arriving may be sent later than the request began.
        let is_excused = body == BodyArrival::Complete
            && sent.since(signal) <= EXCUSED_UNTIL
            && stop.answers_by().since(signal) >= grace.mul_f64(5.0 / 6.0);
        prop_assert!(!may_start || ends_in_time || is_excused);
        prop_assert!(may_start || !ends_in_time, "refused, though it would have ended in time");
    }

    /// Guards against a process that is killed, or closes its connections, before the final answers
    /// have been written, and against connections that are accepted and cannot be answered.
    #[test]
    fn the_times_of_a_stop_follow_each_other(grace in millis(500..120_000)) {
        let began = PolicyTime::from_millis(1_000);
        let stop = PlannedStop::new(began, grace);
        prop_assert!(stop.accepts_until() < stop.answers_by());
        let delivery_time = stop.closes_by().since(stop.answers_by());
        prop_assert!(delivery_time >= grace.mul_f64(MIN_DELIVERY_SHARE));
        prop_assert!(stop.closes_by() < began + grace);
    }
}

/// Guards against a refusal of requests that would have been served: right after the signal nearly all
/// of them end long before their deadlines.
#[test]
fn requests_right_after_the_signal_are_started_whatever_their_deadline() {
    for grace_ms in [2_000, 3_000, 6_000, 10_000, 30_000] {
        let stop = PlannedStop::new(PolicyTime::default(), Duration::from_millis(grace_ms));
        let now = PolicyTime::from_millis(grace_ms.min(5_000) / 2 - 1);
        let deadline = now + Duration::from_secs(60);
        assert!(stop.may_start(now, deadline, BodyArrival::Complete), "grace of {grace_ms} ms");
    }
}
