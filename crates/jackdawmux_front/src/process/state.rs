//! What the parts of a front share.

use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use jackdawmux_policy::fleet::directory::InstanceDirectory;
use jackdawmux_policy::fleet::steering::FleetSteering;
use jackdawmux_runtime::{ListenerLimits, ProcessClock, ProcessMetrics};
use strum::{Display, FromRepr};
use tokio::sync::{Notify, watch};

use super::contact::SourceContact;
use super::settings::FrontSettings;
use crate::dialect::WireDialect;
use crate::upstream::UpstreamPool;

/// Where the process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, FromRepr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum FrontPhase {
    /// Knows no configuration or no endpoints yet.
    Starting,
    /// Serves.
    Serving,
    /// Finishes what it has and stops.
    Leaving,
}

/// Parts that live as long as the process.
#[derive(Debug)]
pub struct FrontState {
    pub(crate) settings: FrontSettings,
    pub(crate) dialect: Arc<dyn WireDialect>,
    pub(crate) clock: ProcessClock,
    pub(crate) metrics: ProcessMetrics,
    pub(crate) pool: UpstreamPool,
    pub(crate) limits: watch::Sender<ListenerLimits>,
    pub(crate) incarnation: u64,
    pub(crate) contact: Arc<SourceContact>,
    /// This instance's registration was removed while it serves.
    pub(crate) registration_lost: Notify,
    steering: Mutex<FleetSteering>,
    directory: Mutex<InstanceDirectory>,
    phase: AtomicU8,
}

impl FrontState {
    /// The state of a process that knows nothing yet.
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
            contact: Arc::default(),
            registration_lost: Notify::new(),
            steering: Mutex::new(steering),
            directory: Mutex::new(directory),
            phase: AtomicU8::new(FrontPhase::Starting as u8),
            settings,
        }
    }

    /// The decisions about endpoints.
    pub(crate) fn steering(&self) -> MutexGuard<'_, FleetSteering> {
        self.steering.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The instances of the system.
    pub(crate) fn directory(&self) -> MutexGuard<'_, InstanceDirectory> {
        self.directory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where the process is in its life.
    pub(crate) fn phase(&self) -> FrontPhase {
        FrontPhase::from_repr(self.phase.load(Ordering::Relaxed)).unwrap_or(FrontPhase::Starting)
    }

    /// Moves on in the process's life; nothing leads back from leaving.
    pub(crate) fn enter(&self, phase: FrontPhase) {
        let before = self.phase();
        if before == phase || before == FrontPhase::Leaving {
            return;
        }
        self.phase.store(phase as u8, Ordering::Relaxed);
        self.directory().set_serving(phase == FrontPhase::Serving);
        log::info!("event=phase-changed from={before} to={phase}");
    }
}
