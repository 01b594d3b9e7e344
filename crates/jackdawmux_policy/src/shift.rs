//! Planned shifts of traffic between regions.
//!
//! The share of traffic that may move is a pure function of the accepted plan and wall-clock time;
//! which callers move is decided by a hash of their address block. Entries therefore agree without
//! communication, and an entry whose clock or configuration lags only moves less traffic.

use crate::identity::stable_hash;

/// Denominator of the fractions in this module.
pub const FRACTION_SCALE: u64 = 1_000_000;

/// One accepted traffic shift.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShiftPlan {
    /// Service whose traffic is moved.
    pub service: String,
    /// Region from which traffic is moved.
    pub from: String,
    /// Region to which traffic is moved.
    pub to: String,
    /// Maximum share of traffic that may move, in percent.
    pub cap_percent: u32,
    /// Start of the ramp, Unix milliseconds.
    pub start_ms: u64,
    /// End of the ramp, Unix milliseconds.
    pub end_ms: u64,
}

impl ShiftPlan {
    /// Share of traffic that may move at `wall_ms`, in parts of [`FRACTION_SCALE`]; never above
    /// the cap.
    #[must_use]
    pub fn fraction_at(&self, wall_ms: u64) -> u64 {
        let cap = u64::from(self.cap_percent.min(100)) * (FRACTION_SCALE / 100);
        if wall_ms <= self.start_ms {
            return 0;
        }
        if wall_ms >= self.end_ms {
            return cap;
        }
        let elapsed = u128::from(wall_ms - self.start_ms);
        let length = u128::from(self.end_ms - self.start_ms);
        u64::try_from(u128::from(cap) * elapsed / length).unwrap_or(cap)
    }

    /// Whether the callers of `block` are served by the target region at `wall_ms`.
    #[must_use]
    pub fn moves_block(&self, block: &[u8], wall_ms: u64) -> bool {
        let mut keyed = Vec::with_capacity(block.len() + self.service.len());
        keyed.extend_from_slice(self.service.as_bytes());
        keyed.extend_from_slice(block);
        stable_hash(&keyed) % FRACTION_SCALE < self.fraction_at(wall_ms)
    }
}

/// Limits the moved share of requests by an exact count.
///
/// The hash limits the moved share of *blocks*, but one block with heavy traffic may carry more
/// than its share of requests. The counter refuses a move that would exceed the cap in requests.
/// Both counts are halved together once the window is full, so that the limit holds over recent
/// traffic.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShiftCounter {
    total: u64,
    moved: u64,
}

/// Requests after which both counts are halved.
const COUNT_WINDOW: u64 = 65_536;

impl ShiftCounter {
    /// Counts one request and returns whether it may move under the limit `fraction`, in parts of
    /// [`FRACTION_SCALE`].
    pub fn admit(&mut self, wants_move: bool, fraction: u64) -> bool {
        self.total += 1;
        let is_allowed = wants_move && (self.moved + 1) * FRACTION_SCALE <= self.total * fraction;
        if is_allowed {
            self.moved += 1;
        }
        if self.total >= COUNT_WINDOW {
            self.total /= 2;
            self.moved /= 2;
        }
        is_allowed
    }
}
