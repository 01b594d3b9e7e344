//! Measures the rate of requests from callers.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;

/// Minimum time over which the rate is measured.
const MEASURE_TIME: Duration = Duration::from_secs(1);

/// Counts requests and returns their rate.
#[derive(Debug, Default)]
pub(crate) struct RequestMeter {
    count: AtomicU32,
    measured: Mutex<(PolicyTime, u32)>,
}

impl RequestMeter {
    pub(crate) fn count(&self) {
        self.count.fetch_add(1, Ordering::Relaxed);
    }

    /// Requests per second over the latest complete measuring time.
    pub(crate) fn measure(&self, now: PolicyTime) -> u32 {
        let mut measured = self.measured.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed = now.since(measured.0);
        if elapsed >= MEASURE_TIME {
            let count = self.count.swap(0, Ordering::Relaxed);
            let millis = u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX);
            *measured = (now, count.saturating_mul(1_000) / millis.max(1));
        }
        measured.1
    }
}
