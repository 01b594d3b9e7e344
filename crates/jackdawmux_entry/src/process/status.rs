//! Reports of the steering state for operators.

use std::net::SocketAddr;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::endpoint::{EndpointSlots, EndpointState};
use jackdawmux_policy::scheduler::ServiceScheduler;
use jackdawmux_policy::steering::InstanceSteering;
use serde::{Deserialize, Serialize};

/// State of one endpoint.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub domain: String,
    /// Number of slots that the rules allow.
    pub slots: u32,
    /// Number of slots in use.
    pub used: u32,
    /// Number of slots that could be granted now.
    pub free: u32,
    /// `open`, `draining` or `suspended`.
    pub state: String,
}

/// State of one service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: String,
    /// Number of requests running on slots of this instance.
    pub running: usize,
    /// Number of requests waiting for a slot of this instance.
    pub waiting: usize,
    /// Endpoints that this instance owns.
    pub endpoints: Vec<EndpointStatus>,
}

/// Steering state of one instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SteeringStatus {
    /// Whether the last stored view lists this instance.
    pub is_member: bool,
    /// Whether a planned stop has started.
    pub is_leaving: bool,
    /// Version of the last stored view.
    pub view_version: u64,
    /// Remaining time of the lease, in milliseconds; none when it needs no renewal.
    pub lease_left_ms: Option<u64>,
    /// Number of peers from which a message was received recently.
    pub peers: usize,
    /// Services, ordered by name.
    pub services: Vec<ServiceStatus>,
}

impl SteeringStatus {
    /// Builds the report for the time `now`.
    pub(crate) fn read(steering: &InstanceSteering, now: PolicyTime) -> Self {
        let membership = steering.membership();
        let lease = membership.lease_until();
        let is_unbounded = lease == PolicyTime(u64::MAX);
        let left = u64::try_from(lease.since(now).as_millis()).unwrap_or(u64::MAX);
        let services = steering.schedulers().iter();
        Self {
            is_member: membership.is_member(),
            is_leaving: membership.is_leaving(),
            view_version: membership.version(),
            lease_left_ms: (!is_unbounded).then_some(left),
            peers: membership.live_peers(now).count(),
            services: services
                .map(|(service, scheduler)| service_status(service, scheduler, now))
                .collect(),
        }
    }
}

fn service_status(service: &str, scheduler: &ServiceScheduler, now: PolicyTime) -> ServiceStatus {
    ServiceStatus {
        service: service.to_owned(),
        running: scheduler.running(),
        waiting: scheduler.waiting(),
        endpoints: scheduler
            .endpoints()
            .iter()
            .map(|endpoint| endpoint_status(endpoint, now))
            .collect(),
    }
}

fn endpoint_status(endpoint: &EndpointSlots, now: PolicyTime) -> EndpointStatus {
    let state = match endpoint.state {
        EndpointState::Open => "open",
        EndpointState::Draining => "draining",
        EndpointState::Suspended(_) => "suspended",
    };
    EndpointStatus {
        address: endpoint.address,
        domain: endpoint.domain.clone(),
        slots: endpoint.hard_limit,
        used: endpoint.used,
        free: endpoint.free(now),
        state: state.to_owned(),
    }
}
