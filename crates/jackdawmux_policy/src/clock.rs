//! Monotonic time as seen by the policy.

use std::ops::Add;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Microseconds on one process's monotonic clock, counted from an arbitrary start.
///
/// Values of two processes must never be compared with each other.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PolicyTime(pub u64);

impl PolicyTime {
    /// The time at `millis` milliseconds after the start.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Time elapsed since `earlier`; zero when `earlier` lies in the future.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The instant `span` before this one; the clock's start when that would be earlier.
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(as_micros(span)))
    }
}

impl Add<Duration> for PolicyTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(as_micros(span)))
    }
}

fn as_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
