//! Which instances a look-up names.

use std::time::Duration;

use smallvec::SmallVec;

use super::directory::InstanceView;

/// Time to live of a look-up. It bounds how long callers use an instance that has left; every
/// look-up costs processor time on the instances.
pub const LOOKUP_TTL: Duration = Duration::from_secs(2);

/// Instances that one look-up names at most; callers read no more.
pub const MAX_LOOKUP_INSTANCES: usize = 64;

/// Chooses the instances that a look-up names: those of the caller's region, or all when none of
/// them lives. A strong instance is named alone in part of the answers, so that callers, who
/// choose among the named ones at random, load each by its capacity. `draw` is uniform in 0..1.
#[must_use]
pub fn select_instances<'view>(
    live: &[InstanceView<'view>],
    region: &str,
    draw: f64,
) -> SmallVec<[InstanceView<'view>; 8]> {
    let mut named: SmallVec<[InstanceView<'view>; 8]> =
        live.iter().filter(|instance| instance.region == region).copied().collect();
    if named.is_empty() {
        named = live.iter().copied().collect();
    }
    named.sort_by(|left, right| {
        let by_capacity = right.record.capacity_permille.cmp(&left.record.capacity_permille);
        by_capacity.then_with(|| left.record.name.cmp(&right.record.name))
    });
    named.truncate(MAX_LOOKUP_INSTANCES);
    let count = named_count(&named, draw);
    named.truncate(count);
    named
}

/// How many of the strongest to name. With capacities `c1 >= c2 >= … >= cn`, naming the first `k`
/// with probability `k (ck - ck+1) / sum` gives each its share.
fn named_count(named: &[InstanceView<'_>], draw: f64) -> usize {
    let capacity = |index: usize| {
        named.get(index).map_or(0.0, |instance| f64::from(instance.record.capacity_permille))
    };
    let sum: f64 = (0..named.len()).map(capacity).sum();
    let mut reached = 0.0;
    for count in 1..named.len() {
        let size = f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        reached += size * (capacity(count - 1) - capacity(count)) / sum.max(1.0);
        if draw < reached {
            return count;
        }
    }
    named.len()
}
