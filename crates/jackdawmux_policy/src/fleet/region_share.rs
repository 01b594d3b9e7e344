//! Computes how much of a region's demand is served in each region.
//!
//! Objects belong to the region in which they are requested, so serving them there uses no links
//! between regions and adds no network latency. A region with less than an even part of the
//! capacity keeps the demand that it can carry; the rest goes to regions with more than an even
//! part. These shares depend only on the endpoints, so all instances of a region agree on them, and
//! shifts in demand do not change them.
//!
//! Services that are steered under load add a [`ShareShift`], which follows the demand of each region.

use std::time::Duration;

use smallvec::SmallVec;

use crate::clock::PolicyTime;

/// Utilisation of its slots up to which a region keeps its own demand. Above it, waits behind long
/// requests cost more than a round trip to another region.
const KEPT_UTILISATION: f64 = 0.6;
/// Change of a share per second; 0.04 within two seconds is well below the permitted shift of 0.15.
const MAX_SHARE_SPEED: f64 = 0.02;
/// Difference from the target within which shares do not move.
const DEAD_BAND: f64 = 0.03;
/// Longest time that one step makes up for, so that a process that was suspended does not jump.
const MAX_STEP_TIME: Duration = Duration::from_secs(1);

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

/// Returns the share of the demand of region `origin` that each region serves, given the demand and the
/// number of slots of each region.
///
/// A region keeps its demand up to a moderate utilisation. Demand beyond that goes to regions below it,
/// in proportion to what they have left. If there is more demand than that in all regions together,
/// utilisation is the same everywhere.
#[must_use]
pub fn demand_shares(origin: usize, capacity: &[f64], demand: &[f64]) -> RegionShares {
    let total: f64 = capacity.iter().sum();
    if total <= 0.0 {
        return capacity.iter().map(|_| 0.0).collect();
    }
    let utilisation = (demand.iter().sum::<f64>() / total).max(KEPT_UTILISATION);
    let spare: RegionShares = capacity
        .iter()
        .zip(demand)
        .map(|(slots, demand)| (utilisation * slots - demand).max(0.0))
        .collect();
    let spare_total: f64 = spare.iter().sum();
    let own_slots = capacity.get(origin).copied().unwrap_or_default();
    let own_demand = demand.get(origin).copied().unwrap_or_default();
    let kept = if own_slots <= 0.0 {
        0.0
    } else if spare_total <= 0.0 || own_demand <= 0.0 {
        1.0
    } else {
        (utilisation * own_slots / own_demand).min(1.0)
    };
    let moved = |region: usize| match spare_total {
        total if total > 0.0 => spare[region] / total,
        _ => capacity[region] / total,
    };
    let kept_at = |region: usize| if region == origin { kept } else { 0.0 };
    (0..capacity.len()).map(|region| kept_at(region) + (1.0 - kept) * moved(region)).collect()
}

/// Slowly changing difference between the shares by demand and the shares for even demand, which follow
/// the endpoints at once. It is zero at the start of the process.
#[derive(Clone, Debug, Default)]
pub struct ShareShift {
    shift: RegionShares,
    moved_at: Option<PolicyTime>,
}

impl ShareShift {
    /// Moves the shares towards a target. A share moves at most [`MAX_SHARE_SPEED`] and not within
    /// [`DEAD_BAND`] of the target, because each object that moves is cold in its new region.
    pub fn move_towards(
        &mut self,
        now: PolicyTime,
        even: &[f64],
        target: &[f64],
        capacity: &[f64],
    ) {
        let elapsed = self.moved_at.map_or(Duration::ZERO, |at| now.since(at)).min(MAX_STEP_TIME);
        self.moved_at = Some(now);
        self.shift.resize(even.len(), 0.0);
        let shares = self.apply(even, capacity);
        let far = shares.iter().zip(target).map(|(share, target)| (target - share).abs());
        let farthest = far.fold(0.0, f64::max);
        if farthest <= DEAD_BAND {
            return;
        }
        let step = (MAX_SHARE_SPEED * elapsed.as_secs_f64()).min(farthest - DEAD_BAND) / farthest;
        for (region, share) in shares.iter().enumerate() {
            self.shift[region] = share + step * (target[region] - share) - even[region];
        }
    }

    /// Returns the shares by demand from the shares for even demand. A region without usable endpoints
    /// has no share.
    #[must_use]
    pub fn apply(&self, even: &[f64], capacity: &[f64]) -> RegionShares {
        let shift = self.shift.iter().copied().chain(std::iter::repeat(0.0));
        let shifted: RegionShares = even
            .iter()
            .zip(shift)
            .zip(capacity)
            .map(
                |((share, shift), slots)| if *slots > 0.0 { (share + shift).max(0.0) } else { 0.0 },
            )
            .collect();
        let total: f64 = shifted.iter().sum();
        if total <= 0.0 {
            return even.iter().copied().collect();
        }
        shifted.iter().map(|share| share / total).collect()
    }
}
