//! Connectivity to the source of fleet updates, shared by all topic watchers.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::Instant;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectivityState {
    /// No call has been completed yet.
    Unknown,
    /// Every call since this time was answered.
    Connected(Instant),
    /// No call since this time succeeded.
    Disconnected(Instant),
}

/// Whether the source answers calls, and since when.
///
/// While it does not, one task at a time probes whether it has recovered and the others wait. An
/// outage therefore costs one call at a time, and all tasks resume as soon as it ends.
#[derive(Debug)]
pub(crate) struct SourceConnectivity {
    state: Mutex<ConnectivityState>,
    probe: Semaphore,
}

impl Default for SourceConnectivity {
    fn default() -> Self {
        Self { state: Mutex::new(ConnectivityState::Unknown), probe: Semaphore::new(1) }
    }
}

impl SourceConnectivity {
    /// Returns immediately while the source is connected, and otherwise waits for the turn to probe
    /// it. The permit, if there is one, is held by the only task that probes.
    pub(crate) async fn acquire_probe(&self) -> Option<SemaphorePermit<'_>> {
        if !self.is_disconnected() {
            return None;
        }
        let permit = self.probe.acquire().await.ok();
        // The previous holder may have found that the source has recovered.
        permit.filter(|_| self.is_disconnected())
    }

    /// Records an answered call. Returns the length of the outage if this call ended one.
    pub(crate) fn record_success(&self) -> Option<Duration> {
        let mut state = self.lock();
        match *state {
            ConnectivityState::Connected(_) => None,
            ConnectivityState::Unknown => {
                *state = ConnectivityState::Connected(Instant::now());
                None
            }
            ConnectivityState::Disconnected(since) => {
                *state = ConnectivityState::Connected(Instant::now());
                Some(since.elapsed())
            }
        }
    }

    /// Records a failed call. Returns whether it started an outage.
    pub(crate) fn record_failure(&self) -> bool {
        let mut state = self.lock();
        if matches!(*state, ConnectivityState::Disconnected(_)) {
            return false;
        }
        *state = ConnectivityState::Disconnected(Instant::now());
        true
    }

    /// How long the source has answered every call; none while it is unreachable or not yet called.
    pub(crate) fn connected_for(&self) -> Option<Duration> {
        match *self.lock() {
            ConnectivityState::Connected(since) => Some(since.elapsed()),
            ConnectivityState::Unknown | ConnectivityState::Disconnected(_) => None,
        }
    }

    fn is_disconnected(&self) -> bool {
        matches!(*self.lock(), ConnectivityState::Disconnected(_))
    }

    fn lock(&self) -> MutexGuard<'_, ConnectivityState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
