//! Planned shifts of traffic between regions.
//!
//! How much may move is a pure function of the accepted plan and wall-clock time, and which
//! callers move is a hash of their address block. Entries therefore agree without talking, and
//! an entry whose clock or configuration lags only moves less.

use crate::identity::stable_hash;

/// Parts of the whole in which fractions are expressed.
pub const FRACTION_WHOLE: u64 = 1_000_000;

/// One accepted shift.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShiftPlan {
    /// Service whose traffic moves.
    pub service: String,
    /// Region that traffic leaves.
    pub from: String,
    /// Region that traffic enters.
    pub to: String,
    /// Largest share that may ever move, in percent.
    pub cap_percent: u32,
    /// Start of the ramp, Unix milliseconds.
    pub start_ms: u64,
    /// End of the ramp, Unix milliseconds.
    pub end_ms: u64,
}

impl ShiftPlan {
    /// Share that may move at `unix_ms`, in parts of [`FRACTION_WHOLE`]; never above the cap.
    #[must_use]
    pub fn fraction_at(&self, unix_ms: u64) -> u64 {
        let cap = u64::from(self.cap_percent.min(100)) * (FRACTION_WHOLE / 100);
        if unix_ms <= self.start_ms {
            return 0;
        }
        if unix_ms >= self.end_ms {
            return cap;
        }
        let elapsed = u128::from(unix_ms - self.start_ms);
        let length = u128::from(self.end_ms - self.start_ms);
        u64::try_from(u128::from(cap) * elapsed / length).unwrap_or(cap)
    }

    /// Whether the callers of `block` are served by the target region at `unix_ms`.
    #[must_use]
    pub fn moves_block(&self, block: &[u8], unix_ms: u64) -> bool {
        let mut keyed = Vec::with_capacity(block.len() + self.service.len());
        keyed.extend_from_slice(self.service.as_bytes());
        keyed.extend_from_slice(block);
        stable_hash(&keyed) % FRACTION_WHOLE < self.fraction_at(unix_ms)
    }
}

/// Keeps the moved share of requests under the cap by exact count.
///
/// Hashing blocks bounds the moved share of *blocks*; one busy block could still carry more than
/// its share of requests. The counter refuses a move that would pass the cap in requests. Both
/// counts halve together once the window is full, so the bound holds over recent traffic.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShiftCounter {
    seen: u64,
    moved: u64,
}

/// Requests after which both counts are halved.
const COUNT_WINDOW: u64 = 65_536;

impl ShiftCounter {
    /// Counts one request and says whether it may move under `fraction`.
    pub fn admit(&mut self, wants_move: bool, fraction: u64) -> bool {
        self.seen += 1;
        let is_allowed = wants_move && (self.moved + 1) * FRACTION_WHOLE <= self.seen * fraction;
        if is_allowed {
            self.moved += 1;
        }
        if self.seen >= COUNT_WINDOW {
            self.seen /= 2;
            self.moved /= 2;
        }
        is_allowed
    }
}
