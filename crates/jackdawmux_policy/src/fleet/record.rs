//! Facts about the deployment, as the operator and the endpoints state them.

use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

/// What an endpoint says of itself about taking requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointPhase {
    /// Takes requests.
    Ready,
    /// Finishes what it has and takes nothing new.
    Draining,
}

/// One endpoint as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// Identity of this incarnation, or of several where an endpoint restarts under its old one.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub phase: EndpointPhase,
    /// How long it stays cold, counted from when the record was written.
    pub cold_left: Duration,
    /// Start of this incarnation in Unix milliseconds on the endpoint's clock; zero if not stated.
    pub started_ms: u64,
}

/// One instance of this system as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceRecord {
    /// Name, unique in the deployment.
    pub name: String,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where heartbeats are received.
    pub heartbeat_address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Share of a core, in thousandths.
    pub capacity_permille: u32,
    /// Drawn at random at each start.
    pub incarnation: u64,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatRule {
    /// It may.
    Idempotent,
    /// At most once.
    Once,
}

/// One of the services that a route leads to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: String,
    /// Share of the requests, relative to the other targets.
    pub weight: u32,
}

/// One route of the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRecord {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host that it belongs to.
    pub host: String,
    /// Prefix of the paths that it takes; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub repeat: RepeatRule,
    /// Longest time for which a caller may be kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub target_latency: Duration,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests for one object should meet at one endpoint.
    pub is_sticky: bool,
    /// Regions in which its requests may be served; empty for all.
    pub homes: SmallVec<[String; 2]>,
    /// Services, at least one.
    pub targets: SmallVec<[RouteTarget; 2]>,
}

/// What the operator says of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRecord {
    /// Name.
    pub name: String,
    /// Connections that one endpoint accepts from all instances together.
    pub max_connections: u32,
    /// How long an endpoint is cold after its start.
    pub cold_start: Duration,
    /// Requests a second that a cold endpoint tolerates from all instances together.
    pub cold_rate: f64,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest header section, in bytes.
    pub max_header_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: u64,
    /// Longest time for sending a header section.
    pub header_timeout: Duration,
    /// Longest time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// One whole version of the operator's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigRecord {
    /// Version; only rises.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteRecord>,
    /// Services.
    pub services: Vec<ServiceRecord>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

/// Bounds that all instances keep together, as the deployment's settings state them.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetBounds {
    /// Repeats allowed for each first request of a service.
    pub retry_ratio: f64,
    /// Repeats allowed beside the ratio, in one window, by all instances together.
    pub retry_slack: f64,
    /// Window over which repeats are counted.
    pub retry_window: Duration,
    /// Factor on an endpoint's cold rate.
    pub cold_multiplier: f64,
    /// Time that a process has for a planned stop.
    pub grace: Duration,
    /// Longest time to live of a look-up.
    pub lookup_ttl_max: Duration,
    /// Time within which a fact about the deployment must be acted upon.
    pub update_deadline: Duration,
}
