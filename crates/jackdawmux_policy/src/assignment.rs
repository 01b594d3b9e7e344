//! Assignment of endpoints to owning members.
//!
//! An endpoint is owned by a member of its failure domain, else of its region, else by any
//! member. Within such a tier, rendezvous hashing with a bound on each member's load spreads
//! endpoints evenly and moves few of them when membership changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::identity::{IncarnationId, mix64, stable_hash};
use crate::table::{EndpointSpec, RouteTable, ServiceSpec};

/// Location of a member that may own endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberLocation {
    /// Process of the member.
    pub incarnation: IncarnationId,
    /// Region of the member.
    pub region: String,
    /// Failure domain of the member.
    pub domain: String,
}

/// Returns the target owner of every endpoint of a service; empty when there are no members.
#[must_use]
pub fn target_owners(
    service: &ServiceSpec,
    table: &RouteTable,
    members: &[MemberLocation],
) -> BTreeMap<SocketAddr, IncarnationId> {
    let mut owners = BTreeMap::new();
    let mut loads: BTreeMap<IncarnationId, usize> = BTreeMap::new();
    for tier in owner_tiers(service, table, members) {
        let bound = tier.endpoints.len().div_ceil(tier.members.len().max(1));
        let previous_loads: BTreeMap<IncarnationId, usize> = loads.clone();
        for address in tier.endpoints {
            let hash = stable_hash(address.to_string().as_bytes());
            let has_room = |member: &IncarnationId| {
                let added =
                    loads.get(member).unwrap_or(&0) - previous_loads.get(member).unwrap_or(&0);
                added < bound
            };
            let best = tier
                .members
                .iter()
                .filter(|member| has_room(member))
                .max_by_key(|member| mix64(hash ^ member.0));
            if let Some(owner) = best.copied() {
                *loads.entry(owner).or_default() += 1;
                owners.insert(address, owner);
            }
        }
    }
    owners
}

struct OwnerTier {
    endpoints: Vec<SocketAddr>,
    members: Vec<IncarnationId>,
}

/// Groups the endpoints that have the same candidate owners.
fn owner_tiers(
    service: &ServiceSpec,
    table: &RouteTable,
    members: &[MemberLocation],
) -> Vec<OwnerTier> {
    let mut groups: BTreeMap<Vec<IncarnationId>, Vec<SocketAddr>> = BTreeMap::new();
    for endpoint in &service.endpoints {
        let candidates = candidate_owners(endpoint, table, members);
        if !candidates.is_empty() {
            groups.entry(candidates).or_default().push(endpoint.address);
        }
    }
    groups
        .into_iter()
        .map(|(members, mut endpoints)| {
            endpoints.sort_unstable();
            OwnerTier { endpoints, members }
        })
        .collect()
}

fn candidate_owners(
    endpoint: &EndpointSpec,
    table: &RouteTable,
    members: &[MemberLocation],
) -> Vec<IncarnationId> {
    let region = table.region_of(&endpoint.domain).unwrap_or_default();
    let matching = |is_match: &dyn Fn(&MemberLocation) -> bool| {
        let mut found: Vec<_> = members
            .iter()
            .filter(|member| is_match(member))
            .map(|member| member.incarnation)
            .collect();
        found.sort_unstable();
        found
    };
    let same_domain = matching(&|member| member.domain == endpoint.domain);
    if !same_domain.is_empty() {
        return same_domain;
    }
    let same_region = matching(&|member| member.region == region);
    if !same_region.is_empty() {
        return same_region;
    }
    matching(&|_| true)
}
