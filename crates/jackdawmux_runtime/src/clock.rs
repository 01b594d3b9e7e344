//! Monotonic and wall clocks of a process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jackdawmux_policy::clock::PolicyTime;
use tokio::time::Instant;

/// Monotonic clock that starts with the process, and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Instant,
}

impl Default for ProcessClock {
    fn default() -> Self {
        Self { start: Instant::now() }
    }
}

impl ProcessClock {
    /// Returns the time since the process started plus 1 µs: it is never zero, because zero stands
    /// for "never".
    #[must_use]
    pub fn now(&self) -> PolicyTime {
        PolicyTime(1) + self.start.elapsed()
    }

    /// Converts a time of this clock to a Tokio [`Instant`].
    #[must_use]
    pub fn instant(&self, time: PolicyTime) -> Instant {
        self.start + Duration::from_micros(time.0)
    }

    /// Returns the wall-clock time in Unix milliseconds.
    #[must_use]
    pub fn wall_ms(&self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }
}
