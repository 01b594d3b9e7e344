//! The instances that may hold caps, and which of them hold the cap of a team.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use smallvec::SmallVec;
use strum::Display;

use super::message::{HolderId, TeamId};
use crate::fleet::affinity::rendezvous_score;

/// An instance that states a cap address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CapMember {
    pub(super) id: HolderId,
    pub(super) address: SocketAddr,
}

impl CapMember {
    /// Score by which the holder of a team is selected in a region.
    pub(super) fn score(id: HolderId, team: TeamId) -> f64 {
        rendezvous_score(team.0, id.0, 1.0)
    }
}

/// Change of the set of instances that may hold caps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberChange {
    /// Nothing that matters to caps.
    Same,
    /// The instance may hold caps from now on.
    Joined,
    /// The address of the instance changed.
    Moved,
    /// The instance no longer holds caps.
    Left,
}

/// The instances that may hold caps, by region.
#[derive(Clone, Debug)]
pub(super) struct CapMembers {
    pub(super) own: HolderId,
    own_region: String,
    regions: BTreeMap<String, BTreeMap<HolderId, SocketAddr>>,
    /// Increased by each change.
    pub(super) generation: u64,
}

/// Holders of a team; few deployments have more than four regions.
pub(super) type TeamHolders = SmallVec<[CapMember; 4]>;

impl CapMembers {
    pub(super) fn new(own: HolderId, own_region: &str) -> Self {
        let own_region = own_region.to_owned();
        Self { own, own_region, regions: BTreeMap::new(), generation: 1 }
    }

    /// Adds an instance or changes its address. The caller removes it from another region first.
    pub(super) fn insert(
        &mut self,
        id: HolderId,
        region: &str,
        address: SocketAddr,
    ) -> MemberChange {
        let members = self.regions.entry(region.to_owned()).or_default();
        let change = match members.insert(id, address) {
            Some(before) if before == address => return MemberChange::Same,
            Some(_) => MemberChange::Moved,
            None => MemberChange::Joined,
        };
        self.generation += 1;
        change
    }

    /// Removes an instance; returns whether it was a member.
    pub(super) fn remove(&mut self, id: HolderId) -> bool {
        let is_known = self.regions.values_mut().any(|members| members.remove(&id).is_some());
        self.regions.retain(|_, members| !members.is_empty());
        if is_known {
            self.generation += 1;
        }
        is_known
    }

    pub(super) fn region_of(&self, id: HolderId) -> Option<&str> {
        let mut regions = self.regions.iter();
        regions.find(|(_, members)| members.contains_key(&id)).map(|(region, _)| region.as_str())
    }

    pub(super) fn ids(&self) -> Vec<HolderId> {
        self.regions.values().flat_map(BTreeMap::keys).copied().collect()
    }

    pub(super) fn region_count(&self) -> u32 {
        u32::try_from(self.regions.len()).unwrap_or(u32::MAX)
    }

    /// Whether this instance holds the cap of a team, as far as it knows.
    pub(super) fn is_own(&self, team: TeamId) -> bool {
        self.regions
            .get(&self.own_region)
            .and_then(|members| region_holder(members, team))
            .is_some_and(|holder| holder.id == self.own)
    }

    /// Returns the holders of a team: that of the own region first, then the others in the order in
    /// which the regions follow it.
    pub(super) fn holders(&self, team: TeamId) -> TeamHolders {
        let is_before = |region: &&String| region.as_str() < self.own_region.as_str();
        let skipped = self.regions.keys().take_while(is_before).count();
        let ordered = self.regions.values().cycle().skip(skipped).take(self.regions.len());
        ordered.filter_map(|members| region_holder(members, team)).collect()
    }
}

fn region_holder(members: &BTreeMap<HolderId, SocketAddr>, team: TeamId) -> Option<CapMember> {
    let scored = members.iter().map(|(id, address)| (CapMember::score(*id, team), id, address));
    let best = scored.max_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(right.1)));
    best.map(|(_, id, address)| CapMember { id: *id, address: *address })
}
