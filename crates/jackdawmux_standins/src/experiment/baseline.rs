//! Baseline policies: an ideal central queue and common load balancing policies.

use std::collections::{BTreeMap, HashMap};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::model::ExperimentModel;
use super::simulation::{ExchangeOutcome, PolicyStep, SteeringPolicy};

/// Maximum attempts of a request in the policies that detect a full endpoint by its refusal.
const MAX_ATTEMPTS: u8 = 4;
/// Interval between load reports, in microseconds.
const REPORT_INTERVAL_US: u64 = 1_000_000;

/// One queue with immediate knowledge of every slot and no network delays: a bound that no real
/// policy can reach.
#[derive(Debug, Default)]
pub struct CentralQueue {
    free_slots: Vec<u32>,
    domains: Vec<usize>,
    waiting: BTreeMap<(bool, usize), usize>,
    entries: HashMap<usize, usize>,
    entry_domains: Vec<usize>,
    failed_domain: Option<usize>,
}

impl CentralQueue {
    fn select_endpoint(&self, entry: usize) -> Option<usize> {
        let entry_domain = self.entry_domains[entry];
        (0..self.free_slots.len())
            .filter(|endpoint| {
                self.free_slots[*endpoint] > 0
                    && Some(self.domains[*endpoint]) != self.failed_domain
            })
            .min_by_key(|endpoint| {
                let domain = self.domains[*endpoint];
                (
                    domain / 2 != entry_domain / 2,
                    domain != entry_domain,
                    u32::MAX - self.free_slots[*endpoint],
                )
            })
    }

    fn dispatch_waiting(&mut self) -> Vec<PolicyStep> {
        let mut steps = Vec::new();
        while let Some((key, request)) = self.waiting.first_key_value().map(|(k, v)| (*k, *v)) {
            let entry = self.entries[&request];
            let Some(endpoint) = self.select_endpoint(entry) else {
                break;
            };
            self.waiting.remove(&key);
            self.free_slots[endpoint] -= 1;
            steps.push(PolicyStep::Send { request, entry, endpoint });
        }
        steps
    }
}

impl SteeringPolicy for CentralQueue {
    fn name(&self) -> String {
        "ideal central queue".to_owned()
    }

    fn ignores_network_delay(&self) -> bool {
        true
    }

    fn begin(&mut self, model: &ExperimentModel) -> Vec<PolicyStep> {
        self.free_slots = model.endpoints.iter().map(|endpoint| endpoint.slots).collect();
        self.domains = model.endpoints.iter().map(|endpoint| endpoint.domain).collect();
        self.entry_domains =
            (0..model.settings.entries).map(|entry| model.domain_of_entry(entry)).collect();
        Vec::new()
    }

    fn arrive(&mut self, _: u64, request: usize, model: &ExperimentModel) -> Vec<PolicyStep> {
        let details = model.requests[request];
        self.entries.insert(request, details.entry);
        self.waiting.insert((!details.is_high_priority, request), request);
        self.dispatch_waiting()
    }

    fn work_ended(&mut self, _: u64, endpoint: usize) -> Vec<PolicyStep> {
        self.free_slots[endpoint] += 1;
        self.dispatch_waiting()
    }

    fn exchange_ended(
        &mut self,
        _: u64,
        _: usize,
        _: usize,
        _: ExchangeOutcome,
    ) -> Vec<PolicyStep> {
        Vec::new()
    }

    fn wake(&mut self, _: u64, _: u64) -> Vec<PolicyStep> {
        Vec::new()
    }

    fn domain_failed(&mut self, _: u64, domain: usize) -> Vec<PolicyStep> {
        self.failed_domain = Some(domain);
        Vec::new()
    }
}

/// State of the policies in which each entry selects endpoints by itself and a full endpoint
/// refuses.
#[derive(Debug, Default)]
struct BaselineState {
    attempts: HashMap<usize, u8>,
    entries: HashMap<usize, usize>,
    endpoint_count: usize,
}

impl BaselineState {
    fn count_retry(&mut self, request: usize) -> bool {
        let attempts = self.attempts.entry(request).or_insert(1);
        *attempts += 1;
        *attempts <= MAX_ATTEMPTS
    }
}

macro_rules! baseline_policy {
    ($name:ident, $text:literal) => {
        impl SteeringPolicy for $name {
            fn name(&self) -> String {
                $text.to_owned()
            }

            fn begin(&mut self, model: &ExperimentModel) -> Vec<PolicyStep> {
                self.state.endpoint_count = model.endpoints.len();
                self.start(model)
            }

            fn arrive(
                &mut self,
                _: u64,
                request: usize,
                model: &ExperimentModel,
            ) -> Vec<PolicyStep> {
                let entry = model.requests[request].entry;
                self.state.entries.insert(request, entry);
                let endpoint = self.select_endpoint(entry);
                vec![PolicyStep::Send { request, entry, endpoint }]
            }

            fn exchange_ended(
                &mut self,
                _: u64,
                request: usize,
                endpoint: usize,
                outcome: ExchangeOutcome,
            ) -> Vec<PolicyStep> {
                let entry = self.state.entries[&request];
                self.record_exchange(entry, endpoint);
                if outcome == ExchangeOutcome::Served || !self.state.count_retry(request) {
                    return Vec::new();
                }
                let endpoint = self.select_endpoint(entry);
                vec![PolicyStep::Send { request, entry, endpoint }]
            }

            fn wake(&mut self, _: u64, token: u64) -> Vec<PolicyStep> {
                self.report_load(token)
            }

            fn domain_failed(&mut self, _: u64, _: usize) -> Vec<PolicyStep> {
                Vec::new()
            }
        }
    };
}

/// Each entry selects endpoints in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    state: BaselineState,
    next: HashMap<usize, usize>,
}

impl RoundRobin {
    fn start(&mut self, _: &ExperimentModel) -> Vec<PolicyStep> {
        Vec::new()
    }

    fn select_endpoint(&mut self, entry: usize) -> usize {
        let endpoint_count = self.state.endpoint_count;
        let next = self.next.entry(entry).or_insert(entry * 5);
        *next += 1;
        *next % endpoint_count
    }

    fn record_exchange(&mut self, _: usize, _: usize) {}

    fn report_load(&mut self, _: u64) -> Vec<PolicyStep> {
        Vec::new()
    }
}

baseline_policy!(RoundRobin, "round robin");

/// Each entry selects the endpoint with the fewest of the entry's own requests in flight.
#[derive(Debug)]
pub struct LeastInFlight {
    state: BaselineState,
    in_flight: HashMap<(usize, usize), u32>,
    rng: StdRng,
}

impl LeastInFlight {
    /// Creates the policy; `seed` determines how ties are broken.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            state: BaselineState::default(),
            in_flight: HashMap::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn start(&mut self, _: &ExperimentModel) -> Vec<PolicyStep> {
        Vec::new()
    }

    fn select_endpoint(&mut self, entry: usize) -> usize {
        let offset = self.rng.random_range(0..self.state.endpoint_count);
        let best = (0..self.state.endpoint_count)
            .map(|index| (index + offset) % self.state.endpoint_count)
            .min_by_key(|endpoint| self.in_flight.get(&(entry, *endpoint)).copied().unwrap_or(0))
            .unwrap_or(0);
        *self.in_flight.entry((entry, best)).or_default() += 1;
        best
    }

    fn record_exchange(&mut self, entry: usize, endpoint: usize) {
        if let Some(count) = self.in_flight.get_mut(&(entry, endpoint)) {
            *count -= 1;
        }
    }

    fn report_load(&mut self, _: u64) -> Vec<PolicyStep> {
        Vec::new()
    }
}

baseline_policy!(LeastInFlight, "least in flight");

/// Each entry selects the less loaded of two random endpoints by their last load reports.
#[derive(Debug)]
pub struct PowerOfTwo {
    state: BaselineState,
    in_flight: Vec<u32>,
    reported: Vec<u32>,
    rng: StdRng,
}

impl PowerOfTwo {
    /// Creates the policy; `seed` determines the pairs of endpoints.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            state: BaselineState::default(),
            in_flight: Vec::new(),
            reported: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn start(&mut self, model: &ExperimentModel) -> Vec<PolicyStep> {
        self.in_flight = vec![0; model.endpoints.len()];
        self.reported = vec![0; model.endpoints.len()];
        vec![PolicyStep::Wake { after_us: REPORT_INTERVAL_US, token: 0 }]
    }

    fn select_endpoint(&mut self, _: usize) -> usize {
        let first = self.rng.random_range(0..self.state.endpoint_count);
        let second = self.rng.random_range(0..self.state.endpoint_count);
        let best = if self.reported[first] <= self.reported[second] { first } else { second };
        self.in_flight[best] += 1;
        best
    }

    fn record_exchange(&mut self, _: usize, endpoint: usize) {
        self.in_flight[endpoint] -= 1;
    }

    fn report_load(&mut self, token: u64) -> Vec<PolicyStep> {
        self.reported.clone_from(&self.in_flight);
        vec![PolicyStep::Wake { after_us: REPORT_INTERVAL_US, token }]
    }
}

baseline_policy!(PowerOfTwo, "power of two, reported load");
