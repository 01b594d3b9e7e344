//! Compiled form of the accepted rules, read by steering decisions.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use strum::{AsRefStr, Display, EnumString};

use crate::shift::ShiftPlan;

/// Priority of an operation; variants that order lower are served first.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    AsRefStr,
    Display,
    EnumString,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "lowercase")]
pub enum RequestPriority {
    /// Served before all others and refused last.
    High,
    /// Served after `High` and before `Low`.
    Normal,
    /// Served last and refused first.
    Low,
}

/// Whether an operation may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, AsRefStr, Display)]
#[strum(serialize_all = "lowercase")]
pub enum RepeatRule {
    /// At most one execution for each idempotency key.
    Once,
    /// Safe to execute again.
    Repeatable,
}

/// One operation of a service, matched by method and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperationSpec {
    /// HTTP method in upper case.
    pub method: String,
    /// Path prefix, starting with `/`.
    pub prefix: String,
    /// Priority under load.
    pub priority: RequestPriority,
    /// Whether the operation may be executed more than once.
    pub repeat: RepeatRule,
    /// Maximum time from the arrival of a request to the end of the upstream's work.
    pub timeout: Duration,
}

/// One upstream endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Address on which the upstream listens.
    pub address: SocketAddr,
    /// Failure domain of the upstream.
    pub domain: String,
    /// Maximum number of concurrent requests to it, over the whole fleet.
    pub slots: u32,
    /// Maximum number of open connections to it, over the whole fleet.
    pub connections: u32,
    /// Whether the accepted rules drain the endpoint.
    pub is_draining: bool,
}

/// One service with its operations and upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name; the first segment of the path that callers request.
    pub name: String,
    /// Operations; the longest matching prefix is used.
    pub operations: Vec<OperationSpec>,
    /// Endpoints in the order of the rules.
    pub endpoints: Vec<EndpointSpec>,
}

impl ServiceSpec {
    /// Finds the operation with the longest prefix that matches a method and an upstream path.
    #[must_use]
    pub fn operation(&self, method: &str, path: &str) -> Option<&OperationSpec> {
        self.operations
            .iter()
            .filter(|spec| spec.method == method && is_path_prefix(&spec.prefix, path))
            .max_by_key(|spec| spec.prefix.len())
    }

    /// Maximum timeout over all operations; upstream work cannot last longer.
    #[must_use]
    pub fn max_timeout(&self) -> Duration {
        self.operations.iter().map(|spec| spec.timeout).max().unwrap_or_default()
    }
}

fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    prefix.ends_with('/') || rest.is_empty() || rest.starts_with(['/', '?'])
}

/// One region and its failure domains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionSpec {
    /// Name of the region.
    pub name: String,
    /// Failure domains in the region.
    pub domains: SmallVec<[String; 4]>,
}

/// Link between two regions, with the same properties in both directions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkSpec {
    /// Names of the two regions.
    pub regions: [String; 2],
    /// Bandwidth in each direction, in bits per second.
    pub bits_per_second: u64,
    /// One-way delay.
    pub delay: Duration,
}

/// Content of one accepted version of the rules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// Regions in the order of the rules.
    pub regions: Vec<RegionSpec>,
    /// Links between regions.
    pub links: Vec<LinkSpec>,
    /// Services in the order of the rules.
    pub services: Vec<ServiceSpec>,
    /// Planned traffic shifts between regions.
    pub shifts: Vec<ShiftPlan>,
}

impl RouteTable {
    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Name of the region that contains a failure domain.
    #[must_use]
    pub fn region_of(&self, domain: &str) -> Option<&str> {
        self.regions
            .iter()
            .find(|region| region.domains.iter().any(|candidate| candidate == domain))
            .map(|region| region.name.as_str())
    }

    /// One-way delay between two regions; zero within a region or when the rules list no link.
    #[must_use]
    pub fn delay_between(&self, from: &str, to: &str) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        self.links
            .iter()
            .find(|link| {
                let [left, right] = &link.regions;
                (left == from && right == to) || (left == to && right == from)
            })
            .map_or(Duration::ZERO, |link| link.delay)
    }
}
