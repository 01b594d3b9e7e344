//! Computes how much of a region's demand is served in each region.
//!
//! Objects belong to the region in which they are requested, so serving them there uses no links
//! between regions and adds no network latency. A region with less than an even part of the
//! capacity keeps the demand that it can carry; the rest goes to regions with more than an even
//! part. The shares depend only on the endpoints, so all instances of a region agree on them, and
//! shifts in demand do not change them.

use smallvec::SmallVec;

/// Shares by region index; few deployments have more than four regions.
pub type RegionShares = SmallVec<[f64; 4]>;

/// Returns the share of the demand of region `origin` that each region serves. `capacity` is the
/// number of slots per region. The shares sum to one unless there is no capacity at all.
#[must_use]
pub fn region_shares(origin: usize, capacity: &[f64]) -> RegionShares {
    let total: f64 = capacity.iter().sum();
    if total <= 0.0 {
        return capacity.iter().map(|_| 0.0).collect();
    }
    let parts: RegionShares = capacity.iter().map(|slots| slots / total).collect();
    let regions = u32::try_from(capacity.len()).unwrap_or(u32::MAX);
    let even = 1.0 / f64::from(regions);
    let own = parts.get(origin).copied().unwrap_or_default();
    let kept = (own / even).min(1.0);
    let spare = |part: f64| (part - even).max(0.0);
    let spare_total: f64 = parts.iter().map(|part| spare(*part)).sum();
    parts
        .iter()
        .enumerate()
        .map(|(region, part)| {
            let moved = if spare_total > 0.0 { spare(*part) / spare_total } else { 0.0 };
            let kept_here = if region == origin { kept } else { 0.0 };
            kept_here + (1.0 - kept) * moved
        })
        .collect()
}
