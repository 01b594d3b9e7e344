//! What every policy of a run shares: places, delays, arrivals and service times.

use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::deployment::{Deployment, ServiceSize};

/// Delay inside a failure domain, in microseconds.
const LOCAL_DELAY_US: u64 = 100;
/// Shape of log-normal service times.
const SERVICE_SHAPE: f64 = 0.5;
/// Share of important requests, in percent.
const HIGH_PERCENT: u32 = 30;

/// Settings of one run.
#[derive(Clone, Copy, Debug)]
pub struct ModelSettings {
    /// The deployment.
    pub deployment: Deployment,
    /// Which of its services.
    pub service: usize,
    /// Entries.
    pub entries: usize,
    /// Offered load, as a part of the slots' capacity.
    pub load: f64,
    /// Part of the requests that prefer the first entry, in percent.
    pub skew_percent: u32,
    /// Length in seconds.
    pub seconds: u64,
    /// Fixes arrivals and service times.
    pub seed: u64,
    /// Whether the last failure domain dies in the middle, with its entry.
    pub loses_domain: bool,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub struct ModelEndpoint {
    /// Address by which policies name it.
    pub address: SocketAddr,
    /// Index of its failure domain.
    pub domain: usize,
    /// Slots.
    pub slots: u32,
}

/// One request before any decision.
#[derive(Clone, Copy, Debug)]
pub struct ModelRequest {
    /// Arrival in microseconds.
    pub at: u64,
    /// Entry where it arrives.
    pub entry: usize,
    /// Whether it is important.
    pub is_high: bool,
    /// Time that it needs at an endpoint, in microseconds.
    pub service_us: u64,
}

/// The shared model.
#[derive(Clone, Debug)]
pub struct ExperimentModel {
    /// Settings it was made from.
    pub settings: ModelSettings,
    /// Size of the service.
    pub size: ServiceSize,
    /// Endpoints.
    pub endpoints: Vec<ModelEndpoint>,
    /// Requests in the order of arrival.
    pub requests: Vec<ModelRequest>,
}

impl ExperimentModel {
    /// Draws the model of a run.
    #[must_use]
    pub fn draw(settings: ModelSettings) -> Self {
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
        let requests = draw_requests(&settings, &size);
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

    /// When the domain dies, in microseconds, and which one.
    #[must_use]
    pub fn loss(&self) -> Option<(u64, usize)> {
        let domains = self.settings.deployment.domains().len();
        self.settings.loses_domain.then_some((self.settings.seconds * 500_000, domains - 1))
    }
}

fn draw_requests(settings: &ModelSettings, size: &ServiceSize) -> Vec<ModelRequest> {
    let mut generator = StdRng::seed_from_u64(settings.seed);
    let slots = settings.deployment.total_slots(size.name);
    let rate = f64::from(slots) * 1e3 / size.service_ms * settings.load;
    let mut requests = Vec::new();
    let mut at = 0.0;
    loop {
        let uniform: f64 = generator.random::<f64>().max(f64::MIN_POSITIVE);
        at += -uniform.ln() / rate * 1e6;
        if at >= settings.seconds as f64 * 1e6 {
            return requests;
        }
        let is_skewed = generator.random_range(0..100) < settings.skew_percent;
        let entry = if is_skewed { 0 } else { generator.random_range(0..settings.entries) };
        let service = size.service_ms * 1e3 * lognormal(&mut generator);
        requests.push(ModelRequest {
            at: at as u64,
            entry,
            is_high: generator.random_range(0..100) < HIGH_PERCENT,
            service_us: (service as u64).max(1),
        });
    }
}

/// A log-normal sample of mean 1.
fn lognormal(generator: &mut StdRng) -> f64 {
    let uniform: f64 = generator.random::<f64>().max(f64::MIN_POSITIVE);
    let angle: f64 = generator.random::<f64>() * std::f64::consts::TAU;
    let normal = (-2.0 * uniform.ln()).sqrt() * angle.cos();
    (SERVICE_SHAPE * normal - SERVICE_SHAPE * SERVICE_SHAPE / 2.0).exp()
}
