//! Claims on idempotency keys chosen by callers, kept in the platform's store.
//!
//! Keys are distributed over a fixed number of shards, each stored as one object. A claim is added
//! by a conditional update, which alone decides which process may execute the key. Claims usually
//! go through one preferred instance, which only reduces conflicts. Claims requested while a store
//! call is in flight are batched into the next update.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::idempotency::KeyDigest;
use crate::identity::IncarnationId;

/// One stored claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The process that may execute the key.
    pub claimant: IncarnationId,
    /// Wall-clock time of the claim, Unix milliseconds.
    pub claimed_ms: u64,
}

/// Content of one shard as stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimShard {
    /// Claims by key.
    pub claims: BTreeMap<KeyDigest, ClaimRecord>,
}

/// Limits of a shard.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSettings {
    /// Time for which a claim is kept, in milliseconds, including the allowed clock error.
    pub retention_ms: u64,
    /// Maximum number of claims in a shard.
    pub claim_limit: usize,
    /// Maximum number of new claims in one update.
    pub batch_limit: usize,
}

/// Result of a request to claim a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// This process holds the claim and may execute the key.
    Won,
    /// Another process claimed it first.
    Held(IncarnationId),
    /// The shard is at its claim limit.
    Full,
}

/// A store call to make, or a decided claim request to report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read the shard.
    Read,
    /// Update the shard if it is still at version `expected`; zero means that it must not exist.
    Write {
        /// Version that must be current.
        expected: u64,
        /// New content.
        content: ClaimShard,
    },
    /// The claim request for this key is decided.
    Decide(KeyDigest, ClaimDecision),
}

/// Actions that follow from one event.
pub type ClaimActions = SmallVec<[ClaimAction; 4]>;

/// Result of a store call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimReply {
    /// The update took effect and created this version.
    Written(u64),
    /// The shard was at another version; the update did not take effect.
    Conflict,
    /// The update may have taken effect, or may still do so later.
    Unknown,
    /// The version and content that a read returned; version zero when the shard does not exist.
    Content(u64, ClaimShard),
    /// The read failed.
    ReadFailed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum WriterPhase {
    /// No store call is in flight.
    Idle,
    /// A read is in flight.
    Reading,
    /// An update that claims these keys is in flight, based on the known version.
    Writing(Vec<KeyDigest>),
}

/// Writes the claims of one process to one shard, with at most one store call in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimWriter {
    own: IncarnationId,
    phase: WriterPhase,
    known: Option<(u64, ClaimShard)>,
    pending: Vec<KeyDigest>,
}

impl ClaimWriter {
    /// Creates a writer that has not read the shard yet.
    #[must_use]
    pub const fn new(own: IncarnationId) -> Self {
        Self { own, phase: WriterPhase::Idle, known: None, pending: Vec::new() }
    }

    /// Requests a claim on `key` and returns the actions that follow.
    pub fn request(
        &mut self,
        settings: &ClaimSettings,
        now_ms: u64,
        key: KeyDigest,
    ) -> ClaimActions {
        self.enqueue(key);
        self.proceed(settings, now_ms)
    }

    /// Queues a claim request while a store call is in flight; the next [`Self::reply`] handles it.
    pub fn enqueue(&mut self, key: KeyDigest) {
        if !self.pending.contains(&key) {
            self.pending.push(key);
        }
    }

    /// Cancels a claim request that has not been decided. An update in flight may still claim the
    /// key for this process; a later request then finds that claim and wins.
    pub fn cancel(&mut self, key: KeyDigest) {
        self.pending.retain(|other| *other != key);
    }

    /// Handles the result of a store call and returns the actions that follow.
    pub fn reply(
        &mut self,
        settings: &ClaimSettings,
        now_ms: u64,
        reply: ClaimReply,
    ) -> ClaimActions {
        match (std::mem::replace(&mut self.phase, WriterPhase::Idle), reply) {
            (WriterPhase::Writing(keys), ClaimReply::Written(version)) => {
                self.confirm(version, &keys, now_ms);
            }
            // The shard is read again. A read that lacks an update of unknown result does not prove
            // that it failed, but the next conditional update on the same version does: either it
            // succeeds and the earlier one no longer can, or it conflicts.
            (_, ClaimReply::Conflict | ClaimReply::Unknown | ClaimReply::ReadFailed) => {
                self.known = None;
            }
            (_, ClaimReply::Content(version, content)) => self.known = Some((version, content)),
            (WriterPhase::Idle | WriterPhase::Reading, ClaimReply::Written(_)) => {
                self.known = None;
            }
        }
        self.proceed(settings, now_ms)
    }

    fn confirm(&mut self, version: u64, keys: &[KeyDigest], now_ms: u64) {
        let Some((known, content)) = &mut self.known else {
            return;
        };
        *known = version;
        for key in keys {
            let record = ClaimRecord { claimant: self.own, claimed_ms: now_ms };
            content.claims.entry(*key).or_insert(record);
        }
    }

    fn proceed(&mut self, settings: &ClaimSettings, now_ms: u64) -> ClaimActions {
        let mut actions = ClaimActions::new();
        if self.phase != WriterPhase::Idle || self.pending.is_empty() {
            return actions;
        }
        let Some((version, content)) = &self.known else {
            self.phase = WriterPhase::Reading;
            actions.push(ClaimAction::Read);
            return actions;
        };
        let (version, mut content) = (*version, content.clone());
        self.pending.retain(|key| match content.claims.get(key) {
            Some(record) => {
                let decision = decide(record.claimant, self.own);
                actions.push(ClaimAction::Decide(*key, decision));
                false
            }
            None => true,
        });
        evict_expired(&mut content, settings, now_ms);
        let room = settings.claim_limit.saturating_sub(content.claims.len());
        let batch: Vec<_> =
            self.pending.iter().take(room.min(settings.batch_limit)).copied().collect();
        if batch.is_empty() {
            for key in self.pending.drain(..) {
                actions.push(ClaimAction::Decide(key, ClaimDecision::Full));
            }
            return actions;
        }
        for key in &batch {
            content.claims.insert(*key, ClaimRecord { claimant: self.own, claimed_ms: now_ms });
        }
        self.phase = WriterPhase::Writing(batch);
        actions.push(ClaimAction::Write { expected: version, content });
        actions
    }
}

fn decide(claimant: IncarnationId, own: IncarnationId) -> ClaimDecision {
    if claimant == own { ClaimDecision::Won } else { ClaimDecision::Held(claimant) }
}

fn evict_expired(content: &mut ClaimShard, settings: &ClaimSettings, now_ms: u64) {
    content
        .claims
        .retain(|_, record| now_ms < record.claimed_ms.saturating_add(settings.retention_ms));
}
