//! Clock that also counts while the machine is suspended.

use jackdawmux_policy::clock::PolicyTime;
use rustix::time::{ClockId, clock_gettime};

/// Time since the machine started (`CLOCK_BOOTTIME`).
///
/// [`ProcessClock`](crate::ProcessClock) stops while the machine is suspended, so a permission that
/// lapses by it would outlive a suspension. Times of the two clocks must not be compared.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the machine started.
    #[must_use]
    pub fn now(self) -> PolicyTime {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        PolicyTime(seconds.saturating_mul(1_000_000).saturating_add(nanos / 1_000))
    }
}
