//! Records of the deployment's configuration and registrations, as the operator, the endpoints and
//! the instances publish them.

use std::borrow::Borrow;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::position::WatchTopic;

/// Whether an endpoint accepts requests, as stated in its registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointPhase {
    /// Accepts requests.
    Ready,
    /// Finishes the requests it has and accepts no new ones.
    Draining,
}

/// Registration of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Identity of this incarnation; several incarnations share it if the endpoint keeps its
    /// identity across restarts.
    pub id: String,
    /// Service that the endpoint belongs to.
    pub service: String,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub domain: String,
    /// Number of requests that the endpoint processes concurrently.
    pub slots: u32,
    /// Whether the endpoint accepts requests.
    pub phase: EndpointPhase,
    /// How long the endpoint stays cold, counted from when the record was written.
    pub cold_left: Duration,
    /// Start of this incarnation in Unix milliseconds on the endpoint's clock; zero if not stated.
    pub started_ms: u64,
    /// Number of this statement among those of the incarnation; none if it is not stated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sequence: Option<u64>,
}

impl EndpointRecord {
    /// Returns whether the endpoint made this statement before another one, whenever they were written.
    #[must_use]
    pub fn is_before(&self, other: &Self) -> bool {
        (self.started_ms, self.sequence) < (other.started_ms, other.sequence)
            && (self.started_ms != other.started_ms || self.sequence.is_some())
    }

    /// Returns whether the endpoint states the same, apart from the number of the statement.
    #[must_use]
    pub fn states_same(&self, other: &Self) -> bool {
        let Self { id, service, address, domain, slots, phase, cold_left, started_ms, sequence: _ } =
            self;
        (id, service, address, domain) == (&other.id, &other.service, &other.address, &other.domain)
            && (slots, phase, cold_left, started_ms)
                == (&other.slots, &other.phase, &other.cold_left, &other.started_ms)
    }
}

/// Registration of an instance of this system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name, unique in the deployment.
    pub name: String,
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// Address that receives heartbeats.
    pub heartbeat_address: SocketAddr,
    /// Failure domain of the instance.
    pub domain: String,
    /// Capacity of the instance in thousandths of a CPU core.
    pub capacity_permille: u32,
    /// Random number drawn at each start of the process.
    pub incarnation: u64,
    /// Address that receives requests for tokens of request caps; none if the instance holds no caps.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cap_address: Option<SocketAddr>,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatRule {
    /// The request may be repeated.
    Idempotent,
    /// The request runs at most once.
    Once,
}

/// One of the services that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Weight of the target relative to the other targets of the route.
    pub weight: u32,
}

/// A route from the operator's configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRecord {
    /// Name used in logs and metrics.
    pub name: String,
    /// Host whose requests the route matches.
    pub host: String,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests of the route may run more than once.
    pub repeat: RepeatRule,
    /// Maximum time that a caller may be kept waiting.
    pub timeout: Duration,
    /// Latency up to which a response has its full value.
    pub target_latency: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Maximum number of endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests for the same object should go to the same endpoint.
    pub is_sticky: bool,
    /// Regions in which requests of the route may be served; empty for all.
    pub homes: SmallVec<[String; 2]>,
    /// Services that the route sends requests to; at least one.
    pub targets: SmallVec<[RouteTarget; 2]>,
    /// Whether requests need no key although the configuration has teams.
    #[serde(default)]
    pub is_public: bool,
}

/// Secret key by which a request names its team.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TeamKey(String);

impl TeamKey {
    /// Creates a key from its text.
    #[must_use]
    pub const fn new(text: String) -> Self {
        Self(text)
    }

    /// Returns the text, which must not reach a log, a metric, an error or an endpoint.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

/// Looks up keys in maps by their text, which hashes and compares as the key does.
impl Borrow<str> for TeamKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for TeamKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("TeamKey(hidden)")
    }
}

/// A team whose requests carry one of its keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamRecord {
    /// Name, unique in the configuration.
    pub name: String,
    /// Keys that belong to the team.
    pub keys: SmallVec<[TeamKey; 2]>,
    /// Priority of its requests, which replaces that of the route; none if it has none of its own.
    pub priority: Option<u32>,
    /// Requests per second allowed over all instances together; zero for no limit.
    pub rate: f64,
    /// Requests allowed in addition to the rate.
    pub burst: f64,
    /// Regions in which its requests may be served; empty for all.
    pub homes: SmallVec<[String; 2]>,
}

/// The operator's settings for a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Name of the service.
    pub name: String,
    /// Number of connections that one endpoint accepts from all instances together.
    pub max_connections: u32,
    /// How long an endpoint is cold after it starts.
    pub cold_start: Duration,
    /// Requests per second that a cold endpoint tolerates from all instances together.
    pub cold_rate: f64,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a header section, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time for sending a header section.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// A complete version of the operator's configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Version number; it only increases.
    pub version: u64,
    /// Routes from hosts and path prefixes to services.
    pub routes: Vec<RouteRecord>,
    /// Services that the routes may name.
    pub services: Vec<ServiceRecord>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Teams; none if requests carry no keys.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub teams: Option<Vec<TeamRecord>>,
}

/// Bounds on the withdrawal of keys and on request caps, over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamBounds {
    /// Time after which no request with a withdrawn key may run; none if no such bound is set.
    pub revoke: Option<Duration>,
    /// Whether the request caps of teams are enforced.
    pub has_caps: bool,
}

/// Limits from the deployment's settings. The retry and cold start limits apply to all instances
/// together.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetBounds {
    /// Retries allowed per first attempt to a service.
    pub retry_ratio: f64,
    /// Retries allowed per window in addition to the ratio, by all instances together.
    pub retry_slack: f64,
    /// Window over which retries are counted.
    pub retry_window: Duration,
    /// Factor applied to the cold rate of a service.
    pub cold_multiplier: f64,
    /// Time that a process has for a planned stop.
    pub grace: Duration,
    /// Maximum time to live of a lookup.
    pub max_lookup_ttl: Duration,
    /// Time within which an update about the deployment must be applied.
    pub update_deadline: Duration,
    /// Time within which a configuration must be applied.
    pub config_deadline: Duration,
    /// Time within which an evacuation must be applied.
    pub evacuation_deadline: Duration,
    /// Bounds for teams; none if the deployment has none.
    pub teams: Option<TeamBounds>,
    /// Whether requests are steered and admitted by expected wait and cost on all services. Other
    /// deployments do so only for services whose endpoints state how long work takes.
    pub has_pressure: bool,
    /// Whether objects are served by sets of endpoints, by expected wait, where endpoints state how
    /// long work takes.
    pub has_endpoint_sets: bool,
    /// Whether the shares of regions follow their demand under load.
    pub has_demand_shares: bool,
}

impl FleetBounds {
    /// Returns the time within which an update of a topic must be applied.
    #[must_use]
    pub const fn deadline(&self, topic: WatchTopic) -> Duration {
        match topic {
            WatchTopic::Config => self.config_deadline,
            WatchTopic::Endpoints => self.update_deadline,
            WatchTopic::Evacuations => self.evacuation_deadline,
            // An instance that joins states its registration in its own heartbeats. What none of them
            // tells must be known within the window over which shared limits are counted.
            WatchTopic::Instances => self.retry_window,
        }
    }
}
