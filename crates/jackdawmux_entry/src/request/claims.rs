//! Claims on callers' own keys: one task for each shard in use batches them into store calls.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use jackdawmux_policy::claim::{
    ClaimAction, ClaimActions, ClaimDecision, ClaimReply, ClaimSettings, ClaimShard, ClaimWriter,
};
use jackdawmux_policy::idempotency::KeyDigest;
use jackdawmux_policy::identity::IncarnationId;
use jackdawmux_store::{ObjectStore, UpdateOutcome};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use super::key_table::KEY_RETENTION;
use jackdawmux_runtime::ProcessClock;

/// Shards into which keys fall, the same at every instance.
const SHARD_COUNT: u16 = 64;
/// Error of wall clocks between instances that claims allow for, in milliseconds.
const CLOCK_ERROR_MS: u64 = 60_000;
/// Bounds of a shard: 20,000 claims stay under the store's largest value.
const SETTINGS: ClaimSettings = ClaimSettings {
    retention_ms: KEY_RETENTION.as_millis() as u64 + CLOCK_ERROR_MS,
    claim_limit: 20_000,
    batch_limit: 1_000,
};
/// Least time between two updates of one shard: 64 shards stay under the store's several hundred
/// writes a second, and claims that wait share an update.
const UPDATE_GAP: Duration = Duration::from_millis(150);
/// Wishes that wait for one shard's task.
const WISH_LIMIT: usize = 4_096;

/// The shard that a key falls into.
pub(crate) const fn shard_of(key: KeyDigest) -> u16 {
    u16::from_be_bytes([key.0[0], key.0[1]]) % SHARD_COUNT
}

struct ClaimWish {
    key: KeyDigest,
    decided: oneshot::Sender<ClaimDecision>,
}

/// Claims of this process.
#[derive(Debug)]
pub(crate) struct ClaimClient {
    own: IncarnationId,
    shards: Mutex<HashMap<u16, mpsc::Sender<ClaimWish>>>,
}

impl ClaimClient {
    pub(crate) fn new(own: IncarnationId) -> Self {
        Self { own, shards: Mutex::default() }
    }

    /// Claims a key; the receiver fails at once when the store does not answer.
    pub(crate) fn claim(
        &self,
        store: &Arc<dyn ObjectStore>,
        clock: ProcessClock,
        key: KeyDigest,
    ) -> oneshot::Receiver<ClaimDecision> {
        let (decided, verdict) = oneshot::channel();
        let shard = shard_of(key);
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = shards.entry(shard).or_insert_with(|| {
            let (sender, wishes) = mpsc::channel(WISH_LIMIT);
            let task = ShardTask {
                store: Arc::clone(store),
                clock,
                key: format!("claims/{shard}"),
                writer: ClaimWriter::new(self.own),
                waiting: HashMap::new(),
                next_update: Instant::now(),
            };
            tokio::spawn(task.run(wishes));
            sender
        });
        // A full queue drops the wish, which its receiver sees at once.
        let _dropped = queue.try_send(ClaimWish { key, decided });
        verdict
    }
}

struct ShardTask {
    store: Arc<dyn ObjectStore>,
    clock: ProcessClock,
    key: String,
    writer: ClaimWriter,
    waiting: HashMap<KeyDigest, Vec<oneshot::Sender<ClaimDecision>>>,
    next_update: Instant,
}

impl ShardTask {
    async fn run(mut self, mut wishes: mpsc::Receiver<ClaimWish>) {
        while let Some(first) = wishes.recv().await {
            let mut actions = self.wish(first);
            // Wishes that came while a call was out join the next update.
            while let Some(call) = self.decide(actions) {
                let reply = self.call(call).await;
                let is_failed = matches!(reply, ClaimReply::ReadFailed);
                while let Ok(wish) = wishes.try_recv() {
                    self.note(wish);
                }
                if is_failed {
                    self.drop_all();
                }
                actions = self.writer.reply(&SETTINGS, self.clock.wall_ms(), reply);
            }
        }
    }

    fn wish(&mut self, wish: ClaimWish) -> ClaimActions {
        self.waiting.entry(wish.key).or_default().push(wish.decided);
        self.writer.request(&SETTINGS, self.clock.wall_ms(), wish.key)
    }

    /// Notes a wish while a call is out.
    fn note(&mut self, wish: ClaimWish) {
        self.waiting.entry(wish.key).or_default().push(wish.decided);
        self.writer.enqueue(wish.key);
    }

    /// The store is away: everyone who waits learns it at once.
    fn drop_all(&mut self) {
        for (key, _) in self.waiting.drain() {
            self.writer.cancel(key);
        }
    }

    /// Tells decided wishes and returns the store call to make, if any.
    fn decide(&mut self, actions: ClaimActions) -> Option<ClaimAction> {
        let mut call = None;
        for action in actions {
            match action {
                ClaimAction::Decide(key, verdict) => {
                    for decided in self.waiting.remove(&key).unwrap_or_default() {
                        // Whoever asked may have run out of time.
                        let _gone = decided.send(verdict);
                    }
                }
                ClaimAction::Read | ClaimAction::Write { .. } => call = Some(action),
            }
        }
        call
    }

    async fn call(&mut self, action: ClaimAction) -> ClaimReply {
        match action {
            ClaimAction::Write { expected, content } => {
                sleep_until(self.next_update).await;
                self.next_update = Instant::now() + UPDATE_GAP;
                self.write(expected, &content).await
            }
            ClaimAction::Read | ClaimAction::Decide(..) => self.read().await,
        }
    }

    async fn read(&self) -> ClaimReply {
        match self.store.read(&self.key).await {
            Ok(None) => ClaimReply::Content(0, ClaimShard::default()),
            Ok(Some(object)) => match ciborium::from_reader(object.content.as_ref()) {
                Ok(content) => ClaimReply::Content(object.version, content),
                Err(error) => {
                    log::error!("event=claims-unreadable key={} error={error}", self.key);
                    ClaimReply::ReadFailed
                }
            },
            Err(error) => {
                log::debug!("event=claims-read-failed {error}");
                ClaimReply::ReadFailed
            }
        }
    }

    async fn write(&self, expected: u64, content: &ClaimShard) -> ClaimReply {
        let mut bytes = Vec::new();
        if let Err(error) = ciborium::into_writer(content, &mut bytes) {
            log::error!("event=claims-unwritable key={} error={error}", self.key);
            return ClaimReply::Unknown;
        }
        match self.store.update(&self.key, expected, Bytes::from(bytes)).await {
            UpdateOutcome::Done(version) => ClaimReply::Written(version),
            UpdateOutcome::Conflict => ClaimReply::Conflict,
            UpdateOutcome::NotDone(error) | UpdateOutcome::Unknown(error) => {
                log::debug!("event=claims-write-unsure {error}");
                ClaimReply::Unknown
            }
        }
    }
}
