//! Lookup of routes by host and path prefix, and of teams by key.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;

use super::record::{CallerLimits, ConfigRecord, RouteRecord, ServiceRecord, TeamKey, TeamRecord};

/// Two teams that state the same key. Holds names only, so that it can be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyConflict {
    /// The first team that states the key, which holds it.
    pub holder: String,
    /// The team that does not get the key.
    pub other: String,
}

/// One version of the configuration, indexed for lookup.
#[derive(Clone, Debug)]
pub struct RouteTable {
    config: ConfigRecord,
    hosts: HashMap<String, Vec<Arc<RouteRecord>>>,
    services: HashMap<String, ServiceRecord>,
    teams: HashMap<TeamKey, Arc<TeamRecord>>,
    key_conflicts: Vec<KeyConflict>,
}

impl RouteTable {
    /// Builds the index of a configuration. Hosts are compared without regard to ASCII case.
    #[must_use]
    pub fn new(config: ConfigRecord) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<RouteRecord>>> = HashMap::new();
        for route in &config.routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = config.services.iter();
        let services = services.map(|service| (service.name.clone(), service.clone())).collect();
        let (teams, key_conflicts) = index_keys(config.teams.as_deref().unwrap_or_default());
        Self { config, hosts, services, teams, key_conflicts }
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.config.version
    }

    /// Returns the limits on what callers may send.
    #[must_use]
    pub const fn limits(&self) -> &CallerLimits {
        &self.config.limits
    }

    /// Returns the configuration as the operator wrote it.
    #[must_use]
    pub const fn config(&self) -> &ConfigRecord {
        &self.config
    }

    /// Returns the operator's settings for a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceRecord> {
        self.services.get(name)
    }

    /// Returns whether requests carry keys of teams.
    #[must_use]
    pub const fn has_teams(&self) -> bool {
        self.config.teams.is_some()
    }

    /// Returns the team that holds a key.
    #[must_use]
    pub fn find_team(&self, key: &str) -> Option<&Arc<TeamRecord>> {
        self.teams.get(key)
    }

    /// Returns the pairs of teams that state the same key.
    #[must_use]
    pub fn key_conflicts(&self) -> &[KeyConflict] {
        &self.key_conflicts
    }

    /// Returns the number of routes over all hosts.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Returns the route of a request: the one of its host with the longest matching path prefix. A
    /// port in `host` is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRecord>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

/// Indexes teams by their keys. The first team that states a key holds it.
fn index_keys(teams: &[TeamRecord]) -> (HashMap<TeamKey, Arc<TeamRecord>>, Vec<KeyConflict>) {
    let mut index: HashMap<TeamKey, Arc<TeamRecord>> = HashMap::new();
    let mut conflicts = Vec::new();
    for team in teams {
        let shared = Arc::new(team.clone());
        for key in &team.keys {
            match index.entry(key.clone()) {
                Entry::Vacant(entry) => {
                    entry.insert(Arc::clone(&shared));
                }
                // The same team may state a key twice.
                Entry::Occupied(entry) if Arc::ptr_eq(entry.get(), &shared) => {}
                Entry::Occupied(entry) => {
                    let holder = entry.get().name.clone();
                    conflicts.push(KeyConflict { holder, other: team.name.clone() });
                }
            }
        }
    }
    (index, conflicts)
}
