//! Several instances together: joining, sharing slots, losing members.

mod support;

use std::sync::Arc;
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
    fleet.admit(0, request(1, now, Duration::from_secs(1)));
    assert_eq!(fleet.dispatched.len(), 1);
}

/// An endpoint whose hand-over may still be stored is not used again, even when the rules give it
/// back to its former owner in between.
#[test]
fn an_endpoint_with_a_hand_over_on_its_way_stays_unused() {
    let first = table(2, 4, 2);
    let mut fleet = Fleet::new(2, &first);
    fleet.is_frozen[1] = true;
    fleet.run_calm(2_000);
    assert_eq!(fleet.nodes[0].schedulers()["ledger"].endpoints().len(), 4);
    fleet.is_frozen[1] = false;
    fleet.show_store(1, false);
    fleet.heartbeat(1);
    let join = fleet.writes.pop_front().expect("the second instance joins");
    fleet.apply(join, true);
    fleet.writes.clear();
    fleet.show_store(0, false);
    let hand_over = fleet.writes.pop_back().expect("the first instance hands over");
    assert_eq!(hand_over.from, 0);
    fleet.nodes[0].record_write_failure();
    let mut second = first;
    for endpoint in &mut second.services[0].endpoints {
        endpoint.domain = "d0".to_owned();
    }
    let now = fleet.clock(0);
    let actions = fleet.nodes[0].apply_config(now, 2, Arc::new(second));
    fleet.carry_out(0, actions);
    assert_eq!(fleet.nodes[0].schedulers()["ledger"].endpoints().len(), 2);
    // The late write takes effect: the second instance owns what the first no longer uses.
    fleet.apply(hand_over, false);
    fleet.show_store(1, false);
    assert_eq!(fleet.nodes[1].schedulers()["ledger"].endpoints().len(), 2);
}
