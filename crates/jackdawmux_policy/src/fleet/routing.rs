//! Route lookup by host and path prefix.

use std::collections::HashMap;
use std::sync::Arc;

use super::record::{CallerLimits, ConfigRecord, RouteRecord, ServiceRecord};

/// One version of the configuration, indexed for lookup.
#[derive(Clone, Debug)]
pub struct RouteTable {
    config: ConfigRecord,
    hosts: HashMap<String, Vec<Arc<RouteRecord>>>,
    services: HashMap<String, ServiceRecord>,
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
        Self { config, hosts, services }
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
