//! Limits the rate of requests to a cold endpoint over all instances.

use std::time::Duration;

use smallvec::SmallVec;

use super::affinity::sender_rank;
use super::record::{FleetBounds, ServiceRecord};
use crate::clock::PolicyTime;

/// Maximum number of instances that send to one cold endpoint. Each may exceed its rate by one
/// request in a second, which the slack of the limit must cover.
const MAX_SENDERS: usize = 4;
/// Fraction of the tolerated rate that is used.
const RATE_MARGIN: f64 = 0.75;
/// Window over which the rate applies.
pub const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Returns this instance's share of the requests per second to one cold endpoint; zero if it is not
/// a sender.
///
/// Senders are selected by rendezvous hashing over the registered instances, so that the sum does
/// not grow with the number of instances and no coordination between them is needed. While no list of
/// instances has been read, this one is no sender.
#[must_use]
pub fn cold_share(
    endpoint: &str,
    own: &str,
    instances: &[String],
    service: &ServiceRecord,
    bounds: &FleetBounds,
) -> f64 {
    if instances.is_empty() || sender_rank(endpoint, own, instances) >= MAX_SENDERS {
        return 0.0;
    }
    let senders = u32::try_from(instances.len().clamp(1, MAX_SENDERS)).unwrap_or(1);
    let total = service.cold_rate * bounds.cold_multiplier * RATE_MARGIN;
    total / f64::from(senders)
}

/// Rate limiter for requests to a cold endpoint: allows at most the share in any [`COLD_WINDOW`].
#[derive(Clone, Debug, Default)]
pub struct ColdRateLimiter {
    recent: SmallVec<[PolicyTime; 8]>,
}

impl ColdRateLimiter {
    /// Takes one request from the share. Returns `false` if the share of the current window is used
    /// up.
    pub fn take(&mut self, now: PolicyTime, share: f64) -> bool {
        self.recent.retain(|sent| now.since(*sent) <= COLD_WINDOW);
        let used = f64::from(u32::try_from(self.recent.len()).unwrap_or(u32::MAX));
        if used + 1.0 > share {
            return false;
        }
        self.recent.push(now);
        true
    }
}
