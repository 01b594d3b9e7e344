//! Selects the instances that a lookup returns.

use std::time::Duration;

use smallvec::SmallVec;

use super::directory::InstanceView;

/// Time to live of a lookup. It bounds how long callers use an instance that has left. A shorter
/// time would cost the instances more processor time for lookups.
pub const LOOKUP_TTL: Duration = Duration::from_secs(2);

/// Maximum number of instances that one lookup returns; callers read no more.
pub const MAX_LOOKUP_INSTANCES: usize = 64;

/// Processor time of a request in thousandths of a core-second, twice the time measured, so that the
/// instances that carry the demand are at most half busy.
const PERMILLE_PER_REQUEST: f64 = 1.0;

/// Minimum number of instances that carry the demand of a region. If one fails, three quarters of
/// the callers are unaffected.
const MIN_CARRIERS: usize = 4;

/// How the callers of a region are spread over its instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LookupSpread {
    /// Over all instances.
    Whole,
    /// Over as few instances of high capacity as carry this demand, in requests per second. Fewer
    /// instances reuse connections to endpoints more often, and each sees more of their load.
    Concentrated(f64),
}

/// Selects the instances that a lookup returns: those of the caller's region, or all instances if
/// none of that region is live. Instances that reach no endpoint are left out, unless that is so for
/// all: then the endpoints themselves are down, or no instance would serve better than another. Some
/// lookups return only the instances of highest capacity, so that callers, which choose at random
/// among the returned instances, load each in proportion to its capacity. `draw` is a random number
/// uniform in `0..1`.
#[must_use]
pub fn select_instances<'view>(
    live: &[InstanceView<'view>],
    region: &str,
    draw: f64,
    spread: LookupSpread,
) -> SmallVec<[InstanceView<'view>; 8]> {
    let is_local = |instance: &&InstanceView<'_>| instance.region == region;
    let is_reachable = |instance: &&InstanceView<'_>| !instance.is_isolated;
    let mut selected: SmallVec<[InstanceView<'view>; 8]> =
        live.iter().filter(is_local).filter(is_reachable).copied().collect();
    if selected.is_empty() {
        selected = live.iter().filter(is_reachable).copied().collect();
    }
    if selected.is_empty() {
        selected = live.iter().filter(is_local).copied().collect();
    }
    if selected.is_empty() {
        selected = live.iter().copied().collect();
    }
    selected.sort_by(|left, right| {
        let by_capacity = right.record.capacity_permille.cmp(&left.record.capacity_permille);
        by_capacity.then_with(|| left.record.name.cmp(&right.record.name))
    });
    selected.truncate(MAX_LOOKUP_INSTANCES);
    if let LookupSpread::Concentrated(demand) = spread {
        let count = carrier_count(&mut selected, demand);
        selected.truncate(count);
    }
    let count = selected_count(&selected, draw);
    selected.truncate(count);
    selected
}

/// Orders instances of equal capacity so that they alternate between failure domains, and returns how
/// many of the first ones carry a demand.
fn carrier_count(selected: &mut [InstanceView<'_>], demand: f64) -> usize {
    let mut seen: SmallVec<[(&str, usize); 8]> = SmallVec::new();
    let ranks: SmallVec<[usize; 64]> = selected
        .iter()
        .map(|instance| {
            let domain = instance.record.domain.as_str();
            match seen.iter_mut().find(|(name, _)| *name == domain) {
                Some((_, count)) => {
                    *count += 1;
                    *count
                }
                None => {
                    seen.push((domain, 0));
                    0
                }
            }
        })
        .collect();
    let mut ranked: SmallVec<[(usize, InstanceView<'_>); 64]> =
        ranks.into_iter().zip(selected.iter().copied()).collect();
    ranked.sort_by_key(|(rank, instance)| {
        (std::cmp::Reverse(instance.record.capacity_permille), *rank)
    });
    for (place, (_, instance)) in selected.iter_mut().zip(ranked) {
        *place = instance;
    }
    let needed = demand * PERMILLE_PER_REQUEST;
    let mut capacity = 0.0;
    let position = selected.iter().position(|instance| {
        capacity += f64::from(instance.record.capacity_permille);
        capacity >= needed
    });
    position.map_or(selected.len(), |index| (index + 1).max(MIN_CARRIERS))
}

/// Returns how many of the instances of highest capacity to select. With capacities
/// `c1 >= c2 >= … >= cn`, selecting the first `k` with probability `k (ck - ck+1) / sum` gives each
/// instance its share.
fn selected_count(selected: &[InstanceView<'_>], draw: f64) -> usize {
    let capacity = |index: usize| {
        selected.get(index).map_or(0.0, |instance| f64::from(instance.record.capacity_permille))
    };
    let sum: f64 = (0..selected.len()).map(capacity).sum();
    let mut reached = 0.0;
    for count in 1..selected.len() {
        let size = f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        reached += size * (capacity(count - 1) - capacity(count)) / sum.max(1.0);
        if draw < reached {
            return count;
        }
    }
    selected.len()
}
