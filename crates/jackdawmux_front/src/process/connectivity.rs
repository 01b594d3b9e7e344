//! Connectivity to the source of fleet updates, shared by all topic watchers.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Semaphore, SemaphorePermit, watch};
use tokio::time::{Instant, sleep};

use crate::source::FleetSource;

/// Maximum time without a reply of the source after which it is checked. A watch that waits does
/// not show whether the source still answers.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(1_500);
/// Minimum time between two looks whether a check is due.
const MIN_CHECK_DELAY: Duration = Duration::from_millis(100);
/// Time limit of a check. A check that began during an outage may never be answered, so the limit
/// also bounds how long the recovery of the source goes unnoticed.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

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
    replied_at: Mutex<Option<Instant>>,
    /// Highest era that the source has named; none before its first reply.
    era: Mutex<Option<u64>>,
    /// Number of outages and eras so far. A call that was waiting when one began may never be
    /// answered, or from another history.
    interruptions: watch::Sender<u64>,
}

impl Default for SourceConnectivity {
    fn default() -> Self {
        Self {
            state: Mutex::new(ConnectivityState::Unknown),
            probe: Semaphore::new(1),
            replied_at: Mutex::default(),
            era: Mutex::default(),
            interruptions: watch::Sender::new(0),
        }
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
        *self.replied_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
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

    /// Records that a relay, which the source has just answered, replied. This instance then need not
    /// check the source itself.
    pub(crate) fn record_relay_reply(&self) {
        *self.replied_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }

    /// Records a failed call and interrupts the calls that wait. Returns whether it started an
    /// outage.
    pub(crate) fn record_failure(&self) -> bool {
        let mut state = self.lock();
        if matches!(*state, ConnectivityState::Disconnected(_)) {
            return false;
        }
        *state = ConnectivityState::Disconnected(Instant::now());
        drop(state);
        self.interrupt();
        true
    }

    /// Records the era that the source names. A new one interrupts the calls that wait, because the
    /// history continues from an older copy.
    pub(crate) fn observe_era(&self, era: u64) {
        let before = {
            let mut known = self.era.lock().unwrap_or_else(PoisonError::into_inner);
            let before = known.unwrap_or(era);
            *known = Some(before.max(era));
            before
        };
        if era > before {
            log::warn!("event=source-restored era={era} previous={before}");
            self.interrupt();
        }
    }

    /// Highest era that the source has named; zero before its first reply.
    pub(crate) fn era(&self) -> u64 {
        self.era.lock().unwrap_or_else(PoisonError::into_inner).unwrap_or_default()
    }

    /// Interrupts the calls that wait.
    fn interrupt(&self) {
        self.interruptions.send_modify(|count| *count += 1);
    }

    /// Subscribes to interruptions from now on.
    pub(crate) fn interruptions(&self) -> watch::Receiver<u64> {
        self.interruptions.subscribe()
    }

    /// Time since the source last replied; none while it is unreachable or not yet called.
    pub(crate) fn reply_age(&self) -> Option<Duration> {
        let replied_at = *self.replied_at.lock().unwrap_or_else(PoisonError::into_inner);
        self.connected_for().and(replied_at).map(|at| at.elapsed())
    }

    /// How long the source has answered every call; none while it is unreachable or not yet called.
    pub(crate) fn connected_for(&self) -> Option<Duration> {
        match *self.lock() {
            ConnectivityState::Connected(since) => Some(since.elapsed()),
            ConnectivityState::Unknown | ConnectivityState::Disconnected(_) => None,
        }
    }

    /// Checks the source whenever it has not replied for the time that `interval` returns, until the
    /// process ends.
    pub(crate) async fn check_periodically(
        &self,
        source: &dyn FleetSource,
        interval: impl Fn() -> Duration,
    ) {
        loop {
            let interval = interval();
            let idle = self.reply_age().unwrap_or_default();
            if idle < interval {
                sleep((interval - idle).max(MIN_CHECK_DELAY)).await;
                continue;
            }
            match check(source).await {
                Ok(()) => {
                    self.record_success();
                    self.observe_era(source.era());
                }
                Err(reason) if self.record_failure() => {
                    log::warn!("event=dependency-lost dependency=store {reason}");
                }
                Err(_reason) => {}
            }
        }
    }

    fn is_disconnected(&self) -> bool {
        matches!(*self.lock(), ConnectivityState::Disconnected(_))
    }

    fn lock(&self) -> MutexGuard<'_, ConnectivityState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Checks whether the source answers calls.
///
/// # Errors
/// Describes the failed call.
pub(crate) async fn check(source: &dyn FleetSource) -> Result<(), String> {
    match tokio::time::timeout(CHECK_TIMEOUT, source.check()).await {
        Ok(result) => result.map_err(|error| error.to_string()),
        Err(_elapsed) => Err("step=check fault=no-answer".to_owned()),
    }
}
