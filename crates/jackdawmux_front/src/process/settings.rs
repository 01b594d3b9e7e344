//! Settings of a front, independent of the format from which they were read.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jackdawmux_policy::fleet::record::FleetBounds;

/// Settings of one front process.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontSettings {
    /// Name of the instance, unique in the deployment.
    pub instance: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Regions by failure domain.
    pub regions: BTreeMap<String, String>,
    /// Address for callers' requests.
    pub listen: SocketAddr,
    /// Address for readiness checks.
    pub ready_listen: SocketAddr,
    /// Address for lookups of instances.
    pub directory_listen: SocketAddr,
    /// UDP address on which heartbeats are received.
    pub heartbeat_listen: SocketAddr,
    /// UDP address on which other instances ask for tokens of request caps; none if the deployment
    /// has no caps.
    pub cap_listen: Option<SocketAddr>,
    /// Address for metrics; none disables them.
    pub metrics_listen: Option<SocketAddr>,
    /// Capacity, in thousandths of a CPU core.
    pub capacity_permille: u32,
    /// File descriptors that the process may use.
    pub max_descriptors: usize,
    /// Bounds that the instances must observe jointly.
    pub bounds: FleetBounds,
}

impl FrontSettings {
    /// Address for request caps; none if they are not enforced.
    pub(crate) fn cap_address(&self) -> Option<SocketAddr> {
        self.cap_listen.filter(|_| self.bounds.teams.is_some_and(|teams| teams.has_caps))
    }
}
