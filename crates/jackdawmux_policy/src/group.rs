//! The stored view of a group of instances: members, committees and owners of endpoints.
//!
//! The view is one object in the platform's store. Every change is a conditional update, so
//! changes are totally ordered. The functions here edit a copy, which the caller writes.

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
    /// Instance name from the settings.
    pub instance: String,
    /// Process of the instance.
    pub incarnation: IncarnationId,
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// Address that other instances connect to.
    pub peer_address: SocketAddr,
    /// Failure domain of the instance.
    pub domain: String,
    /// Members whose promises renew this member's lease.
    pub committee: LeaseCommittee,
    /// Set once a planned stop has started.
    pub is_leaving: bool,
}

/// Who owns an endpoint's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The owner; `None` after the owner left or was removed.
    pub owner: Option<IncarnationId>,
    /// Whether the previous owner released the endpoint with none of its slots in use. Otherwise
    /// work of that owner may still run, and a new owner waits for its longest possible duration
    /// before it uses the slots.
    pub is_clean: bool,
}

/// Handover of an endpoint from one owner to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerMove {
    /// Name of the service.
    pub service: String,
    /// The endpoint.
    pub address: SocketAddr,
    /// The next owner; `None` when the rules no longer contain the endpoint.
    pub next: Option<IncarnationId>,
}

/// Members and endpoint owners of a group, as stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupView {
    /// Members in the order of joining.
    pub members: Vec<GroupMember>,
    /// Owner of each endpoint, by service and address.
    pub owners: BTreeMap<String, BTreeMap<SocketAddr, OwnerRecord>>,
    /// Number of updates made only to raise the version.
    #[serde(default)]
    pub touches: u64,
}

impl GroupView {
    /// Returns the member whose process is `incarnation`.
    #[must_use]
    pub fn member(&self, incarnation: IncarnationId) -> Option<&GroupMember> {
        self.members.iter().find(|member| member.incarnation == incarnation)
    }

    /// Returns the endpoints of `service` that `incarnation` owns, with their records.
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

    /// Adds a member. An earlier process with the same instance name and peer address is replaced,
    /// and the new process becomes the owner of its endpoints: since the new process could bind
    /// the address, the earlier one has exited.
    pub fn join(&mut self, mut member: GroupMember) {
        let replaced = self.members.iter().find(|other| {
            other.instance == member.instance && other.peer_address == member.peer_address
        });
        let previous = replaced.map(|other| other.incarnation);
        if let Some(previous) = previous.filter(|previous| *previous != member.incarnation) {
            self.members.retain(|other| other.incarnation != previous);
            self.release_all(previous, Some(member.incarnation), false);
        }
        if self.member(member.incarnation).is_none() {
            member.committee = LeaseCommittee::new();
            self.members.push(member);
        }
    }

    /// Removes a member whose endpoints are taken over; its work may still run on them.
    pub fn remove(&mut self, incarnation: IncarnationId) {
        self.members.retain(|member| member.incarnation != incarnation);
        self.release_all(incarnation, None, false);
    }

    /// Removes a member that has stopped and has no running work.
    pub fn leave(&mut self, incarnation: IncarnationId) {
        self.members.retain(|member| member.incarnation != incarnation);
        self.release_all(incarnation, None, true);
    }

    /// Records that a planned stop of a member has started.
    pub fn mark_leaving(&mut self, incarnation: IncarnationId) {
        for member in &mut self.members {
            member.is_leaving |= member.incarnation == incarnation;
        }
    }

    /// Returns the locations of the members that may own endpoints: all that are not leaving.
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

    /// Makes `own` the owner of each unowned endpoint whose target owner it is.
    pub fn take_unowned(&mut self, own: IncarnationId, table: &RouteTable) {
        let locations = self.member_locations(table);
        for service in &table.services {
            let targets = target_owners(service, table, &locations);
            let owners = self.owners.entry(service.name.clone()).or_default();
            for (address, target) in targets {
                let unowned = OwnerRecord { owner: None, is_clean: true };
                let record = owners.entry(address).or_insert(unowned);
                if record.owner.is_none() && target == own {
                    record.owner = Some(own);
                }
            }
        }
    }

    /// Returns the endpoints that `own` owns although another member, or none, should.
    #[must_use]
    pub fn misplaced(&self, own: IncarnationId, table: &RouteTable) -> Vec<OwnerMove> {
        let locations = self.member_locations(table);
        let mut moves = Vec::new();
        for (name, owners) in &self.owners {
            let targets = table
                .service(name)
                .map(|service| target_owners(service, table, &locations))
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

    /// Records the next owners of endpoints that `own` has stopped using.
    pub fn hand_over(&mut self, own: IncarnationId, moves: &[OwnerMove]) {
        for handover in moves {
            let Some(owners) = self.owners.get_mut(&handover.service) else {
                continue;
            };
            let is_held =
                owners.get(&handover.address).is_some_and(|record| record.owner == Some(own));
            if !is_held {
                continue;
            }
            match handover.next {
                Some(next) => {
                    let record = OwnerRecord { owner: Some(next), is_clean: true };
                    owners.insert(handover.address, record);
                }
                None => {
                    owners.remove(&handover.address);
                }
            }
        }
    }

    /// Returns the committee that `own` should have: members that are alive come first, ranked by
    /// rendezvous hashing.
    #[must_use]
    pub fn preferred_committee(
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

    fn release_all(
        &mut self,
        previous: IncarnationId,
        next: Option<IncarnationId>,
        is_clean: bool,
    ) {
        let records = self.owners.values_mut().flat_map(BTreeMap::values_mut);
        for record in records.filter(|record| record.owner == Some(previous)) {
            // A record that is not clean stays so: work of an earlier owner may still run.
            *record = OwnerRecord { owner: next, is_clean: is_clean && record.is_clean };
        }
    }
}
