//! Claims on keys that callers chose themselves. One task for each shard in use batches them into
//! store calls.

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

/// Number of shards over which keys are spread. Must be the same at every instance.
const SHARD_COUNT: u16 = 64;
/// Skew between the wall clocks of instances that claims tolerate.
const MAX_CLOCK_SKEW_MS: u64 = 60_000;
/// Limits of a shard: 20,000 claims fit into the largest value that the store accepts.
const CLAIM_SETTINGS: ClaimSettings = ClaimSettings {
    retention_ms: KEY_RETENTION.as_millis() as u64 + MAX_CLOCK_SKEW_MS,
    claim_limit: 20_000,
    batch_limit: 1_000,
};
/// Minimum time between two updates of one shard. It keeps the updates of 64 shards under the
/// several hundred writes per second that the store handles; claims that wait share an update.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of claim requests queued for the task of one shard.
const MAX_QUEUED_CLAIMS: usize = 4_096;

/// Returns the shard of a key.
pub(crate) const fn shard_of(key: KeyDigest) -> u16 {
    u16::from_be_bytes([key.0[0], key.0[1]]) % SHARD_COUNT
}

struct ClaimRequest {
    key: KeyDigest,
    decision_sender: oneshot::Sender<ClaimDecision>,
}

/// Claims keys for this process.
#[derive(Debug)]
pub(crate) struct ClaimClient {
    own: IncarnationId,
    shards: Mutex<HashMap<u16, mpsc::Sender<ClaimRequest>>>,
}

impl ClaimClient {
    pub(crate) fn new(own: IncarnationId) -> Self {
        Self { own, shards: Mutex::default() }
    }

    /// Claims a key. The receiver fails immediately, without a decision, when the store cannot be
    /// read or the queue of the shard is full.
    pub(crate) fn claim(
        &self,
        store: &Arc<dyn ObjectStore>,
        clock: ProcessClock,
        key: KeyDigest,
    ) -> oneshot::Receiver<ClaimDecision> {
        let (decision_sender, decision) = oneshot::channel();
        let shard = shard_of(key);
        let mut shards = self.shards.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = shards.entry(shard).or_insert_with(|| {
            let (sender, requests) = mpsc::channel(MAX_QUEUED_CLAIMS);
            let task = ShardTask {
                store: Arc::clone(store),
                clock,
                key: format!("claims/{shard}"),
                writer: ClaimWriter::new(self.own),
                waiting: HashMap::new(),
                next_update: Instant::now(),
            };
            tokio::spawn(task.run(requests));
            sender
        });
        // A full queue drops the request with its sender, so the receiver fails immediately.
        let _dropped = queue.try_send(ClaimRequest { key, decision_sender });
        decision
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
    async fn run(mut self, mut requests: mpsc::Receiver<ClaimRequest>) {
        while let Some(first) = requests.recv().await {
            let mut actions = self.add_request(first);
            // Requests that arrive during a store call join the next update.
            while let Some(call) = self.deliver_decisions(actions) {
                let reply = self.call(call).await;
                let is_failed = matches!(reply, ClaimReply::ReadFailed);
                while let Ok(request) = requests.try_recv() {
                    self.queue_request(request);
                }
                if is_failed {
                    self.fail_all();
                }
                actions = self.writer.reply(&CLAIM_SETTINGS, self.clock.wall_ms(), reply);
            }
        }
    }

    fn add_request(&mut self, request: ClaimRequest) -> ClaimActions {
        self.waiting.entry(request.key).or_default().push(request.decision_sender);
        self.writer.request(&CLAIM_SETTINGS, self.clock.wall_ms(), request.key)
    }

    /// Queues a request that arrived during a store call.
    fn queue_request(&mut self, request: ClaimRequest) {
        self.waiting.entry(request.key).or_default().push(request.decision_sender);
        self.writer.enqueue(request.key);
    }

    /// Fails all waiting requests immediately, because the store cannot be read.
    fn fail_all(&mut self) {
        for (key, _) in self.waiting.drain() {
            self.writer.cancel(key);
        }
    }

    /// Sends decisions to the waiting requests and returns the store call to make, if any.
    fn deliver_decisions(&mut self, actions: ClaimActions) -> Option<ClaimAction> {
        let mut call = None;
        for action in actions {
            match action {
                ClaimAction::Decide(key, decision) => {
                    for decision_sender in self.waiting.remove(&key).unwrap_or_default() {
                        // The request may have passed its deadline and dropped the receiver.
                        let _dropped = decision_sender.send(decision);
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
                self.next_update = Instant::now() + MIN_UPDATE_INTERVAL;
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
