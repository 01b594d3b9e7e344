//! One desk by itself: order, refusals, loans and their traps.

use std::net::SocketAddr;
use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::desk::{
    DeskAction, DeskSettings, PeerReport, ServiceDesk, SlotLoan, SlotRequest,
};
use jackdawmux_policy::endpoint::{EndpointSlots, ExchangeResult};
use jackdawmux_policy::identity::{IncarnationId, LoanId, RequestId};
use jackdawmux_policy::outcome::RefusalReason;
use jackdawmux_policy::table::RequestPriority;
use smallvec::SmallVec;

const PEER: IncarnationId = IncarnationId(9);
const SETTINGS: DeskSettings = DeskSettings {
    queue_limit: 4,
    loan_ttl: Duration::from_secs(2),
    longest_work: Duration::from_secs(5),
    want_fanout: 2,
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
    }
}

fn desk(slots: u32) -> ServiceDesk {
    let mut desk = ServiceDesk::new(SETTINGS, "d");
    desk.set_lease(PolicyTime(u64::MAX));
    if slots > 0 {
        desk.own(EndpointSlots::new(endpoint(), "d", "r", slots, at(0)));
    }
    desk
}

fn with_peer(mut desk: ServiceDesk) -> ServiceDesk {
    let report = PeerReport { idle: 1, waiting: 0, region: "r".to_owned(), delay: Duration::ZERO };
    desk.hear(PEER, report);
    desk.note_clock(PEER, at(1));
    desk
}

fn loan(id: u64, echo: PolicyTime) -> SlotLoan {
    let ttl = Duration::from_secs(2);
    SlotLoan { id: LoanId(id), endpoint: endpoint(), domain: "d".to_owned(), echo, ttl }
}

fn dispatched(actions: &[DeskAction]) -> Vec<u64> {
    actions
        .iter()
        .filter_map(|action| match action {
            DeskAction::Dispatch { id, .. } => Some(id.0),
            _ => None,
        })
        .collect()
}

fn refused(actions: &[DeskAction]) -> Vec<(u64, RefusalReason)> {
    actions
        .iter()
        .filter_map(|action| match action {
            DeskAction::Refuse { id, refusal } => Some((id.0, refusal.reason)),
            _ => None,
        })
        .collect()
}

#[test]
fn a_grant_that_comes_after_its_time_is_returned_unused() {
    let mut desk = with_peer(desk(0));
    desk.arrive(at(10), request(1, RequestPriority::High));
    let late = desk.grant(at(2_500), PEER, RequestId(1), loan(5, at(10)));
    assert!(dispatched(&late).is_empty());
    assert!(matches!(late[0], DeskAction::Return { loan: LoanId(5), report: None, .. }));
}

#[test]
fn a_grant_delivered_twice_runs_one_request() {
    let mut desk = with_peer(desk(0));
    desk.arrive(at(10), request(1, RequestPriority::High));
    desk.arrive(at(10), request(2, RequestPriority::High));
    assert_eq!(dispatched(&desk.grant(at(20), PEER, RequestId(1), loan(5, at(10)))), [1]);
    assert!(desk.grant(at(21), PEER, RequestId(1), loan(5, at(10))).is_empty());
    desk.finish(at(30), RequestId(1), ExchangeResult::Answered, Duration::from_millis(9));
    assert!(desk.grant(at(31), PEER, RequestId(2), loan(5, at(10))).is_empty());
}

#[test]
fn a_loan_that_is_never_returned_comes_back_after_loan_and_longest_work() {
    let mut desk = with_peer(desk(1));
    let patience = Duration::from_secs(1);
    let granted = desk.want(at(10), PEER, RequestId(1), RequestPriority::Low, patience);
    assert!(matches!(granted[0], DeskAction::Grant { .. }));
    desk.tick(at(7_000));
    assert_eq!(desk.idle(at(7_000)), 0);
    desk.tick(at(7_010));
    assert_eq!(desk.idle(at(7_010)), 1);
}

#[test]
fn a_loan_never_outlives_the_lease() {
    let mut desk = with_peer(desk(1));
    desk.set_lease(at(500));
    let patience = Duration::from_secs(1);
    let granted = desk.want(at(100), PEER, RequestId(1), RequestPriority::Low, patience);
    let DeskAction::Grant { loan, .. } = &granted[0] else {
        panic!("no grant: {granted:?}");
    };
    assert_eq!(loan.ttl, Duration::from_millis(400));
}

#[test]
fn without_a_lease_nothing_is_given_out() {
    let mut desk = with_peer(desk(1));
    desk.set_lease(at(100));
    let actions = desk.arrive(at(100), request(1, RequestPriority::High));
    assert!(dispatched(&actions).is_empty());
}

#[test]
fn refunds_go_before_lookups_that_came_earlier() {
    let mut desk = desk(1);
    assert_eq!(dispatched(&desk.arrive(at(1), request(1, RequestPriority::Low))), [1]);
    desk.arrive(at(2), request(2, RequestPriority::Low));
    desk.arrive(at(3), request(3, RequestPriority::High));
    let freed = desk.finish(at(9), RequestId(1), ExchangeResult::Answered, Duration::ZERO);
    assert_eq!(dispatched(&freed), [3]);
}

#[test]
fn a_full_queue_refuses_lookups_for_refunds_at_once() {
    let mut desk = desk(1);
    for id in 1..=5 {
        desk.arrive(at(id), request(id, RequestPriority::Low));
    }
    let actions = desk.arrive(at(9), request(6, RequestPriority::High));
    assert_eq!(refused(&actions), [(5, RefusalReason::Overloaded)]);
    let actions = desk.arrive(at(10), request(7, RequestPriority::Low));
    assert_eq!(refused(&actions), [(7, RefusalReason::Overloaded)]);
}

#[test]
fn a_request_that_cannot_make_its_deadline_is_refused_at_once() {
    let mut desk = desk(1);
    desk.arrive(at(1), request(1, RequestPriority::High));
    let second = Duration::from_secs(1);
    desk.finish(at(1_001), RequestId(1), ExchangeResult::Answered, second);
    for id in 2..=4 {
        desk.arrive(at(1_002), request(id, RequestPriority::High));
    }
    let mut hasty = request(5, RequestPriority::High);
    hasty.deadline = at(1_500);
    assert_eq!(refused(&desk.arrive(at(1_003), hasty)), [(5, RefusalReason::Overloaded)]);
}

#[test]
fn a_suspect_runs_alone() {
    let mut desk = desk(3);
    desk.arrive(at(1), request(1, RequestPriority::High));
    let mut suspect = request(2, RequestPriority::High);
    suspect.is_suspect = true;
    assert!(dispatched(&desk.arrive(at(2), suspect)).is_empty());
    let freed = desk.finish(at(9), RequestId(1), ExchangeResult::Answered, Duration::ZERO);
    assert_eq!(dispatched(&freed), [2]);
    assert!(dispatched(&desk.arrive(at(10), request(3, RequestPriority::High))).is_empty());
}

#[test]
fn reports_and_sheds_only_lower_the_use() {
    let mut desk = desk(4);
    for id in 0..40 {
        desk.arrive(at(id), request(id, RequestPriority::High));
        desk.finish(at(id), RequestId(id), ExchangeResult::Answered, Duration::ZERO);
    }
    assert_eq!(desk.idle(at(50)), 4);
    desk.arrive(at(50), request(50, RequestPriority::High));
    desk.finish(at(51), RequestId(50), ExchangeResult::Shed, Duration::ZERO);
    assert_eq!(desk.idle(at(51)), 0);
    assert_eq!(desk.idle(at(200)), 2);
}

#[test]
fn a_failing_endpoint_is_probed_by_cheap_repeatable_requests_only() {
    let mut desk = desk(4);
    for id in 0..3 {
        desk.arrive(at(id), request(id, RequestPriority::High));
        desk.finish(at(id), RequestId(id), ExchangeResult::Failed, Duration::ZERO);
    }
    assert!(dispatched(&desk.arrive(at(100), request(5, RequestPriority::High))).is_empty());
    desk.cancel(RequestId(5));
    assert!(dispatched(&desk.arrive(at(5_000), request(6, RequestPriority::High))).is_empty());
    desk.cancel(RequestId(6));
    let mut probe = request(7, RequestPriority::Low);
    probe.may_probe = true;
    assert_eq!(dispatched(&desk.arrive(at(5_001), probe)), [7]);
    desk.finish(at(5_002), RequestId(7), ExchangeResult::Answered, Duration::ZERO);
    assert_eq!(dispatched(&desk.arrive(at(5_003), request(8, RequestPriority::High))), [8]);
}
