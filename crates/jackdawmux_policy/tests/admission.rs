//! Load that exceeds the capacity: which requests are served in time, late or refused.

#[path = "support/fleet_fixtures.rs"]
mod fleet_fixtures;
#[path = "support/warm_fleet.rs"]
mod warm_fleet;

use std::time::Duration;

use fleet_fixtures::route;
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::admission::{ActiveKinds, AdmissionCase, admit};
use jackdawmux_policy::fleet::choice::ChoiceRefusalReason;
use jackdawmux_policy::fleet::fair_share::{FairShare, ShareKey, ShareStanding};
use jackdawmux_policy::fleet::record::{RouteRecord, TeamRecord};
use proptest::prelude::*;
use rstest::rstest;
use smallvec::smallvec;
use warm_fleet::{CallerKind, FleetShape, SecondCount, WarmFleet};

/// Callers whose target latency is 2.2 times the work of a warm object, as in the larger deployment.
fn kind(priority: u32, rate_share: f64) -> CallerKind {
    let target_latency = Duration::from_millis(266);
    CallerKind::new(RouteRecord { priority, target_latency, ..route() }, rate_share)
}

fn team(index: u32) -> TeamRecord {
    let name = format!("team-{index}");
    TeamRecord {
        name,
        keys: smallvec![],
        priority: None,
        rate: 0.0,
        burst: 0.0,
        homes: smallvec![],
    }
}

/// Runs 10 s of load, in which the kind `loud` sends `factor` times its rate during the last 4 s,
/// and prints and returns the shares of these requests that were served in time, served late and
/// refused. The endpoints handle 600 requests a second if all objects are warm.
fn run(kinds: &[CallerKind], loud: usize, factor: f64, is_on: bool) -> Vec<[f64; 3]> {
    let shape = FleetShape {
        fronts: 4,
        endpoints: 12,
        objects: 200,
        per_second: 100.0,
        work: Duration::from_millis(400),
        work_percent: is_on.then_some(100),
        ..FleetShape::heaviest()
    };
    let mut fleet = WarmFleet::new(shape, 7);
    fleet.kinds[0].rate_share = 0.001;
    kinds.iter().for_each(|kind| fleet.add_kind(kind.clone()));
    fleet.count_from = 6;
    fleet.run_until(6);
    fleet.kinds[loud + 1].rate_share *= factor;
    fleet.run_until(10);
    fleet.kinds[loud + 1].rate_share = 0.001;
    // A kind whose next arrival is already scheduled sends nothing further within the count.
    fleet.run_until(13);
    let shares = |kind: &CallerKind| {
        let SecondCount { requested, on_time, served, refused } = kind.count;
        [on_time, served - on_time, refused].map(|count| f64::from(count) / f64::from(requested))
    };
    let shares: Vec<_> = fleet.kinds[1..].iter().map(shares).collect();
    println!("is_on={is_on} in time, late, refused by kind: {shares:.3?}");
    shares
}

/// Tests the shares without and with admission by wait.
macro_rules! load_case {
    ($name:ident, $kinds:expr, $loud:literal, $factor:literal, $check:expr) => {
        #[rstest]
        fn $name() {
            let kinds: Vec<CallerKind> = $kinds;
            let [before, after] = [false, true].map(|is_on| run(&kinds, $loud, $factor, is_on));
            let check: fn(&[[f64; 3]], &[[f64; 3]]) -> bool = $check;
            assert!(check(&before, &after), "before {before:.3?} after {after:.3?}");
        }
    };
}

load_case!(
    burst_of_less_urgent_requests,
    vec![kind(0, 2.5), kind(2, 2.0)],
    1,
    2.5,
    |before, after| after[0][0] > 0.93 && after[0][2] < 0.02 && after[1][0] > before[1][0]
);
load_case!(
    burst_of_urgent_requests,
    vec![kind(0, 2.0), kind(2, 2.0)],
    0,
    2.5,
    |before, after| after[0][0] > before[0][0] + 0.1 && after[0][2] < after[1][2]
);
load_case!(
    team_with_seven_times_its_rate,
    (0..4).map(|index| CallerKind { team: Some(team(index)), ..kind(0, 1.0) }).collect(),
    0,
    7.0,
    |before, after| after[1..].iter().all(|team| team[0] > 0.75 && team[2] < 0.12)
        && after[0][0] > before[0][0]
);
load_case!(
    region_above_its_capacity,
    [(0, 1.0), (2, 1.2)]
        .map(|(priority, rate)| CallerKind { region: Some(1), ..kind(priority, rate) })
        .into(),
    1,
    3.0,
    |before, after| after[0][0] > 0.93 && after[1][0] > before[1][0]
);
load_case!(
    requests_that_cannot_end_in_time,
    {
        let mut short = kind(0, 1.0);
        short.route.timeout = Duration::from_millis(80);
        vec![kind(0, 4.0), short]
    },
    1,
    3.0,
    |before, after| after[0][0] > before[0][0] + 0.1 && after[1][2] > 0.99
);

const KEYS: u32 = 6;
const START: PolicyTime = PolicyTime::from_millis(1);

fn key(index: u32) -> ShareKey {
    ShareKey::of(Some(&team(index)))
}

fn millis(range: std::ops::Range<u64>) -> impl Strategy<Value = Duration> {
    range.prop_map(Duration::from_millis)
}

prop_compose! {
    /// Requests of two priorities with the same wait, work and time left.
    fn cases()(
        kinds in prop::collection::vec((0..6_u32, millis(50..2_000)), 0..6),
        priorities in (0..5_u32).prop_flat_map(|urgent| (Just(urgent), urgent + 1..6)),
        targets in (millis(50..2_000), millis(50..2_000)),
        (wait, work, time_left) in (millis(0..800), millis(1..500), millis(0..3_000)),
        excess in (0.0..8.0, 0.0..8.0),
        is_underserved: bool,
    ) -> [AdmissionCase; 2] {
        let mut active = ActiveKinds::default();
        let pair = [(priorities.0, targets.0), (priorities.1, targets.1)];
        kinds.iter().chain(&pair).for_each(|(priority, target)| {
            active.record(START, *priority, *target);
        });
        [(pair[0], excess.0), (pair[1], excess.1)].map(|((priority, target), excess)| AdmissionCase {
            urgency: active.view(START, priority, target),
            wait,
            work,
            time_left,
            standing: ShareStanding { excess, is_underserved },
        })
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_048, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against less urgent requests being served where more urgent ones are refused.
    #[test]
    fn urgent_requests_are_admitted_before_others([urgent, other] in cases()) {
        prop_assert!(admit(&other).is_err() || admit(&urgent).is_ok(), "{urgent:?} {other:?}");
    }

    /// Guards against retry times that a caller cannot use, and against delayed refusals.
    #[test]
    fn retry_times_are_within_a_third_of_the_time_left([case, _] in cases()) {
        if let Err(refusal) = admit(&case) {
            prop_assert!(refusal.min_retry <= refusal.max_retry);
            prop_assert!(refusal.max_retry <= case.time_left / 3 + Duration::from_nanos(2));
        }
        let is_hopeless = case.wait + case.work > case.time_left;
        let reason = admit(&case).map_err(|refusal| refusal.reason);
        prop_assert_eq!(is_hopeless, reason == Err(ChoiceRefusalReason::Deadline));
        prop_assert!(is_hopeless || !case.wait.is_zero() || reason.is_ok());
    }

    /// Guards against a team within its fair share being refused while one above it is admitted, and
    /// against requests that stay counted after their end.
    #[test]
    fn teams_above_their_share_are_refused_first(
        [case, _] in cases(),
        starts in prop::collection::vec(0..KEYS, 0..60),
    ) {
        let mut share = FairShare::default();
        starts.iter().for_each(|index| assert!(share.start(key(*index))));
        let is_admitted = |index| admit(&AdmissionCase { standing: share.standing(START, key(index)), ..case }).is_ok();
        for (one, other) in (0..KEYS).flat_map(|one| (0..KEYS).map(move |other| (one, other))) {
            let [low, high] = [one, other].map(|index| share.standing(START, key(index)).excess);
            prop_assert!(low > 1.0 || high <= 1.0 || is_admitted(one) || !is_admitted(other));
        }
        starts.iter().for_each(|index| share.end(key(*index)));
        prop_assert!(share.standing(START, key(0)) == FairShare::default().standing(START, key(0)));
    }

    /// Guards against a team that is refused so often that it gets less than a quarter of the share
    /// of the others, while the wait stays between the two limits.
    #[test]
    fn refused_teams_keep_a_quarter_of_the_share([case, _] in cases()) {
        let mut share = FairShare::default();
        (0..40).for_each(|_| assert!(share.start(key(0))));
        assert!(share.start(key(1)));
        let mut admitted = [0; 2];
        for request in 0..2_000_u64 {
            let now = PolicyTime::from_millis(request * 10);
            for index in 0..2 {
                let standing = share.standing(now, key(index));
                let is_admitted = admit(&AdmissionCase { standing, ..case }).is_ok();
                share.record(now, key(index), is_admitted);
                admitted[usize::from(index == 1)] += u32::from(is_admitted);
            }
        }
        prop_assert!(admitted[0] * 4 >= admitted[1], "{admitted:?}");
    }
}
