//! The two deployments at their stated sizes, as rules files over stand-in addresses.

use std::fmt::Write as _;
use std::net::SocketAddr;

/// One kind of request in a deployment's mix.
#[derive(Clone, Copy, Debug)]
pub struct OperationProfile {
    /// Name of the service.
    pub service: &'static str,
    /// HTTP method.
    pub method: &'static str,
    /// Path at the upstream.
    pub path: &'static str,
    /// Priority in the rules.
    pub priority: &'static str,
    /// Whether it runs at most once.
    pub is_at_most_once: bool,
    /// Size of the body, in bytes.
    pub body_bytes: usize,
    /// Share of the service's requests, in percent.
    pub share_percent: u32,
}

/// One service of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct ServiceSize {
    /// Name of the service.
    pub name: &'static str,
    /// Endpoints over all failure domains.
    pub endpoints: usize,
    /// Slots of each endpoint.
    pub slots: u32,
    /// Mean service time of the stand-in, in milliseconds.
    pub service_ms: f64,
}

/// One deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Short name.
    pub name: &'static str,
    /// Regions, each with two failure domains named after it.
    pub regions: [&'static str; 3],
    /// Bandwidth between regions in Mbit/s.
    pub link_mbit: u32,
    /// One-way delay between regions in milliseconds.
    pub link_delay_ms: u32,
    /// Services.
    pub services: [ServiceSize; 2],
    /// Mix of requests.
    pub mix: [OperationProfile; 4],
}

/// The deposit scheme.
pub const KOREA: Deployment = Deployment {
    name: "korea",
    regions: ["sudogwon", "yeongnam", "honam"],
    link_mbit: 4_000,
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

/// The booking platform.
pub const MAURITIUS: Deployment = Deployment {
    name: "mauritius",
    regions: ["nord", "centre", "sud"],
    link_mbit: 280,
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

    /// The six failure domains.
    #[must_use]
    pub fn domains(&self) -> Vec<String> {
        let names = self.regions.iter();
        names.flat_map(|region| ["a", "b"].map(|side| format!("{region}-{side}"))).collect()
    }

    /// Failure domain of a service's endpoint by its index.
    #[must_use]
    pub fn domain_of(&self, index: usize) -> String {
        let domains = self.domains();
        domains[index % domains.len()].clone()
    }

    /// Slots of a service over all endpoints.
    #[must_use]
    pub fn total_slots(&self, service: &str) -> u32 {
        let size = self.services.iter().find(|size| size.name == service);
        size.map_or(0, |size| size.slots * u32::try_from(size.endpoints).unwrap_or(0))
    }

    /// The rules file, with the endpoints of each service at the given addresses.
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
            let (mbit, delay) = (self.link_mbit, self.link_delay_ms);
            let _ = writeln!(
                text,
                "link {left} {right} bandwidth {mbit}Mbit/s delay {delay}ms  # network team: contract"
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
