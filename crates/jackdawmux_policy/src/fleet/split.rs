//! Weighted selection among the target services of a route.

use std::collections::HashMap;

use super::record::RouteRecord;

/// Smooth weighted round robin: over any sequence of requests the count of each target stays within
/// one of its share, so that the weights also hold over short windows.
#[derive(Clone, Debug, Default)]
pub struct SplitTable {
    credits: HashMap<String, Vec<i64>>,
    version: u64,
}

impl SplitTable {
    /// Returns the index of the target for the next request of the route. A new configuration
    /// `version` resets the credits of all routes.
    pub fn next(&mut self, version: u64, route: &RouteRecord) -> usize {
        if route.targets.len() < 2 {
            return 0;
        }
        if self.version != version {
            self.version = version;
            self.credits.clear();
        }
        let credits = match self.credits.get_mut(&route.name) {
            Some(credits) => credits,
            None => self.credits.entry(route.name.clone()).or_default(),
        };
        credits.resize(route.targets.len(), 0);
        let total: i64 = route.targets.iter().map(|target| i64::from(target.weight)).sum();
        for (credit, target) in credits.iter_mut().zip(&route.targets) {
            *credit += i64::from(target.weight);
        }
        let best = (0..credits.len()).max_by_key(|index| (credits[*index], *index)).unwrap_or(0);
        credits[best] -= total;
        best
    }
}
