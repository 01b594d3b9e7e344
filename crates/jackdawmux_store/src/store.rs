//! The object API as a trait, so that tests can replace the client with a fake.

use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;

use crate::error::StoreError;

/// One object as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Version, counted from 1.
    pub version: u64,
    /// Content, at most 1 MB.
    pub content: Bytes,
}

/// Outcome of a conditional update.
#[derive(Debug)]
pub enum UpdateOutcome {
    /// The update took effect and created this version.
    Done(u64),
    /// The object was at another version; nothing was changed.
    Conflict,
    /// The update is known not to have taken effect.
    NotDone(StoreError),
    /// The update may have taken effect, or may still do so.
    Unknown(StoreError),
}

/// Future of a store call.
pub type StoreFuture<'call, T> = Pin<Box<dyn Future<Output = T> + Send + 'call>>;

/// Client of the platform's object API.
pub trait ObjectStore: Send + Sync + std::fmt::Debug {
    /// Reads an object; `None` when it does not exist.
    fn read<'call>(
        &'call self,
        key: &'call str,
    ) -> StoreFuture<'call, Result<Option<StoredObject>, StoreError>>;

    /// Waits up to `wait` for a version above `after`; `None` if there was none in that time.
    fn watch<'call>(
        &'call self,
        key: &'call str,
        after: u64,
        wait: Duration,
    ) -> StoreFuture<'call, Result<Option<StoredObject>, StoreError>>;

    /// Creates or replaces an object if it is at version `expected`; zero means that it must not
    /// exist yet.
    fn update<'call>(
        &'call self,
        key: &'call str,
        expected: u64,
        content: Bytes,
    ) -> StoreFuture<'call, UpdateOutcome>;
}
