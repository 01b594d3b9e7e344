//! Several instances together: joining, sharing endpoints, takeover of a crashed member, handover.

mod support;

use std::sync::Arc;
use std::time::Duration;

use support::{Fleet, request, table};

#[test]
fn no_bid_is_opened_against_live_members() {
    let mut fleet = Fleet::new(7, &table(6, 30, 6));
    fleet.run_without_faults(20_000);
    assert!(!fleet.events.iter().any(|event| event.contains("bid-opened")), "{:#?}", fleet.events);
    let owned: usize = fleet
        .instances
        .iter()
        .map(|instance| instance.schedulers()["ledger"].endpoints().len())
        .sum();
    assert_eq!(owned, 30);
}

#[test]
fn a_crashed_member_is_taken_over() {
    let mut fleet = Fleet::new(7, &table(6, 30, 6));
    fleet.run_without_faults(3_000);
    fleet.is_crashed[2] = true;
    fleet.run_without_faults(12_000);
    let live = (0..7).filter(|instance| *instance != 2);
    let owned: usize = live
        .map(|instance| fleet.instances[instance].schedulers()["ledger"].endpoints().len())
        .sum();
    assert_eq!(owned, 30, "{:#?}", fleet.events);
    let now = fleet.clock(0);
    fleet.admit(0, request(1, now, Duration::from_secs(1)));
    assert_eq!(fleet.dispatched.len(), 1);
}

/// An endpoint whose handover may still be stored is not used again by its previous owner, even
/// when new rules make that instance the target owner again in the meantime.
#[test]
fn an_endpoint_with_a_pending_handover_stays_unused() {
    let first = table(2, 4, 2);
    let mut fleet = Fleet::new(2, &first);
    fleet.is_frozen[1] = true;
    fleet.run_without_faults(2_000);
    assert_eq!(fleet.instances[0].schedulers()["ledger"].endpoints().len(), 4);
    fleet.is_frozen[1] = false;
    fleet.read_store(1, false);
    fleet.heartbeat(1);
    let join = fleet.writes.pop_front().expect("the second instance joins");
    fleet.apply(join, true);
    fleet.writes.clear();
    fleet.read_store(0, false);
    let handover = fleet.writes.pop_back().expect("the first instance hands over");
    assert_eq!(handover.from, 0);
    fleet.instances[0].record_write_failure();
    let mut second = first;
    for endpoint in &mut second.services[0].endpoints {
        endpoint.domain = "d0".to_owned();
    }
    let now = fleet.clock(0);
    let actions = fleet.instances[0].apply_config(now, 2, Arc::new(second));
    fleet.carry_out(0, actions);
    assert_eq!(fleet.instances[0].schedulers()["ledger"].endpoints().len(), 2);
    // The delayed write takes effect: the second instance owns what the first no longer uses.
    fleet.apply(handover, false);
    fleet.read_store(1, false);
    assert_eq!(fleet.instances[1].schedulers()["ledger"].endpoints().len(), 2);
}
