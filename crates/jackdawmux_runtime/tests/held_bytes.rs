//! Bound on the bytes that are held for other processes.

use bytes::Bytes;
use jackdawmux_runtime::HeldBudget;

/// Guards against memory that grows with the number of callers that do not read.
#[test]
fn responses_share_one_budget() {
    let budget = HeldBudget::new(100);
    let (mut first, mut second) = (budget.share(), budget.share());
    assert!(first.grow_to(40) && first.grow_to(70));
    assert!(!second.grow_to(31));
    assert!(second.grow_to(30));
    assert_eq!(budget.held(), 100);
    drop(first);
    assert!(second.grow_to(100));
}

/// Guards against bytes that are returned to the budget while the connection still holds them.
#[test]
fn bytes_count_until_their_last_reference_is_dropped() {
    let budget = HeldBudget::new(100);
    let mut share = budget.share();
    assert!(share.grow_to(60));
    let bytes = share.hold(Bytes::from_static(&[7; 60]));
    let unwritten = bytes.slice(50..);
    drop(bytes);
    assert_eq!((budget.held(), unwritten.len()), (60, 10));
    drop(unwritten);
    assert_eq!(budget.held(), 0);
}
