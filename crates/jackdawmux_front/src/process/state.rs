//! State that the parts of a front share.

use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use jackdawmux_policy::fleet::directory::InstanceDirectory;
use jackdawmux_policy::fleet::freshness::FreshnessTracker;
use jackdawmux_policy::fleet::steering::FleetSteering;
use jackdawmux_runtime::{ListenerLimits, ProcessClock, ProcessMetrics};
use strum::{Display, EnumCount, FromRepr};
use tokio::sync::{Notify, watch};

use super::connectivity::SourceConnectivity;
use super::settings::FrontSettings;
use crate::dialect::WireDialect;
use crate::source::{SourcePosition, WatchTopic};
use crate::upstream::UpstreamPool;

/// Phase in the life cycle of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, FromRepr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum FrontPhase {
    /// Has received no configuration or no endpoints yet.
    Starting,
    /// Serves requests and is returned by lookups.
    Serving,
    /// Finishes requests in progress and stops.
    Leaving,
}

/// State that exists for the lifetime of the process.
#[derive(Debug)]
pub struct FrontState {
    pub(crate) settings: FrontSettings,
    pub(crate) dialect: Arc<dyn WireDialect>,
    pub(crate) clock: ProcessClock,
    pub(crate) metrics: ProcessMetrics,
    pub(crate) pool: UpstreamPool,
    pub(crate) limits: watch::Sender<ListenerLimits>,
    pub(crate) incarnation: u64,
    pub(crate) connectivity: Arc<SourceConnectivity>,
    /// Notified when this instance's registration was removed or lost.
    pub(crate) registration_lost: Notify,
    /// Notified when a peer has applied an update of a topic that this instance has not.
    pub(crate) is_behind: [Notify; WatchTopic::COUNT],
    steering: Mutex<FleetSteering>,
    freshness: Mutex<FreshnessTracker>,
    directory: Mutex<InstanceDirectory>,
    registered_at: Mutex<Option<SourcePosition>>,
    phase: AtomicU8,
}

impl FrontState {
    /// Creates the state of a process that has received no updates yet.
    pub(crate) fn new(
        settings: FrontSettings,
        dialect: Arc<dyn WireDialect>,
        metrics: ProcessMetrics,
        limits: watch::Sender<ListenerLimits>,
    ) -> Self {
        let regions = Arc::new(settings.regions.clone());
        let bounds = settings.bounds.clone();
        let (own, domain) = (&settings.instance, &settings.domain);
        let steering = FleetSteering::new(own, domain, Arc::clone(&regions), bounds);
        let directory = InstanceDirectory::new(&settings.instance, regions);
        Self {
            dialect,
            clock: ProcessClock::default(),
            metrics,
            pool: UpstreamPool::default(),
            limits,
            incarnation: rand::random(),
            connectivity: Arc::default(),
            registration_lost: Notify::new(),
            is_behind: Default::default(),
            steering: Mutex::new(steering),
            freshness: Mutex::default(),
            directory: Mutex::new(directory),
            registered_at: Mutex::default(),
            phase: AtomicU8::new(FrontPhase::Starting as u8),
            settings,
        }
    }

    /// Locks the steering state, which selects endpoints for requests.
    pub(crate) fn steering(&self) -> MutexGuard<'_, FleetSteering> {
        self.steering.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the record of the changes that this instance and its peers have applied.
    pub(crate) fn freshness(&self) -> MutexGuard<'_, FreshnessTracker> {
        self.freshness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the directory of instances.
    pub(crate) fn directory(&self) -> MutexGuard<'_, InstanceDirectory> {
        self.directory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the position at which this instance was registered; none while it is not.
    pub(crate) fn registered_at(&self) -> MutexGuard<'_, Option<SourcePosition>> {
        self.registered_at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Current phase of the process.
    pub(crate) fn phase(&self) -> FrontPhase {
        FrontPhase::from_repr(self.phase.load(Ordering::Relaxed)).unwrap_or(FrontPhase::Starting)
    }

    /// Enters a phase. `FrontPhase::Leaving` is final: later calls have no effect.
    pub(crate) fn enter_phase(&self, phase: FrontPhase) {
        let before = self.phase();
        if before == phase || before == FrontPhase::Leaving {
            return;
        }
        self.phase.store(phase as u8, Ordering::Relaxed);
        self.directory().set_serving(phase == FrontPhase::Serving);
        log::info!("event=phase-changed from={before} to={phase}");
    }
}
