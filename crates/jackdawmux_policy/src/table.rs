//! The compiled configuration that decisions read.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use strum::{AsRefStr, Display, EnumString};

use crate::shift::ShiftPlan;

/// Importance of an operation; lower values are served first.
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
    /// Served first and refused last.
    High,
    /// Served after `High`.
    Normal,
    /// Refused first.
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
    /// Path prefix, beginning with `/`.
    pub prefix: String,
    /// Importance under load.
    pub priority: RequestPriority,
    /// Whether repeats are allowed.
    pub repeat: RepeatRule,
    /// Longest time from arrival to the end of the upstream's work.
    pub timeout: Duration,
}

/// One upstream endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Where the upstream listens.
    pub address: SocketAddr,
    /// Failure domain of the upstream.
    pub domain: String,
    /// Requests it may run at once, over the whole fleet.
    pub slots: u32,
    /// Connections it may hold, over the whole fleet.
    pub connections: u32,
    /// Whether the accepted rules drain it.
    pub is_draining: bool,
}

/// One service with its operations and upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name, the first segment of a caller's path.
    pub name: String,
    /// Operations; the longest matching prefix wins.
    pub operations: Vec<OperationSpec>,
    /// Endpoints in the order of the rules.
    pub endpoints: Vec<EndpointSpec>,
}

impl ServiceSpec {
    /// Finds the operation for a method and an upstream path.
    #[must_use]
    pub fn operation(&self, method: &str, path: &str) -> Option<&OperationSpec> {
        self.operations
            .iter()
            .filter(|spec| spec.method == method && is_path_prefix(&spec.prefix, path))
            .max_by_key(|spec| spec.prefix.len())
    }

    /// The longest timeout of any operation; bounds how long upstream work can last.
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

/// The link between two regions, the same in both directions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkSpec {
    /// The two regions.
    pub regions: [String; 2],
    /// Bandwidth each way in bits per second.
    pub bits_per_second: u64,
    /// One-way delay.
    pub delay: Duration,
}

/// Everything that one accepted version of the rules says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// Regions in the order of the rules.
    pub regions: Vec<RegionSpec>,
    /// Links between regions.
    pub links: Vec<LinkSpec>,
    /// Services in the order of the rules.
    pub services: Vec<ServiceSpec>,
    /// Planned shifts of traffic.
    pub shifts: Vec<ShiftPlan>,
}

impl RouteTable {
    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.iter().find(|service| service.name == name)
    }

    /// The region that holds a failure domain.
    #[must_use]
    pub fn region_of(&self, domain: &str) -> Option<&str> {
        self.regions
            .iter()
            .find(|region| region.domains.iter().any(|known| known == domain))
            .map(|region| region.name.as_str())
    }

    /// One-way delay between two regions; zero inside a region or where no link is stated.
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
