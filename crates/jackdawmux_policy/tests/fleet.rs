//! Several instances together: joining, sharing slots, losing members.

mod support;

use std::time::Duration;

use support::{Fleet, request, table};

#[test]
fn living_members_are_not_bid_against() {
    let mut fleet = Fleet::new(7, &table(6, 30, 6));
    fleet.run_calm(20_000);
    assert!(!fleet.events.iter().any(|event| event.contains("bid-opened")), "{:#?}", fleet.events);
    let owned: usize =
        fleet.nodes.iter().map(|node| node.schedulers()["ledger"].endpoints().len()).sum();
    assert_eq!(owned, 30);
}

#[test]
fn a_dead_member_is_taken_over() {
    let mut fleet = Fleet::new(7, &table(6, 30, 6));
    fleet.run_calm(3_000);
    fleet.is_dead[2] = true;
    fleet.run_calm(12_000);
    let living = (0..7).filter(|node| *node != 2);
    let owned: usize =
        living.map(|node| fleet.nodes[node].schedulers()["ledger"].endpoints().len()).sum();
    assert_eq!(owned, 30, "{:#?}", fleet.events);
    let now = fleet.clock(0);
    fleet.arrive(0, request(1, now, Duration::from_secs(1)));
    assert_eq!(fleet.dispatched.len(), 1);
}
