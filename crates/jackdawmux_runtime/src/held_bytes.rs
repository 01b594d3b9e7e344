//! Bound on bytes of other processes that are held in memory, over all connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Bytes that may still be held.
#[derive(Clone, Debug)]
pub struct HeldBudget {
    held: Arc<AtomicUsize>,
    limit: usize,
}

impl HeldBudget {
    /// Creates a budget of this many bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { held: Arc::default(), limit }
    }

    /// Returns a share of no bytes.
    #[must_use]
    pub fn share(&self) -> HeldShare {
        HeldShare { budget: self.clone(), count: 0 }
    }

    /// Returns the bytes that are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }
}

/// Bytes of the budget that one reader holds. Dropping it returns them to the budget.
#[derive(Debug)]
pub struct HeldShare {
    budget: HeldBudget,
    count: usize,
}

impl HeldShare {
    /// Grows to `count` bytes. Returns whether the budget allows it.
    #[must_use]
    pub fn grow_to(&mut self, count: usize) -> bool {
        let added = count.saturating_sub(self.count);
        let limit = self.budget.limit;
        let grown = self.budget.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
            held.checked_add(added).filter(|held| *held <= limit)
        });
        if grown.is_ok() {
            self.count += added;
        }
        grown.is_ok()
    }

    /// Bytes that the share holds.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.count
    }

    /// Ties the share to bytes: it is returned once the last reference to them is dropped, which is
    /// after they were written to another process.
    #[must_use]
    pub fn hold(self, bytes: Bytes) -> Bytes {
        if self.count == 0 {
            return bytes;
        }
        Bytes::from_owner(HeldBytes { bytes, _share: self })
    }
}

impl Drop for HeldShare {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.count, Ordering::Relaxed);
    }
}

struct HeldBytes {
    bytes: Bytes,
    _share: HeldShare,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
