//! Virtual time: events in order, endpoints with slots, and what is counted.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hdrhistogram::Histogram;

use super::model::ExperimentModel;

/// Something that a policy wants done.
#[derive(Clone, Copy, Debug)]
pub enum PolicyStep {
    /// Send a request from an entry to an endpoint.
    Send {
        /// Index of the request.
        request: usize,
        /// Entry that sends it.
        entry: usize,
        /// Index of the endpoint.
        endpoint: usize,
    },
    /// Give a request its refusal.
    Refuse(usize),
    /// Wake the policy up after a delay, with a number of its own.
    Wake {
        /// In how many microseconds.
        after_us: u64,
        /// The policy's number.
        token: u64,
    },
}

/// A policy under test. Times are microseconds.
pub trait SteeringPolicy {
    /// Name in reports.
    fn name(&self) -> String;
    /// Called once before the first arrival.
    fn begin(&mut self, model: &ExperimentModel) -> Vec<PolicyStep>;
    /// A request arrived at its entry.
    fn arrive(&mut self, now: u64, request: usize, model: &ExperimentModel) -> Vec<PolicyStep>;
    /// The work ended at the endpoint; only a policy with perfect knowledge may use this.
    fn work_ended(&mut self, now: u64, endpoint: usize) -> Vec<PolicyStep> {
        let _unused = (now, endpoint);
        Vec::new()
    }
    /// The answer, or a refusal of the endpoint, arrived back at the entry.
    fn answered(
        &mut self,
        now: u64,
        request: usize,
        endpoint: usize,
        end: AnswerEnd,
    ) -> Vec<PolicyStep>;
    /// Whether the policy is spared all distances, as a bound that no real one can reach.
    fn is_everywhere(&self) -> bool {
        false
    }
    /// Time that a request's answer travels on after it reached the entry that sent it.
    fn return_us(&self, request: usize) -> u64 {
        let _unused = request;
        0
    }
    /// A wake-up that the policy asked for.
    fn wake(&mut self, now: u64, token: u64) -> Vec<PolicyStep>;
    /// A failure domain died with its entry.
    fn domain_died(&mut self, now: u64, domain: usize) -> Vec<PolicyStep>;
}

/// How an exchange ended at the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// Served.
    Served,
    /// All slots in use; not run.
    Shed,
    /// The endpoint is dead.
    Dead,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum WorldEvent {
    Arrive(usize),
    Reach { request: usize, entry: usize, endpoint: usize },
    WorkEnd { request: usize, entry: usize, endpoint: usize },
    Answer { request: usize, endpoint: usize, end: u8 },
    Wake(u64),
    Die(usize),
}

/// Figures of one run.
#[derive(Clone, Debug)]
pub struct WorldReport {
    /// Name of the policy.
    pub name: String,
    /// Latency of important requests served, in microseconds.
    pub high: Histogram<u64>,
    /// Latency of other requests served, in microseconds.
    pub low: Histogram<u64>,
    /// Important requests that arrived.
    pub high_total: u64,
    /// Other requests that arrived.
    pub low_total: u64,
    /// Requests that endpoints had to refuse because all slots were in use: each one is a
    /// moment at which more was sent than the cap allows.
    pub over_cap: u64,
    /// Busy time of all slots over all time of all slots that lived.
    pub utilisation: f64,
}

impl WorldReport {
    /// Share of important requests served, in percent.
    #[must_use]
    pub fn high_served(&self) -> f64 {
        self.high.len() as f64 * 100.0 / self.high_total.max(1) as f64
    }

    /// Share of other requests served, in percent.
    #[must_use]
    pub fn low_served(&self) -> f64 {
        self.low.len() as f64 * 100.0 / self.low_total.max(1) as f64
    }
}

struct World<'run> {
    model: &'run ExperimentModel,
    events: BinaryHeap<Reverse<(u64, u64, WorldEvent)>>,
    sequence: u64,
    running: Vec<u32>,
    dead_domain: Option<usize>,
    is_everywhere: bool,
    report: WorldReport,
    busy_us: u64,
}

/// Longest latency recorded, in microseconds.
const LONGEST_US: u64 = 60_000_000;

/// Runs one policy over the model.
pub fn run_world(model: &ExperimentModel, policy: &mut dyn SteeringPolicy) -> WorldReport {
    let histogram = || {
        Histogram::new_with_bounds(1, LONGEST_US, 3)
            .expect("the bounds are constants that the histogram accepts")
    };
    let report = WorldReport {
        name: policy.name(),
        high: histogram(),
        low: histogram(),
        high_total: 0,
        low_total: 0,
        over_cap: 0,
        utilisation: 0.0,
    };
    let mut world = World {
        model,
        events: BinaryHeap::new(),
        sequence: 0,
        running: vec![0; model.endpoints.len()],
        dead_domain: None,
        is_everywhere: policy.is_everywhere(),
        report,
        busy_us: 0,
    };
    // Policies settle for some seconds before the first arrival.
    let settle_us = 5_000_000;
    let steps = policy.begin(model);
    world.carry_out(0, steps);
    for (index, request) in model.requests.iter().enumerate() {
        world.push(settle_us + request.at, WorldEvent::Arrive(index));
    }
    if let Some((at, domain)) = model.loss() {
        world.push(settle_us + at, WorldEvent::Die(domain));
    }
    let end = settle_us + (model.settings.seconds + 10) * 1_000_000;
    while let Some(Reverse((now, _, event))) = world.events.pop() {
        if now > end {
            break;
        }
        world.handle(now, event, policy);
    }
    world.finish()
}

impl World<'_> {
    fn push(&mut self, at: u64, event: WorldEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn carry_out(&mut self, now: u64, steps: Vec<PolicyStep>) {
        for step in steps {
            match step {
                PolicyStep::Send { request, entry, endpoint } => {
                    let delay = self.delay(entry, endpoint);
                    self.push(now + delay, WorldEvent::Reach { request, entry, endpoint });
                }
                PolicyStep::Refuse(_) => {}
                PolicyStep::Wake { after_us, token } => {
                    self.push(now + after_us, WorldEvent::Wake(token));
                }
            }
        }
    }

    fn delay(&self, entry: usize, endpoint: usize) -> u64 {
        if self.is_everywhere {
            return 0;
        }
        let from = self.model.domain_of_entry(entry);
        self.model.delay_us(from, self.model.endpoints[endpoint].domain)
    }

    fn is_dead(&self, domain: usize) -> bool {
        self.dead_domain == Some(domain)
    }

    fn handle(&mut self, now: u64, event: WorldEvent, policy: &mut dyn SteeringPolicy) {
        let steps = match event {
            WorldEvent::Arrive(request) => self.arrive(now, request, policy),
            WorldEvent::Reach { request, entry, endpoint } => {
                self.reach(now, request, entry, endpoint);
                Vec::new()
            }
            WorldEvent::WorkEnd { request, entry, endpoint } => {
                self.running[endpoint] -= 1;
                let delay = self.delay(entry, endpoint);
                self.push(now + delay, WorldEvent::Answer { request, endpoint, end: 0 });
                policy.work_ended(now, endpoint)
            }
            WorldEvent::Answer { request, endpoint, end } => {
                let end = match end {
                    0 => AnswerEnd::Served,
                    1 => AnswerEnd::Shed,
                    _ => AnswerEnd::Dead,
                };
                self.count(now + policy.return_us(request), request, end);
                policy.answered(now, request, endpoint, end)
            }
            WorldEvent::Wake(token) => policy.wake(now, token),
            WorldEvent::Die(domain) => {
                self.dead_domain = Some(domain);
                policy.domain_died(now, domain)
            }
        };
        self.carry_out(now, steps);
    }

    fn arrive(
        &mut self,
        now: u64,
        request: usize,
        policy: &mut dyn SteeringPolicy,
    ) -> Vec<PolicyStep> {
        let drawn = self.model.requests[request];
        // Callers of a dead entry have gone to others.
        if self.is_dead(self.model.domain_of_entry(drawn.entry)) {
            return Vec::new();
        }
        if drawn.is_high {
            self.report.high_total += 1;
        } else {
            self.report.low_total += 1;
        }
        policy.arrive(now, request, self.model)
    }

    fn reach(&mut self, now: u64, request: usize, entry: usize, endpoint: usize) {
        let place = &self.model.endpoints[endpoint];
        let back = now + self.delay(entry, endpoint);
        if self.is_dead(place.domain) {
            self.push(back, WorldEvent::Answer { request, endpoint, end: 2 });
            return;
        }
        if self.running[endpoint] >= place.slots {
            self.report.over_cap += 1;
            self.push(back, WorldEvent::Answer { request, endpoint, end: 1 });
            return;
        }
        self.running[endpoint] += 1;
        let service = self.model.requests[request].service_us;
        self.busy_us += service;
        self.push(now + service, WorldEvent::WorkEnd { request, entry, endpoint });
    }

    fn count(&mut self, now: u64, request: usize, end: AnswerEnd) {
        if end != AnswerEnd::Served {
            return;
        }
        let drawn = self.model.requests[request];
        let latency = now.saturating_sub(5_000_000 + drawn.at).max(1);
        let histogram = if drawn.is_high { &mut self.report.high } else { &mut self.report.low };
        histogram.saturating_record(latency);
    }

    fn finish(mut self) -> WorldReport {
        let seconds = self.model.settings.seconds as f64 * 1e6;
        let slots: u32 = self.model.endpoints.iter().map(|endpoint| endpoint.slots).sum();
        self.report.utilisation = self.busy_us as f64 / (f64::from(slots) * seconds);
        self.report
    }
}
