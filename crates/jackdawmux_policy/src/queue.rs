//! Queue of requests that wait for a slot, ordered by priority and then by arrival. The scheduler
//! limits its length.

use std::collections::{BTreeMap, HashMap};

use crate::clock::PolicyTime;
use crate::identity::RequestId;
use crate::table::RequestPriority;

/// One waiting request.
#[derive(Clone, Copy, Debug)]
pub struct QueuedWaiter {
    /// Id of the waiting request.
    pub id: RequestId,
    /// Priority of the request.
    pub priority: RequestPriority,
    /// Time at which the request is removed if it is still waiting.
    pub deadline: PolicyTime,
}

type QueueKey = (RequestPriority, u64);

/// Waiting requests in the order in which they receive free slots.
#[derive(Debug, Default)]
pub struct WaitQueue {
    by_order: BTreeMap<QueueKey, QueuedWaiter>,
    keys: HashMap<RequestId, QueueKey>,
    next_sequence: u64,
}

impl WaitQueue {
    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_order.len()
    }

    /// Whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_order.is_empty()
    }

    /// Number of waiting requests that would be served before a new request of `priority`.
    #[must_use]
    pub fn ahead_of(&self, priority: RequestPriority) -> usize {
        self.by_order.range(..=(priority, u64::MAX)).count()
    }

    /// Adds a request; ignored if a request with the same id is already waiting.
    pub fn push(&mut self, waiter: QueuedWaiter) {
        if self.keys.contains_key(&waiter.id) {
            return;
        }
        let key = (waiter.priority, self.next_sequence);
        self.next_sequence += 1;
        self.keys.insert(waiter.id, key);
        self.by_order.insert(key, waiter);
    }

    /// Removes and returns the request with this id, if it is still waiting.
    pub fn remove(&mut self, id: RequestId) -> Option<QueuedWaiter> {
        let key = self.keys.remove(&id)?;
        self.by_order.remove(&key)
    }

    /// The first request, in queue order, for which `accepts` returns true.
    #[must_use]
    pub fn first_where(&self, accepts: impl Fn(&QueuedWaiter) -> bool) -> Option<QueuedWaiter> {
        self.by_order.values().find(|waiter| accepts(waiter)).copied()
    }

    /// Removes and returns the latest request of the lowest waiting priority, if that priority is
    /// below `priority`.
    pub fn evict_below(&mut self, priority: RequestPriority) -> Option<QueuedWaiter> {
        let (key, waiter) = self.by_order.last_key_value()?;
        if key.0 <= priority {
            return None;
        }
        let id = waiter.id;
        self.remove(id)
    }

    /// Removes and returns all requests whose deadline has passed.
    pub fn take_expired(&mut self, now: PolicyTime) -> Vec<QueuedWaiter> {
        let expired: Vec<_> =
            self.by_order.values().filter(|waiter| waiter.deadline <= now).copied().collect();
        for waiter in &expired {
            self.remove(waiter.id);
        }
        expired
    }

    /// The first `count` requests, in queue order.
    pub fn first(&self, count: usize) -> impl Iterator<Item = &QueuedWaiter> {
        self.by_order.values().take(count)
    }
}
