//! Tests of small modules: traffic shifts, versions, retry budget, tickets, poison request
//! detection, hybrid clocks and endpoint owners.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use jackdawmux_policy::assignment::{MemberLocation, target_owners};
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::hlc::{HybridClock, HybridTimestamp};
use jackdawmux_policy::identity::IncarnationId;
use jackdawmux_policy::lease::{promises_needed, votes_needed};
use jackdawmux_policy::poison::{PoisonSettings, SuspectLevel, SuspectList};
use jackdawmux_policy::retry::RetryBudget;
use jackdawmux_policy::shift::{FRACTION_SCALE, ShiftCounter, ShiftPlan};
use jackdawmux_policy::ticket::{TicketError, TicketIssuer};
use jackdawmux_policy::version::{VersionCheck, VersionGate};
use proptest::prelude::{any, proptest};
use rstest::rstest;

fn plan(cap_percent: u32) -> ShiftPlan {
    ShiftPlan {
        service: "ledger".to_owned(),
        from: "north".to_owned(),
        to: "south".to_owned(),
        cap_percent,
        start_ms: 1_000,
        end_ms: 11_000,
    }
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..proptest::prelude::ProptestConfig::default()
    })]

    #[test]
    fn a_shift_never_exceeds_its_cap(cap in 0_u32..=100, times in proptest::collection::vec(0_u64..20_000, 1..400)) {
        let plan = plan(cap);
        let mut counter = ShiftCounter::default();
        let mut moved = 0_u64;
        for (total, time) in (1_u64..).zip(times) {
            // All requests come from one block, which the hash alone would not limit.
            let wants_move = plan.moves_block(b"one busy block", time);
            moved += u64::from(counter.admit(wants_move, plan.fraction_at(time)));
            assert!(moved * 100 <= total * u64::from(cap));
        }
    }

    #[test]
    fn a_lagging_entry_moves_less(early in 0_u64..20_000, later in 0_u64..20_000, block in any::<[u8; 3]>()) {
        let plan = plan(40);
        let (early, later) = (early.min(later), early.max(later));
        assert!(plan.fraction_at(early) <= plan.fraction_at(later));
        assert!(!plan.moves_block(&block, early) || plan.moves_block(&block, later));
    }

    #[test]
    fn versions_never_decrease(offers in proptest::collection::vec((0_u64..20, 0_u8..3), 1..60)) {
        let mut gate = VersionGate::default();
        let mut highest = 0;
        for (version, digest) in offers {
            gate.activate(version, &digest.to_string());
            assert!(gate.version() >= highest);
            highest = gate.version();
        }
    }

    #[test]
    fn retries_stay_a_fraction_of_first_attempts(attempts in 0_u32..2_000, requested in 0_u32..2_000) {
        let mut budget = RetryBudget::default();
        (0..attempts).for_each(|_| budget.deposit());
        let spent = u32::try_from((0..requested).filter(|_| budget.try_withdraw()).count()).unwrap();
        assert!(spent <= attempts / 10 + 4);
    }

    #[test]
    fn a_modified_ticket_is_rejected(position in 0_usize..60, byte in any::<u8>()) {
        let mut issuer = TicketIssuer::new(IncarnationId(5), [3; 32], Duration::from_secs(10));
        let text = issuer.issue(PolicyTime(1));
        let mut bytes = text.clone().into_bytes();
        let position = position % bytes.len();
        bytes[position] = byte;
        if let Ok(changed) = String::from_utf8(bytes)
            && changed != text
        {
            assert!(issuer.verify(PolicyTime(2), &changed).is_err());
        }
    }

    #[test]
    fn promise_and_vote_quorums_intersect(size in 0_usize..20) {
        if let Some(votes) = votes_needed(size) {
            assert!(promises_needed(size) + votes > size);
        }
    }
}

#[test]
fn a_completed_shift_moves_its_cap() {
    let plan = plan(20);
    let blocks = 40_000_u32;
    let moved = (0..blocks).filter(|block| plan.moves_block(&block.to_be_bytes(), 99_999)).count();
    let percent = moved as f64 * 100.0 / f64::from(blocks);
    assert!((19.0..=21.0).contains(&percent), "{percent} %");
    assert_eq!(plan.fraction_at(6_000), FRACTION_SCALE / 10);
}

#[rstest]
#[case::higher(3, "x", VersionCheck::Newer)]
#[case::same(2, "x", VersionCheck::Same)]
#[case::lower(1, "x", VersionCheck::Older)]
#[case::other_content(2, "y", VersionCheck::Conflicting)]
fn an_offered_version_is_checked(
    #[case] version: u64,
    #[case] digest: &str,
    #[case] expected: VersionCheck,
) {
    let mut gate = VersionGate::default();
    assert!(gate.activate(2, "x"));
    assert_eq!(gate.check(version, digest), expected);
}

#[test]
fn a_ticket_is_valid_at_its_home_until_it_expires() {
    let mut home = TicketIssuer::new(IncarnationId(5), [3; 32], Duration::from_secs(10));
    let other = TicketIssuer::new(IncarnationId(6), [3; 32], Duration::from_secs(10));
    let text = home.issue(PolicyTime(0));
    assert!(home.verify(PolicyTime(1), &text).is_ok());
    assert_eq!(home.verify(PolicyTime(10_000_000), &text), Err(TicketError::Expired));
    assert_eq!(other.verify(PolicyTime(1), &text), Err(TicketError::Foreign(IncarnationId(5))));
}

#[test]
fn a_suspect_is_blocked_after_a_crash_while_alone() {
    let settings = PoisonSettings { retention: Duration::from_secs(60), limit: 10 };
    let mut list = SuspectList::new(settings);
    let now = PolicyTime(1);
    for digest in 1..=6 {
        assert_eq!(list.record_crash(now, digest, false), SuspectLevel::Suspect);
    }
    list.clear(1);
    assert_eq!(list.level(now, 1), SuspectLevel::Clear);
    assert_eq!(list.record_crash(now, 2, false), SuspectLevel::Suspect);
    assert_eq!(list.record_crash(now, 3, true), SuspectLevel::Convicted);
    assert_eq!(list.level(now + Duration::from_secs(61), 3), SuspectLevel::Clear);
}

#[test]
fn events_order_after_observed_timestamps() {
    let mut clock = HybridClock::default();
    let first = clock.tick(100);
    clock.observe(HybridTimestamp { wall_ms: 500, logical: 3 });
    let second = clock.tick(101);
    assert!(second > HybridTimestamp { wall_ms: 500, logical: 3 } && second > first);
}

#[test]
fn owners_are_in_the_same_domain_and_evenly_loaded() {
    let table = support::table(6, 30, 6);
    let location = |index: usize| MemberLocation {
        incarnation: IncarnationId(index as u64),
        region: "r".to_owned(),
        domain: format!("d{}", index % 6),
    };
    let members: Vec<_> = (0..7).map(location).collect();
    let owners = target_owners(&table.services[0], &table, &members);
    let mut loads: BTreeMap<IncarnationId, usize> = BTreeMap::new();
    for endpoint in &table.services[0].endpoints {
        let owner = owners[&endpoint.address];
        assert_eq!(members[usize::try_from(owner.0).unwrap()].domain, endpoint.domain);
        *loads.entry(owner).or_default() += 1;
    }
    assert_eq!(loads.values().copied().max(), Some(5));
    let after_leave = target_owners(&table.services[0], &table, &members[1..]);
    let moved = owners.iter().filter(|(address, owner)| after_leave[*address] != **owner).count();
    assert!(moved <= 5, "{moved} endpoints changed owner after one member left");
}
