//! The steering state machines of all entries as one policy.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::endpoint::ExchangeResult;
use jackdawmux_policy::group::{GroupMember, GroupView};
use jackdawmux_policy::identity::{IncarnationId, RequestId};
use jackdawmux_policy::lease::LeaseCommittee;
use jackdawmux_policy::message::{ServiceReport, SteeringMessage};
use jackdawmux_policy::scheduler::SlotRequest;
use jackdawmux_policy::steering::{InstanceSteering, SteeringAction, SteeringSettings};
use jackdawmux_policy::table::{RequestPriority, RouteTable};
use jackdawmux_rules::parse_rules;
use smallvec::SmallVec;

use super::model::ExperimentModel;
use super::world::{AnswerEnd, PolicyStep, SteeringPolicy};

/// Time between heartbeats, in microseconds.
const HEARTBEAT_US: u64 = 200_000;
/// Time of a store call, in microseconds.
const STORE_US: u64 = 5_000;
/// Time allowed for a request, in microseconds.
const TIMEOUT_US: u64 = 5_000_000;
/// Tries of one request.
const TRY_LIMIT: u64 = 4;

#[derive(Debug)]
enum Pending {
    Heartbeat(usize),
    Message {
        from: usize,
        to: IncarnationId,
        message: SteeringMessage,
    },
    Write {
        from: usize,
        expected: u64,
        view: GroupView,
    },
    /// A request reaches the entry that it was passed on to.
    Passed {
        request: usize,
        to: usize,
    },
    /// A refusal of such an entry, or its counts with an answer, reach the first entry.
    Back {
        request: usize,
        from: usize,
        is_refused: bool,
        report: Option<ServiceReport>,
    },
}

/// All entries of a deployment.
#[derive(Debug)]
pub struct FleetPolicy {
    name: String,
    settings: SteeringSettings,
    nodes: Vec<InstanceSteering>,
    ids: Vec<IncarnationId>,
    is_dead: Vec<bool>,
    domains: Vec<String>,
    domain_indexes: Vec<usize>,
    delays: Vec<Vec<u64>>,
    service: String,
    endpoints: HashMap<SocketAddr, usize>,
    addresses: Vec<SocketAddr>,
    store: (u64, GroupView),
    pending: HashMap<u64, Pending>,
    next_token: u64,
    requests: HashMap<usize, Tracked>,
    passed: u64,
    /// Entries to which answers of passed requests travel.
    returns: HashMap<usize, usize>,
}

#[derive(Clone, Debug)]
struct Tracked {
    /// Entry where it arrived.
    origin: usize,
    /// Entry that serves it.
    server: usize,
    may_pass: bool,
    is_high: bool,
    deadline: u64,
    tries: u64,
    excluded: SmallVec<[SocketAddr; 2]>,
}

impl FleetPolicy {
    /// A fleet under the given settings.
    #[must_use]
    pub fn new(name: &str, settings: SteeringSettings) -> Self {
        Self {
            name: name.to_owned(),
            settings,
            nodes: Vec::new(),
            ids: Vec::new(),
            is_dead: Vec::new(),
            domains: Vec::new(),
            domain_indexes: Vec::new(),
            delays: Vec::new(),
            service: String::new(),
            endpoints: HashMap::new(),
            addresses: Vec::new(),
            store: (0, GroupView::default()),
            pending: HashMap::new(),
            next_token: 0,
            requests: HashMap::new(),
            passed: 0,
            returns: HashMap::new(),
        }
    }

    /// Requests passed on so far.
    #[must_use]
    pub const fn passed(&self) -> u64 {
        self.passed
    }

    fn time(now: u64) -> PolicyTime {
        PolicyTime(now + 1)
    }

    fn later(&mut self, after_us: u64, pending: Pending) -> PolicyStep {
        self.next_token += 1;
        self.pending.insert(self.next_token, pending);
        PolicyStep::Wake { after_us, token: self.next_token }
    }

    fn table(&self, model: &ExperimentModel) -> RouteTable {
        let mut addresses = [Vec::new(), Vec::new()];
        addresses[model.settings.service].clone_from(&self.addresses);
        let rules = model.settings.deployment.rules(&addresses);
        // Only the service under test has endpoints; rules about the other one have no meaning.
        let kept: Vec<&str> = rules
            .lines()
            .filter(|line| !line.starts_with("operation ") || line.contains(model.size.name))
            .collect();
        parse_rules("experiment", kept.join("\n").as_bytes())
            .map(|file| file.compile())
            .unwrap_or_default()
    }

    fn carry_out(
        &mut self,
        now: u64,
        node: usize,
        actions: Vec<SteeringAction>,
    ) -> Vec<PolicyStep> {
        let mut steps = Vec::new();
        for action in actions {
            match action {
                SteeringAction::Dispatch { id, endpoint, .. } => {
                    let request = request_of(id);
                    let endpoint = self.endpoints[&endpoint];
                    steps.push(PolicyStep::Send { request, entry: node, endpoint });
                }
                SteeringAction::ForwardToPeer { id, peer } => {
                    steps.extend(self.pass_on(node, request_of(id), peer));
                }
                SteeringAction::Refuse { id, .. } => {
                    steps.extend(self.refuse(now, node, request_of(id)));
                }
                SteeringAction::Send(to, message) => {
                    steps.extend(self.send(node, to, message));
                }
                SteeringAction::WriteView { expected, view } => {
                    let write = Pending::Write { from: node, expected, view };
                    steps.push(self.later(STORE_US, write));
                }
                SteeringAction::CloseIdle(_)
                | SteeringAction::ReadView
                | SteeringAction::ConfigBehind(_)
                | SteeringAction::Event(..) => {}
            }
        }
        steps
    }

    fn send(
        &mut self,
        from: usize,
        to: IncarnationId,
        message: SteeringMessage,
    ) -> Option<PolicyStep> {
        let target = self.ids.iter().position(|id| *id == to)?;
        let delay = self.delays[from][target];
        Some(self.later(delay, Pending::Message { from, to, message }))
    }

    fn pass_on(&mut self, node: usize, request: usize, peer: IncarnationId) -> Option<PolicyStep> {
        let to = self.ids.iter().position(|id| *id == peer)?;
        let tracked = self.requests.get_mut(&request)?;
        tracked.server = to;
        tracked.may_pass = false;
        self.passed += 1;
        let delay = self.delays[node][to];
        Some(self.later(delay, Pending::Passed { request, to }))
    }

    /// A refusal goes back to the entry where the request arrived, which may still queue it.
    fn refuse(&mut self, now: u64, node: usize, request: usize) -> Option<PolicyStep> {
        let origin = self.requests.get(&request)?.origin;
        if origin == node {
            self.requests.remove(&request);
            return Some(PolicyStep::Refuse(request));
        }
        let report = self.nodes[node].service_report(Self::time(now), &self.service);
        let delay = self.delays[node][origin];
        Some(self.later(delay, Pending::Back { request, from: node, is_refused: true, report }))
    }

    fn show_store(&mut self, now: u64, node: usize, is_write_end: bool) -> Vec<PolicyStep> {
        self.nodes[node].record_store_reply(Self::time(now), is_write_end);
        let (version, view) = self.store.clone();
        if version == 0 {
            return Vec::new();
        }
        let actions = self.nodes[node].apply_view(Self::time(now), version, view);
        self.carry_out(now, node, actions)
    }

    fn take_back(
        &mut self,
        now: u64,
        request: usize,
        from: usize,
        is_refused: bool,
        report: Option<ServiceReport>,
    ) -> Vec<PolicyStep> {
        let returned = self.returns.remove(&request);
        let origin = self.requests.get(&request).map(|tracked| tracked.origin).or(returned);
        let Some(origin) = origin.filter(|origin| !self.is_dead[*origin]) else {
            return Vec::new();
        };
        let peer = self.ids[from];
        if let Some(report) = report {
            self.nodes[origin].receive_counts(peer, report);
        }
        if !is_refused {
            return Vec::new();
        }
        if let Some(tracked) = self.requests.get_mut(&request) {
            tracked.server = tracked.origin;
        }
        self.admit(now, request)
    }

    fn admit(&mut self, now: u64, request: usize) -> Vec<PolicyStep> {
        let Some(tracked) = self.requests.get(&request).cloned() else {
            return Vec::new();
        };
        let node = tracked.server;
        let region = self.nodes[node].region().to_owned();
        let asked = SlotRequest {
            id: RequestId(request as u64 * TRY_LIMIT + tracked.tries),
            priority: if tracked.is_high { RequestPriority::High } else { RequestPriority::Low },
            deadline: Self::time(tracked.deadline),
            region,
            excluded: tracked.excluded,
            avoided_domain: None,
            is_suspect: false,
            may_probe: !tracked.is_high,
            may_forward: tracked.may_pass,
        };
        let service = self.service.clone();
        let actions = self.nodes[node].admit(Self::time(now), &service, asked);
        self.carry_out(now, node, actions)
    }
}

fn request_of(id: RequestId) -> usize {
    usize::try_from(id.0 / TRY_LIMIT).unwrap_or(usize::MAX)
}

impl SteeringPolicy for FleetPolicy {
    fn name(&self) -> String {
        self.name.clone()
    }

    fn begin(&mut self, model: &ExperimentModel) -> Vec<PolicyStep> {
        self.domains = model.settings.deployment.domains();
        self.service = model.size.name.to_owned();
        self.addresses = model.endpoints.iter().map(|endpoint| endpoint.address).collect();
        self.endpoints =
            self.addresses.iter().enumerate().map(|(index, address)| (*address, index)).collect();
        let table = Arc::new(self.table(model));
        let count = model.settings.entries;
        self.is_dead = vec![false; count];
        self.domain_indexes = (0..count).map(|node| model.domain_of_entry(node)).collect();
        let indexes = self.domain_indexes.clone();
        self.delays = indexes
            .iter()
            .map(|from| indexes.iter().map(|to| model.delay_us(*from, *to)).collect())
            .collect();
        let mut steps = Vec::new();
        for (node, domain) in indexes.iter().copied().enumerate() {
            let id = IncarnationId(1_000 + node as u64);
            self.ids.push(id);
            let port = u16::try_from(node).unwrap_or(0);
            let own = GroupMember {
                instance: format!("entry-{node}"),
                incarnation: id,
                address: SocketAddr::from(([127, 0, 0, 1], 100 + port)),
                peer_address: SocketAddr::from(([127, 0, 0, 1], 200 + port)),
                domain: self.domains[domain].clone(),
                committee: LeaseCommittee::new(),
                is_leaving: false,
            };
            let mut steering = InstanceSteering::new(own, self.settings);
            let actions = steering.apply_config(Self::time(0), 1, Arc::clone(&table));
            self.nodes.push(steering);
            steps.extend(self.carry_out(0, node, actions));
            let offset = node as u64 * HEARTBEAT_US / count as u64;
            steps.push(self.later(offset, Pending::Heartbeat(node)));
        }
        steps
    }

    fn arrive(&mut self, now: u64, request: usize, model: &ExperimentModel) -> Vec<PolicyStep> {
        let drawn = model.requests[request];
        let tracked = Tracked {
            origin: drawn.entry,
            server: drawn.entry,
            may_pass: true,
            is_high: drawn.is_high,
            deadline: now + TIMEOUT_US,
            tries: 0,
            excluded: SmallVec::new(),
        };
        self.requests.insert(request, tracked);
        self.admit(now, request)
    }

    fn answered(
        &mut self,
        now: u64,
        request: usize,
        endpoint: usize,
        end: AnswerEnd,
    ) -> Vec<PolicyStep> {
        let Some(tracked) = self.requests.get(&request).cloned() else {
            return Vec::new();
        };
        let node = tracked.server;
        if self.is_dead[node] {
            return Vec::new();
        }
        let id = RequestId(request as u64 * TRY_LIMIT + tracked.tries);
        let result = match end {
            AnswerEnd::Served => ExchangeResult::Answered,
            AnswerEnd::Shed => ExchangeResult::Shed,
            AnswerEnd::Dead => ExchangeResult::Failed,
        };
        let latency = Duration::from_millis(20);
        let service = self.service.clone();
        let actions = self.nodes[node].finish(Self::time(now), &service, id, result, latency);
        let mut steps = self.carry_out(now, node, actions);
        if end == AnswerEnd::Served || tracked.tries + 1 >= TRY_LIMIT {
            self.requests.remove(&request);
            if tracked.origin != node {
                let report = self.nodes[node].service_report(Self::time(now), &service);
                let delay = self.delays[node][tracked.origin];
                let back = Pending::Back { request, from: node, is_refused: false, report };
                self.returns.insert(request, tracked.origin);
                steps.push(self.later(delay, back));
            }
            return steps;
        }
        if !self.nodes[node].spend_retry(&service) {
            return steps;
        }
        if let Some(tracked) = self.requests.get_mut(&request) {
            tracked.tries += 1;
            tracked.excluded.push(self.addresses[endpoint]);
        }
        steps.extend(self.admit(now, request));
        steps
    }

    fn return_us(&self, request: usize) -> u64 {
        self.requests.get(&request).map_or(0, |tracked| self.delays[tracked.server][tracked.origin])
    }

    fn wake(&mut self, now: u64, token: u64) -> Vec<PolicyStep> {
        match self.pending.remove(&token) {
            None => Vec::new(),
            Some(Pending::Passed { request, to }) => {
                if self.is_dead[to] {
                    return Vec::new();
                }
                self.admit(now, request)
            }
            Some(Pending::Back { request, from, is_refused, report }) => {
                self.take_back(now, request, from, is_refused, report)
            }
            Some(Pending::Heartbeat(node)) => {
                if self.is_dead[node] {
                    return Vec::new();
                }
                let mut steps = self.show_store(now, node, false);
                let actions = self.nodes[node].heartbeat(Self::time(now));
                steps.extend(self.carry_out(now, node, actions));
                steps.push(self.later(HEARTBEAT_US, Pending::Heartbeat(node)));
                steps
            }
            Some(Pending::Message { from, to, message }) => {
                let Some(node) = self.ids.iter().position(|id| *id == to) else {
                    return Vec::new();
                };
                if self.is_dead[node] {
                    return Vec::new();
                }
                let sender = self.ids[from];
                let actions = self.nodes[node].receive(Self::time(now), sender, message);
                self.carry_out(now, node, actions)
            }
            Some(Pending::Write { from, expected, view }) => {
                if self.store.0 == expected {
                    self.store = (expected + 1, view);
                }
                if self.is_dead[from] { Vec::new() } else { self.show_store(now, from, true) }
            }
        }
    }

    fn domain_died(&mut self, _: u64, domain: usize) -> Vec<PolicyStep> {
        for node in 0..self.nodes.len() {
            self.is_dead[node] |= self.domain_indexes[node] == domain;
        }
        Vec::new()
    }
}
