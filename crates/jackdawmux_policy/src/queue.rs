//! Bounded queue of requests that wait for a slot, ordered by priority and arrival.

use std::collections::{BTreeMap, HashMap};

use crate::clock::PolicyTime;
use crate::identity::{IncarnationId, RequestId};
use crate::table::RequestPriority;

/// Who waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WaiterOrigin {
    /// A request at this instance.
    Local(RequestId),
    /// A peer's request, waiting here for a loan.
    Peer(IncarnationId, RequestId),
}

/// One waiting request.
#[derive(Clone, Copy, Debug)]
pub struct QueuedWaiter {
    /// Who waits.
    pub origin: WaiterOrigin,
    /// Importance.
    pub priority: RequestPriority,
    /// When waiting longer is of no use.
    pub deadline: PolicyTime,
}

type QueueKey = (RequestPriority, u64);

/// Waiting requests in the order in which freed slots are given out.
#[derive(Debug, Default)]
pub struct WaitQueue {
    by_order: BTreeMap<QueueKey, QueuedWaiter>,
    keys: HashMap<WaiterOrigin, QueueKey>,
    next_sequence: u64,
}

impl WaitQueue {
    /// Number of waiters.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_order.len()
    }

    /// Whether nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_order.is_empty()
    }

    /// Waiters that are served no later than a newcomer of `priority`.
    #[must_use]
    pub fn ahead_of(&self, priority: RequestPriority) -> usize {
        self.by_order.range(..=(priority, u64::MAX)).count()
    }

    /// Adds a waiter; a second entry of the same origin is ignored.
    pub fn push(&mut self, waiter: QueuedWaiter) {
        if self.keys.contains_key(&waiter.origin) {
            return;
        }
        let key = (waiter.priority, self.next_sequence);
        self.next_sequence += 1;
        self.keys.insert(waiter.origin, key);
        self.by_order.insert(key, waiter);
    }

    /// Removes one waiter, if it is still there.
    pub fn remove(&mut self, origin: WaiterOrigin) -> Option<QueuedWaiter> {
        let key = self.keys.remove(&origin)?;
        self.by_order.remove(&key)
    }

    /// The first waiter that `accepts` allows, in order.
    #[must_use]
    pub fn first_where(&self, accepts: impl Fn(&QueuedWaiter) -> bool) -> Option<QueuedWaiter> {
        self.by_order.values().find(|waiter| accepts(waiter)).copied()
    }

    /// Removes and returns the least important, latest waiter below `priority`.
    pub fn evict_below(&mut self, priority: RequestPriority) -> Option<QueuedWaiter> {
        let (key, waiter) = self.by_order.last_key_value()?;
        if key.0 <= priority {
            return None;
        }
        let origin = waiter.origin;
        self.remove(origin)
    }

    /// Removes all waiters whose deadline has come.
    pub fn take_expired(&mut self, now: PolicyTime) -> Vec<QueuedWaiter> {
        let expired: Vec<_> =
            self.by_order.values().filter(|waiter| waiter.deadline <= now).copied().collect();
        for waiter in &expired {
            self.remove(waiter.origin);
        }
        expired
    }

    /// Removes all waiters of one peer.
    pub fn drop_peer(&mut self, peer: IncarnationId) {
        let origins: Vec<_> = self
            .keys
            .keys()
            .filter(|origin| matches!(origin, WaiterOrigin::Peer(owner, _) if *owner == peer))
            .copied()
            .collect();
        for origin in origins {
            self.remove(origin);
        }
    }
}
