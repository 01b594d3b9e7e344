//! Demand for a service by region, as the instances state it to each other in heartbeats.
//!
//! Each instance states its own demand and the sum of its region. The sum of the own region follows from
//! the members' own demands, those of other regions from the sums that their instances state. An
//! instance hears only a few instances of each region, so its cost does not grow with the fleet.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::region_share::RegionShares;
use crate::clock::PolicyTime;
use crate::identity::stable_hash;

/// Time constant with which the highest demand of a region is forgotten. Demand swings by 3.4 to 1 within
/// 36 s, and shares move too slowly to follow: shares that followed the trough let the utilisation of
/// a region reach 1.07 at the next peak, against 0.69 with shares that do not follow demand at all.
const PEAK_TIME: Duration = Duration::from_secs(60);
/// Maximum number of services in the statements of one heartbeat.
pub const MAX_STATEMENTS: usize = 6;
/// Time constant of the smoothed own demand. Demand swings within half a minute, single requests take
/// up to a few seconds.
const OWN_DEMAND_TIME: Duration = Duration::from_secs(2);
/// Age from which on a statement is not used: some heartbeats in succession were lost.
const MAX_STATEMENT_AGE: Duration = Duration::from_secs(3);
/// Time for which the last sum of a region is used after its instances are no longer heard.
const MAX_SUM_AGE: Duration = Duration::from_secs(10);

/// Demand for a service as one instance states it, in thousandths of a request in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u32, u32)", into = "(u32, u32, u32)")]
pub struct DemandStatement {
    /// Hash of the service.
    pub service: u32,
    /// Demand of the sender.
    pub own: u32,
    /// Demand of the sender's region.
    pub region: u32,
}

impl From<(u32, u32, u32)> for DemandStatement {
    fn from((service, own, region): (u32, u32, u32)) -> Self {
        Self { service, own, region }
    }
}

impl From<DemandStatement> for (u32, u32, u32) {
    fn from(statement: DemandStatement) -> Self {
        (statement.service, statement.own, statement.region)
    }
}

/// Statements of one heartbeat, those with the highest demand first.
pub type DemandStatements = SmallVec<[DemandStatement; MAX_STATEMENTS]>;

/// Returns the hash by which statements name a service.
#[must_use]
pub fn service_hash(service: &str) -> u32 {
    u32::try_from(stable_hash(service.as_bytes()) >> 32).unwrap_or_default()
}

#[derive(Clone, Copy, Debug)]
struct PeerDemand {
    region: usize,
    own: f64,
    sum: f64,
    stated_at: PolicyTime,
}

/// Demand for one service as one instance knows it. Regions are named by index.
#[derive(Clone, Debug, Default)]
pub struct ServiceDemand {
    own: f64,
    updated_at: Option<PolicyTime>,
    peers: HashMap<u64, PeerDemand>,
    /// Recent peak of each region's sum and when the sum was last known.
    peaks: SmallVec<[Option<(f64, PolicyTime)>; 4]>,
}

impl ServiceDemand {
    /// Updates the own demand from the number of requests in progress, and drops old statements.
    pub fn update_own(&mut self, now: PolicyTime, in_progress: f64) {
        let elapsed = self.updated_at.map(|at| now.since(at).as_secs_f64());
        let weight =
            elapsed.map_or(1.0, |span| 1.0 - (-span / OWN_DEMAND_TIME.as_secs_f64()).exp());
        self.own += weight * (in_progress - self.own);
        self.updated_at = Some(now);
        self.peers.retain(|_, peer| now.since(peer.stated_at) <= MAX_STATEMENT_AGE);
    }

    /// Records the statement of an instance in a region.
    pub fn record(
        &mut self,
        now: PolicyTime,
        instance: &str,
        region: usize,
        statement: DemandStatement,
    ) {
        let own = f64::from(statement.own) / 1e3;
        let sum = f64::from(statement.region) / 1e3;
        let peer = PeerDemand { region, own, sum, stated_at: now };
        self.peers.insert(stable_hash(instance.as_bytes()), peer);
    }

    /// Returns what this instance states. `members` is the number of instances in its region.
    #[must_use]
    pub fn statement(
        &self,
        now: PolicyTime,
        service: &str,
        own_region: usize,
        members: usize,
    ) -> DemandStatement {
        let region = as_thousandths(self.own_region_sum(now, own_region, members));
        DemandStatement { service: service_hash(service), own: as_thousandths(self.own), region }
    }

    /// Returns the recent peak demand of each region, given the number of instances in each; `None` if nothing is
    /// known of any other region. Regions that are not heard count with the mean of the others.
    pub fn by_region(
        &mut self,
        now: PolicyTime,
        own_region: usize,
        members: &[usize],
    ) -> Option<RegionShares> {
        self.peaks.resize(members.len(), None);
        for (region, count) in members.iter().enumerate() {
            let sum = if region == own_region {
                Some(self.own_region_sum(now, own_region, *count))
            } else {
                self.median_sum(now, region)
            };
            if let Some(sum) = sum {
                let held = self.peaks[region].map_or(0.0, |(peak, at)| {
                    peak * (-now.since(at).as_secs_f64() / PEAK_TIME.as_secs_f64()).exp()
                });
                self.peaks[region] = Some((sum.max(held), now));
            }
        }
        let known: SmallVec<[Option<f64>; 4]> = self
            .peaks
            .iter()
            .zip(members)
            .map(|(sum, count)| match sum {
                Some((sum, at)) if now.since(*at) <= MAX_SUM_AGE => Some(*sum),
                _ if *count == 0 => Some(0.0),
                _ => None,
            })
            .collect();
        let is_heard = |(region, sum): (usize, &Option<f64>)| {
            region != own_region && members[region] > 0 && sum.is_some()
        };
        if !known.iter().enumerate().any(is_heard) {
            return None;
        }
        let heard: SmallVec<[f64; 4]> = known.iter().copied().flatten().collect();
        let count = u32::try_from(heard.len()).unwrap_or(u32::MAX);
        let mean = heard.iter().sum::<f64>() / f64::from(count);
        Some(known.iter().map(|sum| sum.unwrap_or(mean)).collect())
    }

    fn fresh(&self, now: PolicyTime, region: usize) -> impl Iterator<Item = &PeerDemand> {
        let is_fresh = move |peer: &&PeerDemand| {
            peer.region == region && now.since(peer.stated_at) <= MAX_STATEMENT_AGE
        };
        self.peers.values().filter(is_fresh)
    }

    /// Returns the sum of the own region. Members that are not heard count with the mean of the others.
    fn own_region_sum(&self, now: PolicyTime, own_region: usize, members: usize) -> f64 {
        let (mut sum, mut heard) = (self.own, 1_u32);
        for peer in self.fresh(now, own_region) {
            sum += peer.own;
            heard += 1;
        }
        let members = u32::try_from(members).unwrap_or(u32::MAX).max(heard);
        sum * f64::from(members) / f64::from(heard)
    }

    fn median_sum(&self, now: PolicyTime, region: usize) -> Option<f64> {
        let mut sums: SmallVec<[f64; 16]> = self.fresh(now, region).map(|peer| peer.sum).collect();
        sums.sort_by(f64::total_cmp);
        sums.get(sums.len() / 2).copied()
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the cast saturates")]
fn as_thousandths(demand: f64) -> u32 {
    (demand * 1e3).round() as u32
}
