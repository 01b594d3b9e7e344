//! Keeps known facts in force while the update source replays its history after a restore.
//!
//! A source that comes back from an older copy has lost its latest changes and names a new era.
//! The operator and the endpoints write their objects again, in any order. Until they have had time
//! to, what the copy lacks is not evidence that something ended, and what only the copy names is
//! not evidence that something returned.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::EnumCount;

use super::choice::EndpointKey;
use super::position::{SourcePosition, WatchTopic};
use super::record::EndpointRecord;
use crate::clock::PolicyTime;

/// Time after a restore in which objects are written again. It covers several heartbeats of an
/// endpoint and the expiry of registrations that nobody renews.
pub(super) const SETTLE_TIME: Duration = Duration::from_secs(10);
/// How long the removal of an endpoint is remembered. A copy is some seconds old.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of removed endpoints that are remembered.
const MAX_TOMBSTONES: usize = 8_192;

/// What an instance knows from before a restore, for one that started after it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestoreFacts {
    /// Era that the restore began.
    pub era: u64,
    /// Time until objects have been written again, in milliseconds.
    pub settles_in_ms: u64,
    /// Endpoints that left or drain, by key, each with the start of its latest incarnation that did.
    pub ended: Vec<(u64, u64)>,
    /// Failure domains that are being evacuated.
    pub evacuated: Vec<String>,
}

/// A removed endpoint.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    /// Start of the latest incarnation that was removed.
    started_ms: u64,
    /// Number of its latest statement that was known.
    sequence: Option<u64>,
    removed_at: PolicyTime,
}

/// Era of the update source, and the endpoints that were removed recently.
#[derive(Clone, Debug, Default)]
pub struct RestoreTracker {
    /// None before the first batch: a process that starts has no facts to keep.
    era: Option<u64>,
    /// When the objects have been written again after the latest restore.
    settles_at: Option<PolicyTime>,
    /// Revision of the first full list of each topic in the current era. Objects up to it may come
    /// from the copy.
    floors: [Option<u64>; WatchTopic::COUNT],
    tombstones: HashMap<EndpointKey, Tombstone>,
}

impl RestoreTracker {
    /// Records the position of a batch of updates. Returns `true` if it starts a new era.
    pub fn record_position(
        &mut self,
        now: PolicyTime,
        topic: WatchTopic,
        position: SourcePosition,
    ) -> bool {
        let known = *self.era.get_or_insert(position.era);
        let is_new_era = position.era > known;
        if is_new_era {
            self.era = Some(position.era);
            self.settles_at = Some(now + SETTLE_TIME);
            self.floors = [None; WatchTopic::COUNT];
        }
        self.floors[topic as usize].get_or_insert(position.revision);
        is_new_era
    }

    /// Returns whether a position belongs to an era that has ended.
    #[must_use]
    pub fn is_past_era(&self, position: SourcePosition) -> bool {
        self.era.is_some_and(|era| position.era < era)
    }

    /// Returns whether objects may still be written again after a restore.
    #[must_use]
    pub fn is_settling(&self, now: PolicyTime) -> bool {
        self.settles_at.is_some_and(|at| now < at)
    }

    /// Returns `true` once after each restore, when the time to write objects again has passed. The
    /// full lists then hold.
    pub fn take_settled(&mut self, now: PolicyTime) -> bool {
        let is_settled = self.settles_at.is_some() && !self.is_settling(now);
        if is_settled {
            self.settles_at = None;
        }
        is_settled
    }

    /// Returns whether an object may come from the copy rather than from a write after the restore.
    #[must_use]
    pub fn is_copied(
        &self,
        now: PolicyTime,
        topic: WatchTopic,
        written_at: SourcePosition,
    ) -> bool {
        let floor = self.floors[topic as usize];
        self.is_settling(now) && floor.is_none_or(|floor| written_at.revision <= floor)
    }

    /// Remembers that an endpoint was removed. The removal of an earlier incarnation does not
    /// replace that of a later one.
    pub fn record_removed(&mut self, now: PolicyTime, record: &EndpointRecord) {
        self.prune(now);
        self.record_ended(now, EndpointKey::of(&record.id), (record.started_ms, record.sequence));
    }

    fn record_ended(&mut self, now: PolicyTime, key: EndpointKey, latest: (u64, Option<u64>)) {
        if self.tombstones.len() >= MAX_TOMBSTONES && !self.tombstones.contains_key(&key) {
            return;
        }
        let fresh = Tombstone { started_ms: 0, sequence: None, removed_at: now };
        let tombstone = self.tombstones.entry(key).or_insert(fresh);
        (tombstone.started_ms, tombstone.sequence) =
            latest.max((tombstone.started_ms, tombstone.sequence));
        tombstone.removed_at = now;
    }

    /// Returns the era, the time until objects have been written again and the endpoints that were
    /// removed; none if objects are not being written again.
    #[must_use]
    pub fn facts(&self, now: PolicyTime) -> Option<RestoreFacts> {
        let settles_in = self.settles_at?.since(now);
        let is_kept = |tombstone: &Tombstone| now.since(tombstone.removed_at) < TOMBSTONE_RETENTION;
        let ended = self.tombstones.iter().filter(|(_, tombstone)| is_kept(tombstone));
        (!settles_in.is_zero()).then(|| RestoreFacts {
            era: self.era.unwrap_or_default(),
            settles_in_ms: u64::try_from(settles_in.as_millis()).unwrap_or(u64::MAX),
            ended: ended.map(|(key, tombstone)| (key.0, tombstone.started_ms)).collect(),
            evacuated: Vec::new(),
        })
    }

    /// Adopts the facts of a peer, unless they belong to another era.
    pub fn adopt(&mut self, now: PolicyTime, facts: &RestoreFacts) -> bool {
        if self.era != Some(facts.era) {
            return false;
        }
        let settles_in = Duration::from_millis(facts.settles_in_ms).min(SETTLE_TIME);
        self.settles_at = self.settles_at.max(Some(now + settles_in));
        for (key, started_ms) in &facts.ended {
            self.record_ended(now, EndpointKey(*key), (*started_ms, None));
        }
        true
    }

    /// Returns whether an incarnation of an endpoint was removed, or an incarnation after it.
    #[must_use]
    pub fn is_removed(&self, now: PolicyTime, record: &EndpointRecord) -> bool {
        self.tombstone(now, record)
            .is_some_and(|tombstone| record.started_ms <= tombstone.started_ms)
    }

    /// Returns whether an endpoint made a statement before it was removed, as far as its own numbers say.
    #[must_use]
    pub fn is_before_removal(&self, now: PolicyTime, record: &EndpointRecord) -> bool {
        self.tombstone(now, record).is_some_and(|tombstone| {
            let known = (tombstone.started_ms, tombstone.sequence);
            record.started_ms < tombstone.started_ms
                || (record.sequence.is_some() && (record.started_ms, record.sequence) <= known)
        })
    }

    fn tombstone(&self, now: PolicyTime, record: &EndpointRecord) -> Option<&Tombstone> {
        let tombstone = self.tombstones.get(&EndpointKey::of(&record.id))?;
        (now.since(tombstone.removed_at) < TOMBSTONE_RETENTION).then_some(tombstone)
    }

    fn prune(&mut self, now: PolicyTime) {
        if self.tombstones.len() >= MAX_TOMBSTONES {
            self.tombstones
                .retain(|_, tombstone| now.since(tombstone.removed_at) < TOMBSTONE_RETENTION);
        }
    }
}
