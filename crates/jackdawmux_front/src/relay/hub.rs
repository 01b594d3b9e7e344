//! Updates that this instance has read, for the readers of its group.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jackdawmux_policy::fleet::position::{SourcePosition, WatchTopic};
use jackdawmux_policy::fleet::relay::{KeptUpdates, RelayLog};
use strum::EnumCount;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::source::{FleetUpdate, UpdateBatch};

/// Logs of all topics, and notifications of their changes.
#[derive(Debug)]
pub(crate) struct RelayHub {
    logs: [Mutex<RelayLog<FleetUpdate>>; WatchTopic::COUNT],
    changes: watch::Sender<u64>,
    /// When the source last replied for each topic.
    replied_at: Mutex<[Option<Instant>; WatchTopic::COUNT]>,
    /// When another instance last read from this one.
    read_at: Mutex<Option<Instant>>,
}

impl Default for RelayHub {
    fn default() -> Self {
        Self {
            logs: Default::default(),
            changes: watch::Sender::new(0),
            replied_at: Mutex::default(),
            read_at: Mutex::default(),
        }
    }
}

impl RelayHub {
    /// Locks the log of a topic.
    pub(super) fn log(&self, topic: WatchTopic) -> MutexGuard<'_, RelayLog<FleetUpdate>> {
        self.logs[topic as usize].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Subscribes to changes of any log.
    pub(super) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Records a batch that was read after the position `from`, or as a full list. Only a batch from
    /// the source itself keeps the list complete: a relay's reader never serves lists.
    pub(crate) fn record(
        &self,
        topic: WatchTopic,
        from: Option<SourcePosition>,
        batch: &UpdateBatch,
    ) {
        if from.is_some() && batch.updates.is_empty() {
            return;
        }
        let mut log = self.log(topic);
        match from {
            None => {
                let named = batch.updates.iter().map(|update| (update.name(), update.clone()));
                log.record_list(batch.position, batch.newest_revision, named.collect());
            }
            Some(from) => {
                let kept = KeptUpdates {
                    position: batch.position,
                    newest_revision: batch.newest_revision,
                    updates: batch.updates.clone(),
                };
                log.record_changes(from, kept, |update| (update.name(), update.object_exists()));
            }
        }
        if batch.is_relayed {
            log.drop_objects();
        }
        drop(log);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Records that the source itself replied for a topic.
    pub(crate) fn record_reply(&self, topic: WatchTopic) {
        let mut replied_at = self.replied_at.lock().unwrap_or_else(PoisonError::into_inner);
        replied_at[topic as usize] = Some(Instant::now());
    }

    /// When the source last replied for a topic; none before its first reply.
    pub(super) fn replied_at(&self, topic: WatchTopic) -> Option<Instant> {
        self.replied_at.lock().unwrap_or_else(PoisonError::into_inner)[topic as usize]
    }

    /// Records that another instance reads.
    pub(super) fn record_read(&self) {
        *self.read_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }

    /// Whether another instance has read within a time.
    pub(crate) fn was_read_within(&self, span: Duration) -> bool {
        let read_at = *self.read_at.lock().unwrap_or_else(PoisonError::into_inner);
        read_at.is_some_and(|at| at.elapsed() <= span)
    }

    /// Wakes the waiting readers, for example because this instance stops to be a relay.
    pub(crate) fn wake_readers(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}
