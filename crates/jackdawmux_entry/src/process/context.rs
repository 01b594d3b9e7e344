//! State that all requests of an instance share.

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

/// One instance, as listed in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// Identifies the running process.
    pub incarnation: IncarnationId,
    /// Name of the instance.
    pub instance: String,
    /// Address for callers.
    pub address: SocketAddr,
    /// Failure domain of the instance.
    pub domain: String,
    /// Whether a message from it was received recently and it is not leaving.
    pub is_usable: bool,
}

/// The members of the group's view, and this instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryDirectory {
    /// Entries ordered by incarnation.
    pub entries: Vec<DirectoryEntry>,
}

impl EntryDirectory {
    /// Returns the entry of a running process.
    #[must_use]
    pub fn find(&self, incarnation: IncarnationId) -> Option<&DirectoryEntry> {
        self.entries.iter().find(|entry| entry.incarnation == incarnation)
    }
}

/// Shared state of one instance.
#[derive(Debug)]
pub struct EntryContext {
    /// Checked settings.
    pub settings: EntrySettings,
    /// Identifies the running process.
    pub incarnation: IncarnationId,
    /// Bound address for callers.
    pub address: SocketAddr,
    /// Wall clock and monotonic clock of the process.
    pub clock: ProcessClock,
    /// Timeline of this process.
    pub events: Arc<EventLog>,
    /// Metrics of this process.
    pub metrics: ProcessMetrics,
    /// Keys that all instances share to authenticate each other.
    pub keys: PeerKeys,
    /// The platform's store.
    pub store: Arc<dyn ObjectStore>,
    /// Idle connections to upstreams and peers.
    pub pool: UpstreamPool,
    /// Actor that owns the steering state.
    pub(crate) steering: ActorRef<SteeringActor>,
    /// Idempotency keys of at-most-once operations.
    pub idempotency_keys: Arc<IdempotencyKeyTable>,
    /// Selects the requests that shifts move to another region.
    pub shifts: ShiftSelector,
    /// The active configuration; none until one has been received.
    pub active_config: watch::Receiver<Option<Arc<ActiveConfig>>>,
    /// Instances that lookups may list.
    pub directory: watch::Receiver<Arc<EntryDirectory>>,
    next_request_id: AtomicU64,
}

/// Values for [`EntryContext::new`].
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

    /// Returns an identifier for a new attempt, unique in this process.
    pub fn next_request_id(&self) -> RequestId {
        RequestId(self.next_request_id.fetch_add(1, Ordering::Relaxed))
    }
}
