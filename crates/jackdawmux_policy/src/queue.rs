//! Bounded queue of requests that wait for a slot, ordered by priority and arrival.

use std::collections::{BTreeMap, HashMap};

use crate::clock::PolicyTime;
use crate::identity::RequestId;
use crate::table::RequestPriority;

/// One waiting request.
#[derive(Clone, Copy, Debug)]
pub struct QueuedWaiter {
    /// The waiting try.
    pub id: RequestId,
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
    keys: HashMap<RequestId, QueueKey>,
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

    /// Adds a waiter; a second entry of the same try is ignored.
    pub fn push(&mut self, waiter: QueuedWaiter) {
        if self.keys.contains_key(&waiter.id) {
            return;
        }
        let key = (waiter.priority, self.next_sequence);
        self.next_sequence += 1;
        self.keys.insert(waiter.id, key);
        self.by_order.insert(key, waiter);
    }

    /// Removes one waiter, if it is still there.
    pub fn remove(&mut self, id: RequestId) -> Option<QueuedWaiter> {
        let key = self.keys.remove(&id)?;
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
        let id = waiter.id;
        self.remove(id)
    }

    /// Removes all waiters whose deadline has come.
    pub fn take_expired(&mut self, now: PolicyTime) -> Vec<QueuedWaiter> {
        let expired: Vec<_> =
            self.by_order.values().filter(|waiter| waiter.deadline <= now).copied().collect();
        for waiter in &expired {
            self.remove(waiter.id);
        }
        expired
    }

    /// The first waiters, in order.
    pub fn first(&self, count: usize) -> impl Iterator<Item = &QueuedWaiter> {
        self.by_order.values().take(count)
    }
}
