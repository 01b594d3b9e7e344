//! Selects the peer to which an instance that reaches no endpoint forwards a request.

use super::directory::InstanceView;
use super::record::InstanceRecord;

/// Query for a peer.
#[derive(Debug)]
pub struct PeerQuery<'query> {
    /// This instance.
    pub own: &'query str,
    /// Region of this instance.
    pub region: &'query str,
    /// Regions in which requests of the route may be handled; empty for all.
    pub homes: &'query [String],
    /// Regions in which requests of the team may be handled; empty for all.
    pub team_homes: &'query [String],
    /// Peers that are not to be asked.
    pub excluded: &'query [String],
    /// Random number, uniform in `0..1`.
    pub draw: f64,
}

/// Selects a peer that reaches endpoints, in proportion to its capacity. Peers of the own region come
/// before all others. A request never goes to a region that is none of its homes.
#[must_use]
pub fn select_peer<'view>(
    live: &[InstanceView<'view>],
    query: &PeerQuery<'_>,
) -> Option<&'view InstanceRecord> {
    let is_allowed = |instance: &&InstanceView<'_>| {
        let is_home = [query.homes, query.team_homes]
            .iter()
            .all(|homes| homes.is_empty() || homes.iter().any(|home| home == instance.region));
        let name = &instance.record.name;
        !instance.is_isolated && is_home && name != query.own && !query.excluded.contains(name)
    };
    let is_local = |instance: &&InstanceView<'_>| instance.region == query.region;
    let allowed: Vec<&InstanceView<'view>> = live.iter().filter(is_allowed).collect();
    let local: Vec<&InstanceView<'view>> =
        allowed.iter().copied().filter(|instance| is_local(instance)).collect();
    let peers = if local.is_empty() { allowed } else { local };
    let capacity =
        |instance: &InstanceView<'_>| f64::from(instance.record.capacity_permille.max(1));
    let total: f64 = peers.iter().map(|instance| capacity(instance)).sum();
    let mut remaining = query.draw * total;
    let drawn = peers.iter().find(|instance| {
        remaining -= capacity(instance);
        remaining < 0.0
    });
    drawn.or(peers.last()).map(|instance| instance.record)
}
