//! Register of idempotency keys at the one process that may run them.
//!
//! A key is *pending* until a byte of its request may have reached an upstream, then *sent*, and
//! finally *ended* with its remembered answer. A pending key that is given up on is forgotten and
//! may be tried again; a sent key is never sent again by anyone. Entries outlive every key that
//! could still be accepted; when the register is full, new keys are refused rather than old ones
//! forgotten early.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::PolicyTime;

/// Digest of an idempotency key with its service.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct KeyDigest(pub [u8; 16]);

/// Bounds of a register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencySettings {
    /// Time for which an ended key is remembered.
    pub retention: Duration,
    /// Most keys remembered.
    pub key_limit: usize,
    /// Most bytes of remembered answers.
    pub answer_bytes_limit: usize,
}

/// What to do with a request that carries a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginDecision<A> {
    /// The first of its key; run it.
    Run,
    /// Another request of the key is under way; wait for its end.
    Join,
    /// It ran; this was its answer.
    Replay(A),
    /// It ran, but its answer is no longer held.
    AnswerDropped,
    /// It may have run; it is never run again.
    Unknown,
    /// No room to remember another key.
    Full,
}

/// How a request with a key ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome<A> {
    /// It did not run; the key is free again.
    NotRun,
    /// It ran; the answer with its size in bytes, or none if the answer is too large to hold.
    Ran(Option<(A, usize)>),
    /// It may have run.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum KeyState<A> {
    Pending,
    Sent,
    Ran(Option<(A, usize)>),
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KeyEntry<A> {
    state: KeyState<A>,
    forget_at: PolicyTime,
}

/// Keys known to this process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyRegister<A> {
    settings: IdempotencySettings,
    entries: BTreeMap<KeyDigest, KeyEntry<A>>,
    by_end: BTreeSet<(PolicyTime, KeyDigest)>,
    answer_bytes: usize,
}

impl<A: Clone> IdempotencyRegister<A> {
    /// An empty register.
    #[must_use]
    pub fn new(settings: IdempotencySettings) -> Self {
        Self { settings, entries: BTreeMap::new(), by_end: BTreeSet::new(), answer_bytes: 0 }
    }

    /// Number of keys remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Keys that have been begun, in whatever state.
    pub fn keys(&self) -> impl Iterator<Item = KeyDigest> + '_ {
        self.entries.keys().copied()
    }

    /// A request with `key` arrived. `keep_until` is when the key can no longer be accepted.
    pub fn begin(
        &mut self,
        now: PolicyTime,
        key: KeyDigest,
        keep_until: PolicyTime,
    ) -> BeginDecision<A> {
        self.forget_ended(now);
        if let Some(entry) = self.entries.get(&key) {
            return match &entry.state {
                KeyState::Pending | KeyState::Sent => BeginDecision::Join,
                KeyState::Ran(Some((answer, _))) => BeginDecision::Replay(answer.clone()),
                KeyState::Ran(None) => BeginDecision::AnswerDropped,
                KeyState::Unknown => BeginDecision::Unknown,
            };
        }
        if self.entries.len() >= self.settings.key_limit {
            return BeginDecision::Full;
        }
        let forget_at = keep_until.max(now + self.settings.retention);
        self.entries.insert(key, KeyEntry { state: KeyState::Pending, forget_at });
        BeginDecision::Run
    }

    /// A byte of the request is about to go to an upstream. False when the key is not pending
    /// and therefore must not be sent.
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

    /// The upstream said that it did not start the request; it may be sent elsewhere.
    pub fn mark_refused(&mut self, key: KeyDigest) {
        if let Some(entry) = self.entries.get_mut(&key)
            && matches!(entry.state, KeyState::Sent)
        {
            entry.state = KeyState::Pending;
        }
    }

    /// The request ended. `NotRun` is taken only while nothing has been sent.
    pub fn end(&mut self, now: PolicyTime, key: KeyDigest, end: ExecutionOutcome<A>) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let state = match (end, &entry.state) {
            (_, KeyState::Ran(_) | KeyState::Unknown) => return,
            (ExecutionOutcome::NotRun, KeyState::Pending) => {
                self.entries.remove(&key);
                return;
            }
            (ExecutionOutcome::NotRun | ExecutionOutcome::Unknown, _) => KeyState::Unknown,
            (ExecutionOutcome::Ran(answer), _) => {
                let bytes = answer.as_ref().map_or(0, |(_, bytes)| *bytes);
                let fits = self.answer_bytes + bytes <= self.settings.answer_bytes_limit;
                let held = if fits { answer } else { None };
                self.answer_bytes += held.as_ref().map_or(0, |(_, bytes)| *bytes);
                KeyState::Ran(held)
            }
        };
        entry.state = state;
        entry.forget_at = entry.forget_at.max(now + self.settings.retention);
        self.by_end.insert((entry.forget_at, key));
    }

    fn forget_ended(&mut self, now: PolicyTime) {
        while let Some((end, key)) = self.by_end.first().copied() {
            if end > now {
                return;
            }
            self.by_end.remove(&(end, key));
            if let Some(entry) = self.entries.remove(&key)
                && let KeyState::Ran(Some((_, bytes))) = entry.state
            {
                self.answer_bytes -= bytes;
            }
        }
    }
}
