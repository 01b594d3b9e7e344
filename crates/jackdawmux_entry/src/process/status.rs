//! Reports of the steering state, as operators read them.

use std::net::SocketAddr;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::endpoint::{EndpointSlots, EndpointState};
use jackdawmux_policy::scheduler::ServiceScheduler;
use jackdawmux_policy::steering::InstanceSteering;
use serde::{Deserialize, Serialize};

/// One endpoint in a report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Slots by the rules.
    pub slots: u32,
    /// Slots in use.
    pub used: u32,
    /// Slots that could be given out now.
    pub free: u32,
    /// `open`, `draining` or `suspended`.
    pub state: String,
}

/// One service in a report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: String,
    /// Requests running here.
    pub running: usize,
    /// Requests waiting here.
    pub waiting: usize,
    /// Endpoints owned here.
    pub endpoints: Vec<EndpointStatus>,
}

/// Report of one instance's steering state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SteeringStatus {
    /// Whether the stored view names this instance.
    pub is_member: bool,
    /// Whether a planned stop has begun.
    pub is_leaving: bool,
    /// Version of the stored view last seen.
    pub view_version: u64,
    /// Time left of the lease, in milliseconds; none when it needs no renewal.
    pub lease_left_ms: Option<u64>,
    /// Peers heard of lately.
    pub peers: usize,
    /// Services in the order of their names.
    pub services: Vec<ServiceStatus>,
}

impl SteeringStatus {
    /// Reads the state at `now`.
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
