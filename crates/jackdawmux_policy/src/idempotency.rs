//! Register of idempotency keys, held by the one process that may execute them.
//!
//! A key is *pending* until a byte of its request may have reached an upstream, then *sent*, and
//! finally *finished*, with its stored response. A pending key whose request is abandoned is
//! removed and may be used again. A sent key is never sent again by any process, unless the
//! upstream states that it did not start the request. An entry is kept for at least as long as its
//! key could still be accepted. When the register is full, new keys are refused instead of evicting
//! old ones early.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::PolicyTime;

/// Digest of an idempotency key with its service.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct KeyDigest(pub [u8; 16]);

/// Limits of an [`IdempotencyRegister`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencySettings {
    /// Minimum time for which a finished key is kept.
    pub retention: Duration,
    /// Maximum number of keys.
    pub key_limit: usize,
    /// Maximum total size of stored responses, in bytes.
    pub response_bytes_limit: usize,
}

/// What to do with a request that carries a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginDecision<R> {
    /// First request with this key; execute it.
    Run,
    /// Another request with this key is in progress; wait for its outcome.
    Join,
    /// The request was executed earlier; return this stored response.
    Replay(R),
    /// The request was executed earlier, but its response is not stored: it was too large, or the
    /// limit on stored bytes was reached.
    ResponseDropped,
    /// The request may have been executed earlier; it is not executed again.
    Unknown,
    /// The register is at its key limit.
    Full,
}

/// Outcome of a request with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome<R> {
    /// The request was not executed; the key may be used again.
    NotRun,
    /// The request was executed; the response with its size in bytes, or `None` if it is too large
    /// to store.
    Ran(Option<(R, usize)>),
    /// The request may have been executed.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum KeyState<R> {
    Pending,
    Sent,
    Ran(Option<(R, usize)>),
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KeyEntry<R> {
    state: KeyState<R>,
    expires_at: PolicyTime,
}

/// Idempotency keys of this process with their state and stored responses.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyRegister<R> {
    settings: IdempotencySettings,
    entries: BTreeMap<KeyDigest, KeyEntry<R>>,
    by_expiry: BTreeSet<(PolicyTime, KeyDigest)>,
    response_bytes: usize,
}

impl<R: Clone> IdempotencyRegister<R> {
    /// Creates an empty register.
    #[must_use]
    pub fn new(settings: IdempotencySettings) -> Self {
        Self { settings, entries: BTreeMap::new(), by_expiry: BTreeSet::new(), response_bytes: 0 }
    }

    /// Number of keys in the register.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the register holds no key.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over all keys, whatever their state.
    pub fn keys(&self) -> impl Iterator<Item = KeyDigest> + '_ {
        self.entries.keys().copied()
    }

    /// Registers the arrival of a request with `key` and decides how to treat it. The key cannot be
    /// accepted after `keep_until`.
    pub fn begin(
        &mut self,
        now: PolicyTime,
        key: KeyDigest,
        keep_until: PolicyTime,
    ) -> BeginDecision<R> {
        self.evict_expired(now);
        if let Some(entry) = self.entries.get(&key) {
            return match &entry.state {
                KeyState::Pending | KeyState::Sent => BeginDecision::Join,
                KeyState::Ran(Some((response, _))) => BeginDecision::Replay(response.clone()),
                KeyState::Ran(None) => BeginDecision::ResponseDropped,
                KeyState::Unknown => BeginDecision::Unknown,
            };
        }
        if self.entries.len() >= self.settings.key_limit {
            return BeginDecision::Full;
        }
        let expires_at = keep_until.max(now + self.settings.retention);
        self.entries.insert(key, KeyEntry { state: KeyState::Pending, expires_at });
        BeginDecision::Run
    }

    /// Marks the key as sent, before the first byte of the request goes to an upstream. Returns
    /// false when the key is not pending and its request must therefore not be sent.
    #[must_use]
    pub fn mark_sent(&mut self, key: KeyDigest) -> bool {
        match self.entries.get_mut(&key) {
            Some(entry) if matches!(entry.state, KeyState::Pending) => {
                entry.state = KeyState::Sent;
                true
            }
            Some(_) | None => false,
        }
    }

    /// Makes a sent key pending again after the upstream stated that it did not start the request,
    /// so that the request may be sent elsewhere.
    pub fn mark_refused(&mut self, key: KeyDigest) {
        if let Some(entry) = self.entries.get_mut(&key)
            && matches!(entry.state, KeyState::Sent)
        {
            entry.state = KeyState::Pending;
        }
    }

    /// Records the outcome of a request. `NotRun` is accepted only while nothing has been sent;
    /// after that it counts as `Unknown`.
    pub fn end(&mut self, now: PolicyTime, key: KeyDigest, outcome: ExecutionOutcome<R>) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let state = match (outcome, &entry.state) {
            (_, KeyState::Ran(_) | KeyState::Unknown) => return,
            (ExecutionOutcome::NotRun, KeyState::Pending) => {
                self.entries.remove(&key);
                return;
            }
            (ExecutionOutcome::NotRun | ExecutionOutcome::Unknown, _) => KeyState::Unknown,
            (ExecutionOutcome::Ran(response), _) => {
                let bytes = response.as_ref().map_or(0, |(_, bytes)| *bytes);
                let fits = self.response_bytes + bytes <= self.settings.response_bytes_limit;
                let stored = if fits { response } else { None };
                self.response_bytes += stored.as_ref().map_or(0, |(_, bytes)| *bytes);
                KeyState::Ran(stored)
            }
        };
        entry.state = state;
        entry.expires_at = entry.expires_at.max(now + self.settings.retention);
        self.by_expiry.insert((entry.expires_at, key));
    }

    fn evict_expired(&mut self, now: PolicyTime) {
        while let Some((expires_at, key)) = self.by_expiry.first().copied() {
            if expires_at > now {
                return;
            }
            self.by_expiry.remove(&(expires_at, key));
            if let Some(entry) = self.entries.remove(&key)
                && let KeyState::Ran(Some((_, bytes))) = entry.state
            {
                self.response_bytes -= bytes;
            }
        }
    }
}
