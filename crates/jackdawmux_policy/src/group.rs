//! The stored view of a group of instances: members, committees and owners of endpoints.
//!
//! The view is one object of the platform's store. Every change is a conditional update, so all
//! changes have one order. The functions here edit a copy; the caller writes it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::assignment::{MemberLocation, target_owners};
use crate::identity::{IncarnationId, mix64};
use crate::lease::{COMMITTEE_SIZE, LeaseCommittee};
use crate::table::RouteTable;

/// One instance in the view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMember {
    /// Name from the instance's settings.
    pub instance: String,
    /// The running process.
    pub incarnation: IncarnationId,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Failure domain of the instance.
    pub domain: String,
    /// Members whose promises keep this one's lease.
    pub committee: LeaseCommittee,
    /// Set once a planned stop has begun.
    pub is_leaving: bool,
}

/// Who owns an endpoint's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The owner; none after a member left or was removed.
    pub owner: Option<IncarnationId>,
    /// Whether the last owner gave it up with nothing of it in use. Otherwise work of the last
    /// owner may still run, and a new owner waits it out before using the slots.
    pub is_clean: bool,
}

/// One endpoint's move from one owner to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerMove {
    /// Name of the service.
    pub service: String,
    /// The endpoint.
    pub address: SocketAddr,
    /// The next owner; none when the rules no longer name the endpoint.
    pub next: Option<IncarnationId>,
}

/// The stored view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupView {
    /// Members in the order of joining.
    pub members: Vec<GroupMember>,
    /// Owner of each service's endpoints.
    pub owners: BTreeMap<String, BTreeMap<SocketAddr, OwnerRecord>>,
    /// Updates made only to raise the version.
    #[serde(default)]
    pub touches: u64,
}

impl GroupView {
    /// Finds a member by its process.
    #[must_use]
    pub fn member(&self, incarnation: IncarnationId) -> Option<&GroupMember> {
        self.members.iter().find(|member| member.incarnation == incarnation)
    }

    /// Endpoints of `service` that `incarnation` owns, with their records.
    pub fn owned_by<'view>(
        &'view self,
        service: &str,
        incarnation: IncarnationId,
    ) -> impl Iterator<Item = (SocketAddr, OwnerRecord)> + 'view {
        self.owners
            .get(service)
            .into_iter()
            .flatten()
            .filter(move |(_, record)| record.owner == Some(incarnation))
            .map(|(address, record)| (*address, *record))
    }

    /// Adds a member. An earlier process of the same instance name at the same addresses is
    /// replaced and its endpoints pass to the new one: binding the addresses shows it is gone.
    pub fn join(&mut self, mut member: GroupMember) {
        let replaced = self.members.iter().find(|known| {
            known.instance == member.instance && known.peer_address == member.peer_address
        });
        let old = replaced.map(|known| known.incarnation);
        if let Some(old) = old.filter(|old| *old != member.incarnation) {
            self.members.retain(|known| known.incarnation != old);
            self.release_all(old, Some(member.incarnation), false);
        }
        if self.member(member.incarnation).is_none() {
            member.committee = LeaseCommittee::new();
            self.members.push(member);
        }
    }

    /// Removes a member that was taken over; work under its slots may still run.
    pub fn remove(&mut self, incarnation: IncarnationId) {
        self.members.retain(|member| member.incarnation != incarnation);
        self.release_all(incarnation, None, false);
    }

    /// Removes a member that has stopped and has no work left.
    pub fn leave(&mut self, incarnation: IncarnationId) {
        self.members.retain(|member| member.incarnation != incarnation);
        self.release_all(incarnation, None, true);
    }

    /// Marks a member as leaving.
    pub fn mark_leaving(&mut self, incarnation: IncarnationId) {
        for member in &mut self.members {
            member.is_leaving |= member.incarnation == incarnation;
        }
    }

    /// Members that should own endpoints.
    #[must_use]
    pub fn member_locations(&self, table: &RouteTable) -> Vec<MemberLocation> {
        self.members
            .iter()
            .filter(|member| !member.is_leaving)
            .map(|member| MemberLocation {
                incarnation: member.incarnation,
                region: table.region_of(&member.domain).unwrap_or_default().to_owned(),
                domain: member.domain.clone(),
            })
            .collect()
    }

    /// Gives every endpoint without an owner to `own` when that is its target.
    pub fn claim_unowned(&mut self, own: IncarnationId, table: &RouteTable) {
        let places = self.member_locations(table);
        for service in &table.services {
            let targets = target_owners(service, table, &places);
            let owners = self.owners.entry(service.name.clone()).or_default();
            for (address, target) in targets {
                let fresh = OwnerRecord { owner: None, is_clean: true };
                let record = owners.entry(address).or_insert(fresh);
                if record.owner.is_none() && target == own {
                    record.owner = Some(own);
                }
            }
        }
    }

    /// Endpoints that `own` holds though another member, or nobody, should.
    #[must_use]
    pub fn misplaced(&self, own: IncarnationId, table: &RouteTable) -> Vec<OwnerMove> {
        let places = self.member_locations(table);
        let mut moves = Vec::new();
        for (name, owners) in &self.owners {
            let targets = table
                .service(name)
                .map(|service| target_owners(service, table, &places))
                .unwrap_or_default();
            let held = owners.iter().filter(|(_, record)| record.owner == Some(own));
            for (address, _) in held {
                let next = targets.get(address).copied();
                if next != Some(own) {
                    moves.push(OwnerMove { service: name.clone(), address: *address, next });
                }
            }
        }
        moves
    }

    /// Passes endpoints that `own` has stopped using to their next owners.
    pub fn hand_over(&mut self, own: IncarnationId, moves: &[OwnerMove]) {
        for item in moves {
            let Some(owners) = self.owners.get_mut(&item.service) else {
                continue;
            };
            let is_held = owners.get(&item.address).is_some_and(|record| record.owner == Some(own));
            if !is_held {
                continue;
            }
            match item.next {
                Some(next) => {
                    let record = OwnerRecord { owner: Some(next), is_clean: true };
                    owners.insert(item.address, record);
                }
                None => {
                    owners.remove(&item.address);
                }
            }
        }
    }

    /// The committee that `own` should have: living members first, then by rank for it.
    #[must_use]
    pub fn wanted_committee(
        &self,
        own: IncarnationId,
        is_alive: impl Fn(IncarnationId) -> bool,
    ) -> LeaseCommittee {
        let mut ranked: Vec<(bool, u64, IncarnationId)> = self
            .members
            .iter()
            .filter(|member| member.incarnation != own && !member.is_leaving)
            .map(|member| {
                let peer = member.incarnation;
                (!is_alive(peer), mix64(own.0 ^ mix64(peer.0)), peer)
            })
            .collect();
        ranked.sort_unstable();
        let mut committee: LeaseCommittee =
            ranked.into_iter().take(COMMITTEE_SIZE).map(|(_, _, peer)| peer).collect();
        committee.sort_unstable();
        committee
    }

    /// Stores a member's committee.
    pub fn set_committee(&mut self, own: IncarnationId, committee: &LeaseCommittee) {
        for member in &mut self.members {
            if member.incarnation == own {
                member.committee.clone_from(committee);
            }
        }
    }

    fn release_all(&mut self, old: IncarnationId, next: Option<IncarnationId>, is_clean: bool) {
        let records = self.owners.values_mut().flat_map(BTreeMap::values_mut);
        for record in records.filter(|record| record.owner == Some(old)) {
            // What was not clean at its last owner does not become so by that owner's leaving.
            *record = OwnerRecord { owner: next, is_clean: is_clean && record.is_clean };
        }
    }
}
