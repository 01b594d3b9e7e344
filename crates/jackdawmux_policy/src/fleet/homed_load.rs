//! The part of a service's requests that is bound to certain regions by the homes of their teams.
//!
//! A large team may fill the region that it is bound to. All other requests then belong into the
//! regions that have room. Each instance takes its own requests as a sample of those of all
//! instances, because the callers of a team are spread over the instances.

use std::time::Duration;

use smallvec::SmallVec;

use super::region_share::RegionShares;
use crate::clock::PolicyTime;

/// Time constant with which requests are forgotten. It is longer than the swings of a burst, so that
/// few objects change their endpoint.
const SAMPLE_TIME: Duration = Duration::from_secs(15);
/// Number of requests that count as not bound before any is known.
const PRIOR_REQUESTS: f64 = 20.0;
/// Part of a region's capacity that is left to other requests however much of it is bound, so that
/// the region is used if no other can be.
const MIN_FREE_SHARE: f64 = 0.02;

/// Recent requests for one service, by the region that they are bound to.
#[derive(Clone, Debug, Default)]
pub struct HomedLoad {
    total: f64,
    bound: SmallVec<[f64; 4]>,
    updated_at: PolicyTime,
}

impl HomedLoad {
    /// Records a request that runs in a region, and whether it is bound to it.
    pub fn record(&mut self, now: PolicyTime, region: usize, is_bound: bool) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let decay = (-elapsed / SAMPLE_TIME.as_secs_f64()).exp();
        self.updated_at = now;
        self.total = self.total * decay + 1.0;
        self.bound.iter_mut().for_each(|count| *count *= decay);
        if !is_bound {
            return;
        }
        if self.bound.len() <= region {
            self.bound.resize(region + 1, 0.0);
        }
        self.bound[region] += 1.0;
    }

    /// Returns the share of all requests that is bound to a region.
    #[must_use]
    pub fn share(&self, region: usize) -> f64 {
        let bound = self.bound.get(region).copied().unwrap_or_default();
        bound / (self.total + PRIOR_REQUESTS)
    }

    /// Returns the share of all requests that is bound to any region.
    #[must_use]
    pub fn total_share(&self) -> f64 {
        (0..self.bound.len()).map(|region| self.share(region)).sum()
    }

    /// Returns what is left of each region's capacity for requests that are not bound, if the bound
    /// ones need this much capacity in all regions together.
    #[must_use]
    pub fn free_capacity(&self, capacity: &[f64], needed: f64) -> RegionShares {
        let free = |(region, slots): (usize, &f64)| {
            (slots - self.share(region) * needed).max(slots * MIN_FREE_SHARE)
        };
        capacity.iter().enumerate().map(free).collect()
    }
}
