//! Hybrid logical clock that orders the events of all processes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Timestamp of a hybrid logical clock: wall-clock milliseconds and a counter within them.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTimestamp {
    /// Unix milliseconds; never less than in any earlier local or observed timestamp.
    pub wall_ms: u64,
    /// Order among timestamps of the same millisecond.
    pub logical: u32,
}

impl fmt::Display for HybridTimestamp {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.wall_ms, self.logical)
    }
}

/// Clock whose timestamps order events across processes that exchange them.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    last: HybridTimestamp,
}

impl HybridClock {
    /// Returns the timestamp of a local event at wall-clock time `wall_ms`.
    pub fn tick(&mut self, wall_ms: u64) -> HybridTimestamp {
        self.last = if wall_ms > self.last.wall_ms {
            HybridTimestamp { wall_ms, logical: 0 }
        } else {
            HybridTimestamp { wall_ms: self.last.wall_ms, logical: self.last.logical + 1 }
        };
        self.last
    }

    /// Merges a peer's timestamp, so that later local events are ordered after it.
    pub fn observe(&mut self, remote: HybridTimestamp) {
        self.last = self.last.max(remote);
    }
}
