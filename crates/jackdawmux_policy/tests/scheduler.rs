//! A single scheduler: queue order, refusals, peer forwarding, and changes of the adaptive limit.

use std::net::SocketAddr;
use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::endpoint::{EndpointSlots, ExchangeResult};
use jackdawmux_policy::identity::{IncarnationId, RequestId};
use jackdawmux_policy::message::ServiceReport;
use jackdawmux_policy::outcome::RefusalReason;
use jackdawmux_policy::scheduler::{
    PeerState, SchedulerAction, SchedulerSettings, ServiceScheduler, SlotRequest,
};
use jackdawmux_policy::table::RequestPriority;
use smallvec::SmallVec;

const PEER: IncarnationId = IncarnationId(9);
const SETTINGS: SchedulerSettings = SchedulerSettings {
    queue_limit: 4,
    max_work_time: Duration::from_secs(5),
    forwards_to_peers: true,
};

fn at(millis: u64) -> PolicyTime {
    PolicyTime::from_millis(millis)
}

fn endpoint() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 80))
}

fn request(id: u64, priority: RequestPriority) -> SlotRequest {
    SlotRequest {
        id: RequestId(id),
        priority,
        deadline: at(60_000),
        region: "r".to_owned(),
        excluded: SmallVec::new(),
        avoided_domain: None,
        is_suspect: false,
        may_probe: false,
        may_forward: true,
    }
}

fn scheduler(slots: u32) -> ServiceScheduler {
    let mut scheduler = ServiceScheduler::new(SETTINGS, "d");
    scheduler.set_lease(PolicyTime(u64::MAX));
    if slots > 0 {
        scheduler.add_endpoint(EndpointSlots::new(endpoint(), "d", "r", slots, at(0)));
    }
    scheduler
}

/// A peer 5 ms away with `idle` of 10 slots free and `waiting` requests of 10 ms in its queue.
fn peer(idle: u32, waiting: u32) -> PeerState {
    let report = ServiceReport {
        service: "ledger".to_owned(),
        idle,
        slots: 10,
        waiting_high: waiting,
        waiting,
        mean_us: 10_000,
    };
    PeerState { report, forwarded: 0, region: "r".to_owned(), delay: Duration::from_millis(5) }
}

/// A scheduler of one slot, in use, and `waiting` requests in its queue.
fn busy_scheduler(waiting: u64) -> ServiceScheduler {
    let mut scheduler = scheduler(1);
    for id in 0..=waiting {
        scheduler.admit(at(1), request(1_000 + id, RequestPriority::High));
    }
    scheduler
}

fn forwarded(actions: &[SchedulerAction]) -> Vec<u64> {
    actions
        .iter()
        .filter_map(|action| match action {
            SchedulerAction::ForwardToPeer { id, .. } => Some(id.0),
            _ => None,
        })
        .collect()
}

fn dispatched(actions: &[SchedulerAction]) -> Vec<u64> {
    actions
        .iter()
        .filter_map(|action| match action {
            SchedulerAction::Dispatch { id, .. } => Some(id.0),
            _ => None,
        })
        .collect()
}

fn refused(actions: &[SchedulerAction]) -> Vec<(u64, RefusalReason)> {
    actions
        .iter()
        .filter_map(|action| match action {
            SchedulerAction::Refuse { id, refusal } => Some((id.0, refusal.reason)),
            _ => None,
        })
        .collect()
}

#[test]
fn a_request_goes_where_it_is_served_sooner() {
    let mut scheduler = busy_scheduler(2);
    scheduler.update_peer(PEER, peer(3, 0));
    assert_eq!(forwarded(&scheduler.admit(at(2), request(1, RequestPriority::High))), [1]);
    scheduler.update_peer(PEER, peer(0, 90));
    assert!(forwarded(&scheduler.admit(at(3), request(2, RequestPriority::High))).is_empty());
}

#[test]
fn requests_forwarded_since_the_last_report_count() {
    let mut scheduler = busy_scheduler(1);
    scheduler.update_peer(PEER, peer(1, 0));
    assert_eq!(forwarded(&scheduler.admit(at(2), request(1, RequestPriority::High))), [1]);
    // The only idle slot is taken; after 20 more requests, waiting here is shorter.
    let more = (2..30).filter(|id| {
        !forwarded(&scheduler.admit(at(2), request(*id, RequestPriority::High))).is_empty()
    });
    assert!(more.count() < 28);
}

#[test]
fn a_forwarded_request_is_not_forwarded_again() {
    let mut scheduler = busy_scheduler(2);
    scheduler.update_peer(PEER, peer(10, 0));
    let mut request = request(1, RequestPriority::High);
    request.may_forward = false;
    assert!(forwarded(&scheduler.admit(at(2), request)).is_empty());
}

#[test]
fn waiters_are_forwarded_once_a_peer_has_free_slots() {
    let mut scheduler = busy_scheduler(3);
    scheduler.update_peer(PEER, peer(10, 0));
    let forwarded = forwarded(&scheduler.tick(at(50)));
    assert!(!forwarded.is_empty());
    assert_eq!(scheduler.waiting() + forwarded.len(), 3);
}

#[test]
fn only_a_shifted_request_is_forwarded_to_the_other_region() {
    let mut scheduler = scheduler(3);
    scheduler.set_region("r");
    let mut shifted = request(1, RequestPriority::High);
    shifted.region = "south".to_owned();
    assert_eq!(dispatched(&scheduler.admit(at(1), shifted.clone())), [1]);
    scheduler.update_peer(PEER, PeerState { region: "south".to_owned(), ..peer(5, 0) });
    shifted.id = RequestId(2);
    assert_eq!(forwarded(&scheduler.admit(at(2), shifted)), [2]);
    assert_eq!(dispatched(&scheduler.admit(at(3), request(3, RequestPriority::High))), [3]);
}

#[test]
fn a_request_without_slots_or_peers_is_refused_immediately() {
    let mut scheduler = scheduler(0);
    let actions = scheduler.admit(at(1), request(1, RequestPriority::High));
    assert_eq!(refused(&actions), [(1, RefusalReason::NoUpstream)]);
}

#[test]
fn no_slot_is_given_out_without_a_lease() {
    let mut scheduler = scheduler(1);
    scheduler.set_lease(at(100));
    let actions = scheduler.admit(at(100), request(1, RequestPriority::High));
    assert!(dispatched(&actions).is_empty());
}

#[test]
fn high_priority_waiters_are_served_before_earlier_low_priority_ones() {
    let mut scheduler = scheduler(1);
    assert_eq!(dispatched(&scheduler.admit(at(1), request(1, RequestPriority::Low))), [1]);
    scheduler.admit(at(2), request(2, RequestPriority::Low));
    scheduler.admit(at(3), request(3, RequestPriority::High));
    let freed = scheduler.finish(at(9), RequestId(1), ExchangeResult::Answered, Duration::ZERO);
    assert_eq!(dispatched(&freed), [3]);
}

#[test]
fn a_full_queue_evicts_low_priority_waiters_for_high_priority_requests() {
    let mut scheduler = scheduler(1);
    for id in 1..=5 {
        scheduler.admit(at(id), request(id, RequestPriority::Low));
    }
    let actions = scheduler.admit(at(9), request(6, RequestPriority::High));
    assert_eq!(refused(&actions), [(5, RefusalReason::Overloaded)]);
    let actions = scheduler.admit(at(10), request(7, RequestPriority::Low));
    assert_eq!(refused(&actions), [(7, RefusalReason::Overloaded)]);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_immediately() {
    let mut scheduler = scheduler(1);
    scheduler.admit(at(1), request(1, RequestPriority::High));
    let second = Duration::from_secs(1);
    scheduler.finish(at(1_001), RequestId(1), ExchangeResult::Answered, second);
    for id in 2..=4 {
        scheduler.admit(at(1_002), request(id, RequestPriority::High));
    }
    let mut urgent = request(5, RequestPriority::High);
    urgent.deadline = at(1_500);
    assert_eq!(refused(&scheduler.admit(at(1_003), urgent)), [(5, RefusalReason::Overloaded)]);
}

#[test]
fn a_suspect_runs_alone() {
    let mut scheduler = scheduler(3);
    scheduler.admit(at(1), request(1, RequestPriority::High));
    let mut suspect = request(2, RequestPriority::High);
    suspect.is_suspect = true;
    assert!(dispatched(&scheduler.admit(at(2), suspect)).is_empty());
    let freed = scheduler.finish(at(9), RequestId(1), ExchangeResult::Answered, Duration::ZERO);
    assert_eq!(dispatched(&freed), [2]);
    assert!(dispatched(&scheduler.admit(at(10), request(3, RequestPriority::High))).is_empty());
}

#[test]
fn a_shed_request_causes_a_backoff_and_halves_the_limit() {
    let mut scheduler = scheduler(4);
    for id in 0..40 {
        scheduler.admit(at(id), request(id, RequestPriority::High));
        scheduler.finish(at(id), RequestId(id), ExchangeResult::Answered, Duration::ZERO);
    }
    assert_eq!(scheduler.idle(at(50)), 4);
    scheduler.admit(at(50), request(50, RequestPriority::High));
    scheduler.finish(at(51), RequestId(50), ExchangeResult::Shed, Duration::ZERO);
    assert_eq!(scheduler.idle(at(51)), 0);
    assert_eq!(scheduler.idle(at(200)), 2);
}

#[test]
fn a_failing_endpoint_is_probed_by_cheap_repeatable_requests_only() {
    let mut scheduler = scheduler(4);
    for id in 0..3 {
        scheduler.admit(at(id), request(id, RequestPriority::High));
        scheduler.finish(at(id), RequestId(id), ExchangeResult::Failed, Duration::ZERO);
    }
    assert!(dispatched(&scheduler.admit(at(100), request(5, RequestPriority::High))).is_empty());
    scheduler.cancel(RequestId(5));
    assert!(dispatched(&scheduler.admit(at(5_000), request(6, RequestPriority::High))).is_empty());
    scheduler.cancel(RequestId(6));
    let mut probe = request(7, RequestPriority::Low);
    probe.may_probe = true;
    assert_eq!(dispatched(&scheduler.admit(at(5_001), probe)), [7]);
    scheduler.finish(at(5_002), RequestId(7), ExchangeResult::Answered, Duration::ZERO);
    assert_eq!(dispatched(&scheduler.admit(at(5_003), request(8, RequestPriority::High))), [8]);
}
