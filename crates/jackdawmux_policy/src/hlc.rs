//! Hybrid logical clock for the time line of events.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A reading: wall-clock milliseconds, then a counter that orders readings within one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTimestamp {
    /// Unix milliseconds, never below any reading seen before.
    pub wall_ms: u64,
    /// Order among readings of the same millisecond.
    pub logical: u32,
}

impl fmt::Display for HybridTimestamp {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.wall_ms, self.logical)
    }
}

/// Clock whose readings order events over processes that exchange them.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    last: HybridTimestamp,
}

impl HybridClock {
    /// Reading for a local event at wall-clock time `wall_ms`.
    pub fn tick(&mut self, wall_ms: u64) -> HybridTimestamp {
        self.last = if wall_ms > self.last.wall_ms {
            HybridTimestamp { wall_ms, logical: 0 }
        } else {
            HybridTimestamp { wall_ms: self.last.wall_ms, logical: self.last.logical + 1 }
        };
        self.last
    }

    /// Takes in a peer's reading, so that later local events order after it.
    pub fn observe(&mut self, remote: HybridTimestamp) {
        self.last = self.last.max(remote);
    }
}
