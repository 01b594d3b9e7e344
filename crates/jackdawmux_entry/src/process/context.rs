//! What every request of an instance shares.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use jackdawmux_peer::PeerKeys;
use jackdawmux_policy::identity::{IncarnationId, RequestId};
use jackdawmux_store::ObjectStore;
use kameo::actor::ActorRef;
use tokio::sync::watch;

use super::settings::EntrySettings;
use super::steering::SteeringActor;
use super::timeline::EventLog;
use crate::connection::UpstreamPool;
use crate::request::{IdempotencyKeyTable, ShiftSelector};
use crate::version::ActiveConfig;
use jackdawmux_runtime::ProcessClock;
use jackdawmux_runtime::ProcessMetrics;

/// One instance as callers may see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// The running process.
    pub incarnation: IncarnationId,
    /// Name of the instance.
    pub instance: String,
    /// Address for callers.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Whether it has been heard of lately and is not leaving.
    pub is_usable: bool,
}

/// All instances known, this one among them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryDirectory {
    /// Entries ordered by incarnation.
    pub entries: Vec<DirectoryEntry>,
}

impl EntryDirectory {
    /// Finds an instance by its process.
    #[must_use]
    pub fn find(&self, incarnation: IncarnationId) -> Option<&DirectoryEntry> {
        self.entries.iter().find(|entry| entry.incarnation == incarnation)
    }
}

/// Shared parts of one instance.
#[derive(Debug)]
pub struct EntryContext {
    /// Checked settings.
    pub settings: EntrySettings,
    /// The running process.
    pub incarnation: IncarnationId,
    /// Address for callers, as bound.
    pub address: SocketAddr,
    /// Clocks.
    pub clock: ProcessClock,
    /// Time line of this process.
    pub events: Arc<EventLog>,
    /// Metrics.
    pub metrics: ProcessMetrics,
    /// Keys shared by instances.
    pub keys: PeerKeys,
    /// The platform's store.
    pub store: Arc<dyn ObjectStore>,
    /// Connections to upstreams.
    pub pool: UpstreamPool,
    /// Steering state.
    pub(crate) steering: ActorRef<SteeringActor>,
    /// Keys of operations that run at most once.
    pub idempotency_keys: Arc<IdempotencyKeyTable>,
    /// Counts of requests moved by shifts.
    pub shifts: ShiftSelector,
    /// The configuration in force.
    pub active_config: watch::Receiver<Option<Arc<ActiveConfig>>>,
    /// Instances known.
    pub directory: watch::Receiver<Arc<EntryDirectory>>,
    next_request_id: AtomicU64,
}

/// Parts from which a context is made.
#[derive(Debug)]
pub(crate) struct ContextParts {
    pub(crate) settings: EntrySettings,
    pub(crate) incarnation: IncarnationId,
    pub(crate) address: SocketAddr,
    pub(crate) clock: ProcessClock,
    pub(crate) events: Arc<EventLog>,
    pub(crate) metrics: ProcessMetrics,
    pub(crate) keys: PeerKeys,
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) pool: UpstreamPool,
    pub(crate) idempotency_keys: Arc<IdempotencyKeyTable>,
    pub(crate) steering: ActorRef<SteeringActor>,
    pub(crate) active_config: watch::Receiver<Option<Arc<ActiveConfig>>>,
    pub(crate) directory: watch::Receiver<Arc<EntryDirectory>>,
}

impl EntryContext {
    pub(crate) fn new(parts: ContextParts) -> Self {
        Self {
            settings: parts.settings,
            incarnation: parts.incarnation,
            address: parts.address,
            clock: parts.clock,
            events: parts.events,
            metrics: parts.metrics,
            keys: parts.keys,
            store: parts.store,
            pool: parts.pool,
            steering: parts.steering,
            idempotency_keys: parts.idempotency_keys,
            shifts: ShiftSelector::default(),
            active_config: parts.active_config,
            directory: parts.directory,
            next_request_id: AtomicU64::new(1),
        }
    }

    /// A number for a new try of a request.
    pub fn next_request_id(&self) -> RequestId {
        RequestId(self.next_request_id.fetch_add(1, Ordering::Relaxed))
    }
}
