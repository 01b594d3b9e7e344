//! Discrete-event simulation of entries and endpoints with slots, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hdrhistogram::Histogram;

use super::model::ExperimentModel;

/// A step that a policy requests of the simulation.
#[derive(Clone, Copy, Debug)]
pub enum PolicyStep {
    /// Send a request from an entry to an endpoint.
    Send {
        /// Index of the request.
        request: usize,
        /// Index of the entry that sends it.
        entry: usize,
        /// Index of the endpoint.
        endpoint: usize,
    },
    /// Refuse a request, by its index.
    Refuse(usize),
    /// Call [`SteeringPolicy::wake`] after a delay.
    Wake {
        /// Delay in microseconds.
        after_us: u64,
        /// Value passed to the call.
        token: u64,
    },
}

/// A policy under test. Times are in microseconds of virtual time.
pub trait SteeringPolicy {
    /// Name of the policy in reports.
    fn name(&self) -> String;
    /// Called once, before the first arrival.
    fn begin(&mut self, model: &ExperimentModel) -> Vec<PolicyStep>;
    /// Called when a request arrived at its entry.
    fn arrive(&mut self, now: u64, request: usize, model: &ExperimentModel) -> Vec<PolicyStep>;
    /// Called when work ended at an endpoint. Only a policy with perfect knowledge may use this.
    fn work_ended(&mut self, now: u64, endpoint: usize) -> Vec<PolicyStep> {
        let _unused = (now, endpoint);
        Vec::new()
    }
    /// Called when a response or a refusal of an endpoint arrived at the entry.
    fn exchange_ended(
        &mut self,
        now: u64,
        request: usize,
        endpoint: usize,
        outcome: ExchangeOutcome,
    ) -> Vec<PolicyStep>;
    /// Whether the policy has no network delays, as a bound that no real policy can reach.
    fn ignores_network_delay(&self) -> bool {
        false
    }
    /// Time that a request's response takes from the entry that sent the request to the entry where
    /// the request arrived.
    fn return_delay_us(&self, request: usize) -> u64 {
        let _unused = request;
        0
    }
    /// Called when a requested wake-up is due.
    fn wake(&mut self, now: u64, token: u64) -> Vec<PolicyStep>;
    /// Called when a failure domain, with its entries, failed.
    fn domain_failed(&mut self, now: u64, domain: usize) -> Vec<PolicyStep>;
}

/// Outcome of an exchange with an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeOutcome {
    /// The endpoint served the request.
    Served,
    /// All slots were in use; the request did not run.
    Shed,
    /// The endpoint has failed; the request did not run.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrive(usize),
    Reach { request: usize, entry: usize, endpoint: usize },
    WorkEnd { request: usize, entry: usize, endpoint: usize },
    ExchangeEnd { request: usize, endpoint: usize, outcome: u8 },
    Wake(u64),
    DomainFailure(usize),
}

/// Results of one run.
#[derive(Clone, Debug)]
pub struct SimulationReport {
    /// Name of the policy.
    pub name: String,
    /// Latency of the high-priority requests served, in microseconds.
    pub high: Histogram<u64>,
    /// Latency of the low-priority requests served, in microseconds.
    pub low: Histogram<u64>,
    /// Number of high-priority requests that arrived.
    pub high_total: u64,
    /// Number of low-priority requests that arrived.
    pub low_total: u64,
    /// Number of requests that endpoints refused because all slots were in use, that is, requests
    /// sent above the endpoint's cap.
    pub over_cap: u64,
    /// Service time of all requests that started, as a fraction of the time of all slots during
    /// the arrivals. The slots of a failed domain are included, and so is work that starts after the
    /// last arrival, so the value can exceed 1.
    pub utilisation: f64,
}

impl SimulationReport {
    /// Share of the high-priority requests that were served, in percent.
    #[must_use]
    pub fn high_served(&self) -> f64 {
        self.high.len() as f64 * 100.0 / self.high_total.max(1) as f64
    }

    /// Share of the low-priority requests that were served, in percent.
    #[must_use]
    pub fn low_served(&self) -> f64 {
        self.low.len() as f64 * 100.0 / self.low_total.max(1) as f64
    }
}

struct Simulation<'run> {
    model: &'run ExperimentModel,
    events: BinaryHeap<Reverse<(u64, u64, SimulationEvent)>>,
    sequence: u64,
    running: Vec<u32>,
    failed_domain: Option<usize>,
    ignores_network_delay: bool,
    report: SimulationReport,
    busy_us: u64,
}

/// Maximum latency recorded, in microseconds; longer ones are clamped to it.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Runs one policy over the model and returns the results.
pub fn run_simulation(
    model: &ExperimentModel,
    policy: &mut dyn SteeringPolicy,
) -> SimulationReport {
    let histogram = || {
        Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
            .expect("the bounds are constants that the histogram accepts")
    };
    let report = SimulationReport {
        name: policy.name(),
        high: histogram(),
        low: histogram(),
        high_total: 0,
        low_total: 0,
        over_cap: 0,
        utilisation: 0.0,
    };
    let mut simulation = Simulation {
        model,
        events: BinaryHeap::new(),
        sequence: 0,
        running: vec![0; model.endpoints.len()],
        failed_domain: None,
        ignores_network_delay: policy.ignores_network_delay(),
        report,
        busy_us: 0,
    };
    // Arrivals start after 5 s, so that leases and ownership of endpoints can settle first.
    let warm_up_us = 5_000_000;
    let steps = policy.begin(model);
    simulation.apply_steps(0, steps);
    for (index, request) in model.requests.iter().enumerate() {
        simulation.push(warm_up_us + request.arrival_us, SimulationEvent::Arrive(index));
    }
    if let Some((at, domain)) = model.domain_failure() {
        simulation.push(warm_up_us + at, SimulationEvent::DomainFailure(domain));
    }
    let end = warm_up_us + (model.settings.seconds + 10) * 1_000_000;
    while let Some(Reverse((now, _, event))) = simulation.events.pop() {
        if now > end {
            break;
        }
        simulation.handle(now, event, policy);
    }
    simulation.finish()
}

impl Simulation<'_> {
    fn push(&mut self, at: u64, event: SimulationEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn apply_steps(&mut self, now: u64, steps: Vec<PolicyStep>) {
        for step in steps {
            match step {
                PolicyStep::Send { request, entry, endpoint } => {
                    let delay = self.delay(entry, endpoint);
                    self.push(now + delay, SimulationEvent::Reach { request, entry, endpoint });
                }
                PolicyStep::Refuse(_) => {}
                PolicyStep::Wake { after_us, token } => {
                    self.push(now + after_us, SimulationEvent::Wake(token));
                }
            }
        }
    }

    fn delay(&self, entry: usize, endpoint: usize) -> u64 {
        if self.ignores_network_delay {
            return 0;
        }
        let from = self.model.domain_of_entry(entry);
        self.model.delay_us(from, self.model.endpoints[endpoint].domain)
    }

    fn has_failed(&self, domain: usize) -> bool {
        self.failed_domain == Some(domain)
    }

    fn handle(&mut self, now: u64, event: SimulationEvent, policy: &mut dyn SteeringPolicy) {
        let steps = match event {
            SimulationEvent::Arrive(request) => self.arrive(now, request, policy),
            SimulationEvent::Reach { request, entry, endpoint } => {
                self.reach_endpoint(now, request, entry, endpoint);
                Vec::new()
            }
            SimulationEvent::WorkEnd { request, entry, endpoint } => {
                self.running[endpoint] -= 1;
                let delay = self.delay(entry, endpoint);
                self.push(
                    now + delay,
                    SimulationEvent::ExchangeEnd { request, endpoint, outcome: 0 },
                );
                policy.work_ended(now, endpoint)
            }
            SimulationEvent::ExchangeEnd { request, endpoint, outcome } => {
                let outcome = match outcome {
                    0 => ExchangeOutcome::Served,
                    1 => ExchangeOutcome::Shed,
                    _ => ExchangeOutcome::Failed,
                };
                self.record_exchange(now + policy.return_delay_us(request), request, outcome);
                policy.exchange_ended(now, request, endpoint, outcome)
            }
            SimulationEvent::Wake(token) => policy.wake(now, token),
            SimulationEvent::DomainFailure(domain) => {
                self.failed_domain = Some(domain);
                policy.domain_failed(now, domain)
            }
        };
        self.apply_steps(now, steps);
    }

    fn arrive(
        &mut self,
        now: u64,
        request: usize,
        policy: &mut dyn SteeringPolicy,
    ) -> Vec<PolicyStep> {
        let details = self.model.requests[request];
        // Callers of an entry in the failed domain use other entries; their requests are left out.
        if self.has_failed(self.model.domain_of_entry(details.entry)) {
            return Vec::new();
        }
        if details.is_high_priority {
            self.report.high_total += 1;
        } else {
            self.report.low_total += 1;
        }
        policy.arrive(now, request, self.model)
    }

    fn reach_endpoint(&mut self, now: u64, request: usize, entry: usize, endpoint: usize) {
        let target = &self.model.endpoints[endpoint];
        let response_at = now + self.delay(entry, endpoint);
        if self.has_failed(target.domain) {
            self.push(response_at, SimulationEvent::ExchangeEnd { request, endpoint, outcome: 2 });
            return;
        }
        if self.running[endpoint] >= target.slots {
            self.report.over_cap += 1;
            self.push(response_at, SimulationEvent::ExchangeEnd { request, endpoint, outcome: 1 });
            return;
        }
        self.running[endpoint] += 1;
        let service = self.model.requests[request].service_us;
        self.busy_us += service;
        self.push(now + service, SimulationEvent::WorkEnd { request, entry, endpoint });
    }

    fn record_exchange(&mut self, now: u64, request: usize, outcome: ExchangeOutcome) {
        if outcome != ExchangeOutcome::Served {
            return;
        }
        let details = self.model.requests[request];
        let latency = now.saturating_sub(5_000_000 + details.arrival_us).max(1);
        let histogram =
            if details.is_high_priority { &mut self.report.high } else { &mut self.report.low };
        histogram.saturating_record(latency);
    }

    fn finish(mut self) -> SimulationReport {
        let seconds = self.model.settings.seconds as f64 * 1e6;
        let slots: u32 = self.model.endpoints.iter().map(|endpoint| endpoint.slots).sum();
        self.report.utilisation = self.busy_us as f64 / (f64::from(slots) * seconds);
        self.report
    }
}
