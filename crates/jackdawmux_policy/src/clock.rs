//! Monotonic time, passed into the state machines by their caller.

use std::ops::Add;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Microseconds on the monotonic clock of one process, counted from an arbitrary start.
///
/// Times of different processes must never be compared with each other.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PolicyTime(pub u64);

impl PolicyTime {
    /// Returns the time `millis` milliseconds after the clock's start.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the time elapsed since `earlier`, or zero when `earlier` is in the future.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `span` before this one, but no earlier than the clock's start.
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
