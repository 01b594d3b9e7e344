//! Baselines: an ideal central queue, and what is usually done.

use std::collections::{BTreeMap, HashMap};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::model::ExperimentModel;
use super::world::{AnswerEnd, PolicyStep, SteeringPolicy};

/// Tries of the baselines that learn of a full endpoint from its refusal.
const TRY_LIMIT: u8 = 4;
/// Time between load reports, in microseconds.
const REPORT_US: u64 = 1_000_000;

/// One queue with instant knowledge of every slot and no distances: a bound for every policy.
#[derive(Debug, Default)]
pub struct CentralQueue {
    free: Vec<u32>,
    domains: Vec<usize>,
    waiting: BTreeMap<(bool, usize), usize>,
    entries: HashMap<usize, usize>,
    entry_domains: Vec<usize>,
    dead: Option<usize>,
}

impl CentralQueue {
    fn pick(&self, entry: usize) -> Option<usize> {
        let home = self.entry_domains[entry];
        (0..self.free.len())
            .filter(|endpoint| {
                self.free[*endpoint] > 0 && Some(self.domains[*endpoint]) != self.dead
            })
            .min_by_key(|endpoint| {
                let domain = self.domains[*endpoint];
                (domain / 2 != home / 2, domain != home, u32::MAX - self.free[*endpoint])
            })
    }

    fn serve(&mut self) -> Vec<PolicyStep> {
        let mut steps = Vec::new();
        while let Some((key, request)) = self.waiting.first_key_value().map(|(k, v)| (*k, *v)) {
            let entry = self.entries[&request];
            let Some(endpoint) = self.pick(entry) else {
                break;
            };
            self.waiting.remove(&key);
            self.free[endpoint] -= 1;
            steps.push(PolicyStep::Send { request, entry, endpoint });
        }
        steps
    }
}

impl SteeringPolicy for CentralQueue {
    fn name(&self) -> String {
        "ideal central queue".to_owned()
    }

    fn is_everywhere(&self) -> bool {
        true
    }

    fn begin(&mut self, model: &ExperimentModel) -> Vec<PolicyStep> {
        self.free = model.endpoints.iter().map(|endpoint| endpoint.slots).collect();
        self.domains = model.endpoints.iter().map(|endpoint| endpoint.domain).collect();
        self.entry_domains =
            (0..model.settings.entries).map(|entry| model.domain_of_entry(entry)).collect();
        Vec::new()
    }

    fn arrive(&mut self, _: u64, request: usize, model: &ExperimentModel) -> Vec<PolicyStep> {
        let drawn = model.requests[request];
        self.entries.insert(request, drawn.entry);
        self.waiting.insert((!drawn.is_high, request), request);
        self.serve()
    }

    fn work_ended(&mut self, _: u64, endpoint: usize) -> Vec<PolicyStep> {
        self.free[endpoint] += 1;
        self.serve()
    }

    fn answered(&mut self, _: u64, _: usize, _: usize, _: AnswerEnd) -> Vec<PolicyStep> {
        Vec::new()
    }

    fn wake(&mut self, _: u64, _: u64) -> Vec<PolicyStep> {
        Vec::new()
    }

    fn domain_died(&mut self, _: u64, domain: usize) -> Vec<PolicyStep> {
        self.dead = Some(domain);
        Vec::new()
    }
}

/// What the usual policies share: each entry picks an endpoint by itself, and a full endpoint
/// refuses.
#[derive(Debug, Default)]
struct UsualState {
    tries: HashMap<usize, u8>,
    entries: HashMap<usize, usize>,
    count: usize,
}

impl UsualState {
    fn retry(&mut self, request: usize) -> bool {
        let tries = self.tries.entry(request).or_insert(1);
        *tries += 1;
        *tries <= TRY_LIMIT
    }
}

macro_rules! usual_policy {
    ($name:ident, $text:literal) => {
        impl SteeringPolicy for $name {
            fn name(&self) -> String {
                $text.to_owned()
            }

            fn begin(&mut self, model: &ExperimentModel) -> Vec<PolicyStep> {
                self.state.count = model.endpoints.len();
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
                let endpoint = self.choose(entry);
                vec![PolicyStep::Send { request, entry, endpoint }]
            }

            fn answered(
                &mut self,
                _: u64,
                request: usize,
                endpoint: usize,
                end: AnswerEnd,
            ) -> Vec<PolicyStep> {
                let entry = self.state.entries[&request];
                self.ended(entry, endpoint);
                if end == AnswerEnd::Served || !self.state.retry(request) {
                    return Vec::new();
                }
                let endpoint = self.choose(entry);
                vec![PolicyStep::Send { request, entry, endpoint }]
            }

            fn wake(&mut self, _: u64, token: u64) -> Vec<PolicyStep> {
                self.report(token)
            }

            fn domain_died(&mut self, _: u64, _: usize) -> Vec<PolicyStep> {
                Vec::new()
            }
        }
    };
}

/// Each entry takes endpoints in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    state: UsualState,
    next: HashMap<usize, usize>,
}

impl RoundRobin {
    fn start(&mut self, _: &ExperimentModel) -> Vec<PolicyStep> {
        Vec::new()
    }

    fn choose(&mut self, entry: usize) -> usize {
        let count = self.state.count;
        let next = self.next.entry(entry).or_insert(entry * 5);
        *next += 1;
        *next % count
    }

    fn ended(&mut self, _: usize, _: usize) {}

    fn report(&mut self, _: u64) -> Vec<PolicyStep> {
        Vec::new()
    }
}

usual_policy!(RoundRobin, "round robin");

/// Each entry takes the endpoint with the fewest requests of its own in flight.
#[derive(Debug)]
pub struct LeastInFlight {
    state: UsualState,
    in_flight: HashMap<(usize, usize), u32>,
    generator: StdRng,
}

impl LeastInFlight {
    /// Ties are broken by a generator with this seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            state: UsualState::default(),
            in_flight: HashMap::new(),
            generator: StdRng::seed_from_u64(seed),
        }
    }

    fn start(&mut self, _: &ExperimentModel) -> Vec<PolicyStep> {
        Vec::new()
    }

    fn choose(&mut self, entry: usize) -> usize {
        let offset = self.generator.random_range(0..self.state.count);
        let best = (0..self.state.count)
            .map(|index| (index + offset) % self.state.count)
            .min_by_key(|endpoint| self.in_flight.get(&(entry, *endpoint)).copied().unwrap_or(0))
            .unwrap_or(0);
        *self.in_flight.entry((entry, best)).or_default() += 1;
        best
    }

    fn ended(&mut self, entry: usize, endpoint: usize) {
        if let Some(count) = self.in_flight.get_mut(&(entry, endpoint)) {
            *count -= 1;
        }
    }

    fn report(&mut self, _: u64) -> Vec<PolicyStep> {
        Vec::new()
    }
}

usual_policy!(LeastInFlight, "least in flight");

/// Each entry takes the better of two endpoints by the load that they last reported.
#[derive(Debug)]
pub struct PowerOfTwo {
    state: UsualState,
    sent: Vec<u32>,
    reported: Vec<u32>,
    generator: StdRng,
}

impl PowerOfTwo {
    /// Pairs are drawn by a generator with this seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            state: UsualState::default(),
            sent: Vec::new(),
            reported: Vec::new(),
            generator: StdRng::seed_from_u64(seed),
        }
    }

    fn start(&mut self, model: &ExperimentModel) -> Vec<PolicyStep> {
        self.sent = vec![0; model.endpoints.len()];
        self.reported = vec![0; model.endpoints.len()];
        vec![PolicyStep::Wake { after_us: REPORT_US, token: 0 }]
    }

    fn choose(&mut self, _: usize) -> usize {
        let one = self.generator.random_range(0..self.state.count);
        let two = self.generator.random_range(0..self.state.count);
        let best = if self.reported[one] <= self.reported[two] { one } else { two };
        self.sent[best] += 1;
        best
    }

    fn ended(&mut self, _: usize, endpoint: usize) {
        self.sent[endpoint] -= 1;
    }

    fn report(&mut self, token: u64) -> Vec<PolicyStep> {
        self.reported.clone_from(&self.sent);
        vec![PolicyStep::Wake { after_us: REPORT_US, token }]
    }
}

usual_policy!(PowerOfTwo, "power of two, reported load");
