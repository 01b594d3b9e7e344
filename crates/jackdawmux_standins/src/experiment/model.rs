//! Input that all policies of a run share: endpoints, network delays, arrivals and service times.

use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::deployment::{Deployment, ServiceSize};

/// One-way delay within a failure domain, in microseconds.
const LOCAL_DELAY_US: u64 = 100;
/// Shape parameter of the log-normal service times.
const SERVICE_SHAPE: f64 = 0.5;
/// Share of high-priority requests, in percent.
const HIGH_PRIORITY_PERCENT: u32 = 30;

/// Settings of one run.
#[derive(Clone, Copy, Debug)]
pub struct ModelSettings {
    /// The deployment.
    pub deployment: Deployment,
    /// Index of the service in the deployment.
    pub service: usize,
    /// Number of entries.
    pub entries: usize,
    /// Offered load, as a fraction of the capacity of all slots.
    pub load: f64,
    /// Share of the requests that arrive at the first entry in any case, in percent; the others are
    /// spread evenly over all entries.
    pub skew_percent: u32,
    /// Time during which requests arrive, in seconds.
    pub seconds: u64,
    /// Seed of arrivals, priorities and service times.
    pub seed: u64,
    /// Whether the last failure domain, with its entries, fails halfway through the run.
    pub loses_domain: bool,
}

/// One simulated endpoint.
#[derive(Clone, Debug)]
pub struct ModelEndpoint {
    /// Address that identifies the endpoint in policies.
    pub address: SocketAddr,
    /// Index of its failure domain.
    pub domain: usize,
    /// Number of slots.
    pub slots: u32,
}

/// One request as it arrives, before any policy decision.
#[derive(Clone, Copy, Debug)]
pub struct ModelRequest {
    /// Time of arrival since the start of the arrivals, in microseconds.
    pub arrival_us: u64,
    /// Index of the entry where the request arrives.
    pub entry: usize,
    /// Whether the request has high priority.
    pub is_high_priority: bool,
    /// Service time at an endpoint, in microseconds.
    pub service_us: u64,
}

/// The model that all policies of a run share.
#[derive(Clone, Debug)]
pub struct ExperimentModel {
    /// Settings from which the model was generated.
    pub settings: ModelSettings,
    /// Size of the service.
    pub size: ServiceSize,
    /// Endpoints of the service.
    pub endpoints: Vec<ModelEndpoint>,
    /// Requests in the order of arrival.
    pub requests: Vec<ModelRequest>,
}

impl ExperimentModel {
    /// Generates the model of a run.
    #[must_use]
    pub fn generate(settings: ModelSettings) -> Self {
        let size = settings.deployment.services[settings.service];
        let domains = settings.deployment.domains().len();
        let endpoints = (0..size.endpoints)
            .map(|index| ModelEndpoint {
                address: SocketAddr::from((
                    [10, 0, 0, 1],
                    1_000 + u16::try_from(index).unwrap_or(0),
                )),
                domain: index % domains,
                slots: size.slots,
            })
            .collect();
        let requests = generate_requests(&settings, &size);
        Self { settings, size, endpoints, requests }
    }

    /// Failure domain of an entry.
    #[must_use]
    pub fn domain_of_entry(&self, entry: usize) -> usize {
        entry % self.settings.deployment.domains().len()
    }

    /// One-way delay between two failure domains, in microseconds.
    #[must_use]
    pub fn delay_us(&self, from: usize, to: usize) -> u64 {
        let deployment = &self.settings.deployment;
        if from == to {
            return LOCAL_DELAY_US;
        }
        if from / 2 == to / 2 {
            return if deployment.name == "korea" { 1_500 } else { 1_000 };
        }
        u64::from(deployment.link_delay_ms) * 1_000
    }

    /// Time at which a failure domain fails, in microseconds since the start of the arrivals, and the
    /// index of the domain; `None` if none fails.
    #[must_use]
    pub fn domain_failure(&self) -> Option<(u64, usize)> {
        let domains = self.settings.deployment.domains().len();
        self.settings.loses_domain.then_some((self.settings.seconds * 500_000, domains - 1))
    }
}

fn generate_requests(settings: &ModelSettings, size: &ServiceSize) -> Vec<ModelRequest> {
    let mut rng = StdRng::seed_from_u64(settings.seed);
    let slots = settings.deployment.total_slots(size.name);
    let rate = f64::from(slots) * 1e3 / size.service_ms * settings.load;
    let mut requests = Vec::new();
    let mut arrival_us = 0.0;
    loop {
        let uniform: f64 = rng.random::<f64>().max(f64::MIN_POSITIVE);
        arrival_us += -uniform.ln() / rate * 1e6;
        if arrival_us >= settings.seconds as f64 * 1e6 {
            return requests;
        }
        let is_skewed = rng.random_range(0..100) < settings.skew_percent;
        let entry = if is_skewed { 0 } else { rng.random_range(0..settings.entries) };
        let service_us = size.service_ms * 1e3 * lognormal(&mut rng);
        requests.push(ModelRequest {
            arrival_us: arrival_us as u64,
            entry,
            is_high_priority: rng.random_range(0..100) < HIGH_PRIORITY_PERCENT,
            service_us: (service_us as u64).max(1),
        });
    }
}

/// A log-normal sample with mean 1.
fn lognormal(rng: &mut StdRng) -> f64 {
    let uniform: f64 = rng.random::<f64>().max(f64::MIN_POSITIVE);
    let angle: f64 = rng.random::<f64>() * std::f64::consts::TAU;
    let normal = (-2.0 * uniform.ln()).sqrt() * angle.cos();
    (SERVICE_SHAPE * normal - SERVICE_SHAPE * SERVICE_SHAPE / 2.0).exp()
}
