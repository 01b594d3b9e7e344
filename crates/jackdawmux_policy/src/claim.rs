//! Claims on callers' own keys, kept in the platform's store.
//!
//! Keys fall into a fixed number of shards, one stored object each. A claim is added by a
//! conditional update, which alone decides who may run the key; that claims usually pass through
//! one preferred instance only saves conflicts. Claims that wait while an update is under way go
//! together into the next one.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::idempotency::KeyDigest;
use crate::identity::IncarnationId;

/// One stored claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The process that may run the key.
    pub claimant: IncarnationId,
    /// Wall-clock time of the claim, Unix milliseconds.
    pub claimed_ms: u64,
}

/// Content of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimShard {
    /// Claims by key.
    pub claims: BTreeMap<KeyDigest, ClaimRecord>,
}

/// Bounds of a shard.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSettings {
    /// Time for which a claim is kept, in milliseconds, including the stated clock error.
    pub retention_ms: u64,
    /// Most claims in a shard.
    pub claim_limit: usize,
    /// Most claims in one update.
    pub batch_limit: usize,
}

/// What became of a wish to claim a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// This process may run the key.
    Won,
    /// Another process claimed it first.
    Held(IncarnationId),
    /// The shard holds as many claims as it may.
    Full,
}

/// A store call that the writer asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read the shard.
    Read,
    /// Update the shard if it is still at `expected`; zero means that it must not exist.
    Write {
        /// Version that must be current.
        expected: u64,
        /// New content.
        content: ClaimShard,
    },
    /// The wish is decided.
    Decide(KeyDigest, ClaimDecision),
}

/// Actions of one event.
pub type ClaimActions = SmallVec<[ClaimAction; 4]>;

/// How a store call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimReply {
    /// The update took effect and made this version.
    Written(u64),
    /// The shard had another version.
    Conflict,
    /// The update may or may not take effect, now or later.
    Unknown,
    /// The shard as read; version zero when absent.
    Content(u64, ClaimShard),
    /// The read failed.
    ReadFailed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum WriterPhase {
    /// No call is out.
    Idle,
    /// A read is out.
    Reading,
    /// An update with these keys is out, built on the known version.
    Writing(Vec<KeyDigest>),
}

/// Claims of one process in one shard; at most one store call is out at a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimWriter {
    own: IncarnationId,
    phase: WriterPhase,
    known: Option<(u64, ClaimShard)>,
    pending: Vec<KeyDigest>,
}

impl ClaimWriter {
    /// A writer that knows nothing of the shard yet.
    #[must_use]
    pub const fn new(own: IncarnationId) -> Self {
        Self { own, phase: WriterPhase::Idle, known: None, pending: Vec::new() }
    }

    /// Wishes to claim `key`.
    pub fn request(
        &mut self,
        settings: &ClaimSettings,
        now_ms: u64,
        key: KeyDigest,
    ) -> ClaimActions {
        self.enqueue(key);
        self.proceed(settings, now_ms)
    }

    /// Notes a wish while a call is out; the reply's actions take it in.
    pub fn enqueue(&mut self, key: KeyDigest) {
        if !self.pending.contains(&key) {
            self.pending.push(key);
        }
    }

    /// Gives up on a claim that has not been decided. A write that is out may still claim the
    /// key for this process; a later wish then finds its own claim.
    pub fn cancel(&mut self, key: KeyDigest) {
        self.pending.retain(|other| *other != key);
    }

    /// A store call ended.
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
            // An update that may still take effect is settled by what the store shows next: a
            // read that lacks it proves nothing, but the next update on the same version does.
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
                let verdict = verdict_on(record.claimant, self.own);
                actions.push(ClaimAction::Decide(*key, verdict));
                false
            }
            None => true,
        });
        drop_expired(&mut content, settings, now_ms);
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

fn verdict_on(claimant: IncarnationId, own: IncarnationId) -> ClaimDecision {
    if claimant == own { ClaimDecision::Won } else { ClaimDecision::Held(claimant) }
}

fn drop_expired(content: &mut ClaimShard, settings: &ClaimSettings, now_ms: u64) {
    content
        .claims
        .retain(|_, record| now_ms < record.claimed_ms.saturating_add(settings.retention_ms));
}
