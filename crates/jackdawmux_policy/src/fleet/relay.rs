//! Distribution of updates inside a failure domain: one instance of a group reads the source, and the
//! others read from it.
//!
//! Every instance selects the relay of its group from the registrations and heartbeats that it
//! knows, without agreement. An instance that is taken for a relay by mistake refuses to be one, so
//! that no update can travel in a circle.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use super::position::SourcePosition;
use super::record::InstanceRecord;
use crate::clock::PolicyTime;

/// Largest group that shares a relay.
const MAX_GROUP_SIZE: usize = 16;
/// Smallest group in which a relay saves calls to the source.
const MIN_GROUP_SIZE: usize = 3;
/// How long a relay that failed to reply is not asked again.
const SUSPICION_TIME: Duration = Duration::from_secs(3);
/// Maximum number of updates that a relay keeps for watches. A position before them is answered as
/// by a source whose history is gone.
const MAX_KEPT_UPDATES: usize = 1_024;

/// Time limits of reads of a topic, from a relay or from the source, derived from the time within which
/// its updates must be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayTimes {
    /// How long a relay holds a read if it has no updates.
    pub wait: Duration,
    /// How long a reader waits for the reply.
    pub reply_timeout: Duration,
    /// The hold for topics other than the endpoints. The reads of these show more often whether the relay
    /// still replies.
    pub long_wait: Duration,
    /// Maximum age of the source's latest reply with which a relay answers reads.
    pub max_age: Duration,
    /// Time after the latest reply for a topic at which the next watch at the source ends. Its reply, also
    /// one without updates, shows that none has been lost.
    pub source_wait: Duration,
    /// Shortest wait of such a watch, also after a relay that did not reply.
    pub min_source_wait: Duration,
    /// How much longer than the wait of a watch an instance waits for its reply before it lists the topic
    /// instead.
    pub reply_margin: Duration,
    /// Maximum time since the source last replied for a topic with which a relay answers reads of it. It
    /// covers a batch delay, the next watch and its reply.
    pub max_topic_age: Duration,
    /// Maximum time without a reply of the source after which a relay checks it.
    pub check_interval: Duration,
    /// Delay after a batch from the source, in which further updates accumulate at a relay.
    pub batch_delay: Duration,
}

impl RelayTimes {
    /// Derives the time limits. A relay that loses the source, a reader that loses its relay, and a
    /// watch whose reply is lost leave enough of the deadline to read the source again.
    #[must_use]
    pub fn new(deadline: Duration) -> Self {
        Self {
            wait: deadline.mul_f64(0.2),
            reply_timeout: deadline.mul_f64(0.35),
            long_wait: deadline.mul_f64(0.45),
            max_age: deadline.mul_f64(0.4),
            source_wait: deadline.mul_f64(0.6),
            min_source_wait: deadline.mul_f64(0.1),
            reply_margin: deadline.mul_f64(0.2),
            max_topic_age: deadline.mul_f64(0.85),
            check_interval: deadline.mul_f64(0.16),
            batch_delay: deadline.mul_f64(0.15),
        }
    }

    /// Returns how long a watch at the source waits, `idle` after the latest reply for the topic.
    #[must_use]
    pub fn wait_after(&self, idle: Duration) -> Duration {
        self.source_wait.saturating_sub(idle).max(self.min_source_wait)
    }

    /// Time that a reader gives a relay in addition to the time for which it holds the read.
    #[must_use]
    pub const fn relay_margin(&self) -> Duration {
        self.reply_timeout.saturating_sub(self.wait)
    }
}

/// From where an instance reads updates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadPath {
    /// The instance does not know yet which others run.
    Undecided,
    /// From the source. Other instances of the group may read from this one.
    Direct,
    /// From the relay of its group.
    Relay(Box<InstanceRecord>),
}

/// Relays that failed to reply.
#[derive(Clone, Debug, Default)]
pub struct RelaySuspicions {
    until: HashMap<String, PolicyTime>,
}

impl RelaySuspicions {
    /// Records that a relay failed to reply.
    pub fn record(&mut self, now: PolicyTime, relay: &str) {
        self.until.retain(|_, end| now < *end);
        self.until.insert(relay.to_owned(), now + SUSPICION_TIME);
    }

    /// Returns whether a relay is not to be asked.
    #[must_use]
    pub fn contains(&self, now: PolicyTime, relay: &str) -> bool {
        self.until.get(relay).is_some_and(|end| now < *end)
    }
}

/// Returns the group of `own` among the instances of its failure domain, which are sorted by name.
#[must_use]
pub fn relay_group<'view>(
    own: &str,
    domain: &[&'view InstanceRecord],
) -> Vec<&'view InstanceRecord> {
    let Some(position) = domain.iter().position(|record| record.name == own) else {
        return Vec::new();
    };
    let groups = domain.len().div_ceil(MAX_GROUP_SIZE);
    let group_of = |position: usize| position * groups / domain.len();
    let own_group = group_of(position);
    let members = domain.iter().enumerate().filter(|(index, _)| group_of(*index) == own_group);
    members.map(|(_, record)| *record).collect()
}

/// Selects from where `own` reads updates. `is_live` tells which instances of the group run, as far
/// as this instance knows.
#[must_use]
pub fn read_path(
    own: &str,
    group: &[&InstanceRecord],
    is_live: impl Fn(&InstanceRecord) -> bool,
) -> ReadPath {
    if group.is_empty() {
        return ReadPath::Undecided;
    }
    if group.len() < MIN_GROUP_SIZE {
        return ReadPath::Direct;
    }
    let live = group.iter().filter(|record| record.name == own || is_live(record));
    let by_rank = |left: &&&InstanceRecord, right: &&&InstanceRecord| {
        let by_capacity = right.capacity_permille.cmp(&left.capacity_permille);
        by_capacity.then_with(|| left.name.cmp(&right.name))
    };
    match live.min_by(by_rank) {
        Some(relay) if relay.name != own => ReadPath::Relay(Box::new((*relay).clone())),
        _ => ReadPath::Direct,
    }
}

/// Updates that a relay keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptUpdates<U> {
    /// Position after the updates.
    pub position: SourcePosition,
    /// Revision of the newest change among the updates.
    pub newest_revision: u64,
    /// The updates, in the order in which they are applied.
    pub updates: Vec<U>,
}

/// Reply of a relay to a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayedChanges<U> {
    /// There are no updates after the reader's position.
    Unchanged,
    /// Updates after the reader's position.
    Updates(KeptUpdates<U>),
    /// The relay does not keep the updates after the reader's position.
    HistoryGone,
}

/// Updates of one topic that an instance has read, kept for the readers of its group.
#[derive(Clone, Debug)]
pub struct RelayLog<U> {
    position: Option<SourcePosition>,
    /// Position from which on all updates are kept.
    kept_from: SourcePosition,
    changes: VecDeque<KeptUpdates<U>>,
    kept_updates: usize,
    newest_revision: u64,
    /// Objects by name, if the full list was read from the source.
    objects: Option<BTreeMap<String, U>>,
}

impl<U> Default for RelayLog<U> {
    fn default() -> Self {
        Self {
            position: None,
            kept_from: SourcePosition::default(),
            changes: VecDeque::new(),
            kept_updates: 0,
            newest_revision: 0,
            objects: None,
        }
    }
}

impl<U: Clone> RelayLog<U> {
    /// Records a full list with the revision of its newest object. Earlier updates are dropped: the
    /// list does not say what was removed.
    pub fn record_list(
        &mut self,
        position: SourcePosition,
        newest_revision: u64,
        objects: Vec<(String, U)>,
    ) {
        *self = Self {
            position: Some(position),
            kept_from: position,
            newest_revision,
            objects: Some(objects.into_iter().collect()),
            ..Self::default()
        };
    }

    /// Records the updates after the position `from`, each with the name of its object and whether
    /// the object exists afterwards.
    pub fn record_changes(
        &mut self,
        from: SourcePosition,
        kept: KeptUpdates<U>,
        name: impl Fn(&U) -> (String, bool),
    ) {
        if self.position.is_none_or(|known| known < from) {
            *self = Self { kept_from: from, ..Self::default() };
        }
        self.position = Some(kept.position);
        self.newest_revision = self.newest_revision.max(kept.newest_revision);
        if let Some(objects) = &mut self.objects {
            for update in &kept.updates {
                let (name, exists) = name(update);
                if exists {
                    objects.insert(name, update.clone());
                } else {
                    objects.remove(&name);
                }
            }
        }
        self.kept_updates += kept.updates.len();
        self.changes.push_back(kept);
        while self.kept_updates > MAX_KEPT_UPDATES
            && let Some(dropped) = self.changes.pop_front()
        {
            self.kept_updates -= dropped.updates.len();
            self.kept_from = dropped.position;
        }
    }

    /// Stops keeping objects, which only a direct reader can keep complete.
    pub fn drop_objects(&mut self) {
        self.objects = None;
    }

    /// Returns the full list, if it is known.
    #[must_use]
    pub fn list(&self) -> Option<KeptUpdates<U>> {
        let objects = self.objects.as_ref()?;
        Some(KeptUpdates {
            position: self.position?,
            newest_revision: self.newest_revision,
            updates: objects.values().cloned().collect(),
        })
    }

    /// Returns the updates after a position.
    #[must_use]
    pub fn changes_after(&self, after: SourcePosition) -> RelayedChanges<U> {
        let Some(position) = self.position else {
            return RelayedChanges::HistoryGone;
        };
        let is_newer_era = after.era < position.era;
        if is_newer_era || (after.era == position.era && after < self.kept_from) {
            return RelayedChanges::HistoryGone;
        }
        if after >= position {
            return RelayedChanges::Unchanged;
        }
        let newer = || self.changes.iter().filter(|kept| kept.position > after);
        RelayedChanges::Updates(KeptUpdates {
            position,
            newest_revision: newer().map(|kept| kept.newest_revision).max().unwrap_or_default(),
            updates: newer().flat_map(|kept| kept.updates.iter().cloned()).collect(),
        })
    }
}
