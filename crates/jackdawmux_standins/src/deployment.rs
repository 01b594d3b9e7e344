//! Sizes and workloads of the two deployments, and their rules files for given endpoint addresses.

use std::fmt::Write as _;
use std::net::SocketAddr;

/// One operation of a service and its share of the load.
#[derive(Clone, Copy, Debug)]
pub struct OperationProfile {
    /// Name of the service.
    pub service: &'static str,
    /// HTTP method.
    pub method: &'static str,
    /// Path at the upstream.
    pub path: &'static str,
    /// Priority, as written in the rules.
    pub priority: &'static str,
    /// Whether a request runs at most once.
    pub is_at_most_once: bool,
    /// Size of the request body, in bytes.
    pub body_bytes: usize,
    /// Share of the service's requests, in percent.
    pub share_percent: u32,
}

/// Size of one service of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct ServiceSize {
    /// Name of the service.
    pub name: &'static str,
    /// Number of endpoints in all failure domains together.
    pub endpoints: usize,
    /// Number of slots of each endpoint.
    pub slots: u32,
    /// Mean service time of the stand-in, in milliseconds.
    pub service_ms: f64,
}

/// Sizes, network and workload of one deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Short name, by which [`Deployment::find`] finds it.
    pub name: &'static str,
    /// Regions; each has two failure domains, named after it with the suffixes `-a` and `-b`.
    pub regions: [&'static str; 3],
    /// Bandwidth of the link between two regions, in Mbit/s.
    pub link_mbit_per_s: u32,
    /// One-way delay between two regions, in milliseconds.
    pub link_delay_ms: u32,
    /// The services.
    pub services: [ServiceSize; 2],
    /// Operations of both services; the shares of each service add up to 100 %.
    pub mix: [OperationProfile; 4],
}

/// Deployment of the deposit scheme.
pub const KOREA: Deployment = Deployment {
    name: "korea",
    regions: ["sudogwon", "yeongnam", "honam"],
    link_mbit_per_s: 4_000,
    link_delay_ms: 12,
    services: [
        ServiceSize { name: "ledger", endpoints: 30, slots: 6, service_ms: 20.0 },
        ServiceSize { name: "photos", endpoints: 12, slots: 3, service_ms: 60.0 },
    ],
    mix: [
        OperationProfile {
            service: "ledger",
            method: "GET",
            path: "/balance",
            priority: "low",
            is_at_most_once: false,
            body_bytes: 0,
            share_percent: 70,
        },
        OperationProfile {
            service: "ledger",
            method: "POST",
            path: "/refunds",
            priority: "high",
            is_at_most_once: true,
            body_bytes: 200,
            share_percent: 30,
        },
        OperationProfile {
            service: "photos",
            method: "POST",
            path: "/bins",
            priority: "high",
            is_at_most_once: true,
            body_bytes: 200_000,
            share_percent: 80,
        },
        OperationProfile {
            service: "photos",
            method: "GET",
            path: "/status",
            priority: "low",
            is_at_most_once: false,
            body_bytes: 0,
            share_percent: 20,
        },
    ],
};

/// Deployment of the booking platform.
pub const MAURITIUS: Deployment = Deployment {
    name: "mauritius",
    regions: ["nord", "centre", "sud"],
    link_mbit_per_s: 280,
    link_delay_ms: 20,
    services: [
        ServiceSize { name: "bookings", endpoints: 30, slots: 7, service_ms: 20.0 },
        ServiceSize { name: "soilvault", endpoints: 12, slots: 3, service_ms: 60.0 },
    ],
    mix: [
        OperationProfile {
            service: "bookings",
            method: "GET",
            path: "/slots",
            priority: "low",
            is_at_most_once: false,
            body_bytes: 0,
            share_percent: 70,
        },
        OperationProfile {
            service: "bookings",
            method: "POST",
            path: "/slots",
            priority: "high",
            is_at_most_once: true,
            body_bytes: 300,
            share_percent: 30,
        },
        OperationProfile {
            service: "soilvault",
            method: "POST",
            path: "/reports",
            priority: "high",
            is_at_most_once: true,
            body_bytes: 150_000,
            share_percent: 60,
        },
        OperationProfile {
            service: "soilvault",
            method: "GET",
            path: "/maps",
            priority: "low",
            is_at_most_once: false,
            body_bytes: 0,
            share_percent: 40,
        },
    ],
};

impl Deployment {
    /// Finds a deployment by name.
    #[must_use]
    pub fn find(name: &str) -> Option<Self> {
        [KOREA, MAURITIUS].into_iter().find(|deployment| deployment.name == name)
    }

    /// Names of the six failure domains.
    #[must_use]
    pub fn domains(&self) -> Vec<String> {
        let regions = self.regions.iter();
        regions.flat_map(|region| ["a", "b"].map(|suffix| format!("{region}-{suffix}"))).collect()
    }

    /// Failure domain of the endpoint or entry with the given index; domains are assigned in turn.
    #[must_use]
    pub fn domain_of(&self, index: usize) -> String {
        let domains = self.domains();
        domains[index % domains.len()].clone()
    }

    /// Number of slots of all endpoints of a service; 0 for an unknown service.
    #[must_use]
    pub fn total_slots(&self, service: &str) -> u32 {
        let size = self.services.iter().find(|size| size.name == service);
        size.map_or(0, |size| size.slots * u32::try_from(size.endpoints).unwrap_or(0))
    }

    /// Text of the rules file, with the endpoints of each service at the given addresses.
    #[must_use]
    pub fn rules(&self, addresses: &[Vec<SocketAddr>; 2]) -> String {
        let mut text = String::new();
        for region in self.regions {
            let _ = writeln!(
                text,
                "region {region} domains {region}-a,{region}-b  # platform team: sites of today"
            );
        }
        for (left, right) in [(0, 1), (0, 2), (1, 2)] {
            let (left, right) = (self.regions[left], self.regions[right]);
            let (mbit, delay_ms) = (self.link_mbit_per_s, self.link_delay_ms);
            let _ = writeln!(
                text,
                "link {left} {right} bandwidth {mbit}Mbit/s delay {delay_ms}ms  # network team: contract"
            );
        }
        for (size, addresses) in self.services.iter().zip(addresses) {
            for (index, address) in addresses.iter().enumerate() {
                let _ = writeln!(
                    text,
                    "upstream {} {address} domain {} slots {} connections 400  # platform team: sizes of today",
                    size.name,
                    self.domain_of(index),
                    size.slots
                );
            }
        }
        for operation in &self.mix {
            let once = if operation.is_at_most_once { " once" } else { "" };
            let _ = writeln!(
                text,
                "operation {} {} {} priority {}{once} timeout 5s  # service owners: importance",
                operation.service, operation.method, operation.path, operation.priority
            );
        }
        text
    }
}
