//! Policy that runs the steering state machines of all entries of a deployment.

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
use super::simulation::{ExchangeOutcome, PolicyStep, SteeringPolicy};

/// Interval between heartbeats, in microseconds.
const HEARTBEAT_INTERVAL_US: u64 = 200_000;
/// Duration of a store call, in microseconds.
const STORE_CALL_US: u64 = 5_000;
/// Time from the arrival of a request to its deadline, in microseconds.
const REQUEST_TIMEOUT_US: u64 = 5_000_000;
/// Maximum attempts of one request.
const MAX_ATTEMPTS: u64 = 4;

#[derive(Debug)]
enum PendingEvent {
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
    /// A request reaches the peer to which it was forwarded.
    Forwarded {
        request: usize,
        to: usize,
    },
    /// The refusal of such a peer, or its counts with a response, reach the entry where the request
    /// arrived.
    ForwardReply {
        request: usize,
        from: usize,
        is_refused: bool,
        report: Option<ServiceReport>,
    },
}

/// All entries of a deployment, under one set of steering settings.
#[derive(Debug)]
pub struct FleetPolicy {
    name: String,
    settings: SteeringSettings,
    instances: Vec<InstanceSteering>,
    incarnations: Vec<IncarnationId>,
    has_failed: Vec<bool>,
    domains: Vec<String>,
    domain_indexes: Vec<usize>,
    delays_us: Vec<Vec<u64>>,
    service: String,
    endpoints: HashMap<SocketAddr, usize>,
    addresses: Vec<SocketAddr>,
    store: (u64, GroupView),
    pending: HashMap<u64, PendingEvent>,
    next_token: u64,
    requests: HashMap<usize, TrackedRequest>,
    forwarded: u64,
    /// Entries that await the response to a forwarded request, by request.
    reply_origins: HashMap<usize, usize>,
}

#[derive(Clone, Debug)]
struct TrackedRequest {
    /// Index of the entry where the request arrived.
    origin: usize,
    /// Index of the entry that serves the request.
    server: usize,
    may_forward: bool,
    is_high_priority: bool,
    deadline: u64,
    retries: u64,
    excluded: SmallVec<[SocketAddr; 2]>,
}

impl FleetPolicy {
    /// Creates a fleet with the given settings; `name` is shown in reports.
    #[must_use]
    pub fn new(name: &str, settings: SteeringSettings) -> Self {
        Self {
            name: name.to_owned(),
            settings,
            instances: Vec::new(),
            incarnations: Vec::new(),
            has_failed: Vec::new(),
            domains: Vec::new(),
            domain_indexes: Vec::new(),
            delays_us: Vec::new(),
            service: String::new(),
            endpoints: HashMap::new(),
            addresses: Vec::new(),
            store: (0, GroupView::default()),
            pending: HashMap::new(),
            next_token: 0,
            requests: HashMap::new(),
            forwarded: 0,
            reply_origins: HashMap::new(),
        }
    }

    /// Number of requests forwarded to peers so far.
    #[must_use]
    pub const fn forwarded(&self) -> u64 {
        self.forwarded
    }

    fn policy_time(now: u64) -> PolicyTime {
        PolicyTime(now + 1)
    }

    fn schedule(&mut self, after_us: u64, pending: PendingEvent) -> PolicyStep {
        self.next_token += 1;
        self.pending.insert(self.next_token, pending);
        PolicyStep::Wake { after_us, token: self.next_token }
    }

    fn route_table(&self, model: &ExperimentModel) -> RouteTable {
        let mut addresses = [Vec::new(), Vec::new()];
        addresses[model.settings.service].clone_from(&self.addresses);
        let rules = model.settings.deployment.rules(&addresses);
        // Only the service under test has endpoints, so operations of the other one are left out.
        let lines: Vec<&str> = rules
            .lines()
            .filter(|line| !line.starts_with("operation ") || line.contains(model.size.name))
            .collect();
        parse_rules("experiment", lines.join("\n").as_bytes())
            .map(|file| file.compile())
            .unwrap_or_default()
    }

    fn apply_actions(
        &mut self,
        now: u64,
        instance: usize,
        actions: Vec<SteeringAction>,
    ) -> Vec<PolicyStep> {
        let mut steps = Vec::new();
        for action in actions {
            match action {
                SteeringAction::Dispatch { id, endpoint, .. } => {
                    let request = request_index(id);
                    let endpoint = self.endpoints[&endpoint];
                    steps.push(PolicyStep::Send { request, entry: instance, endpoint });
                }
                SteeringAction::ForwardToPeer { id, peer } => {
                    steps.extend(self.forward_to_peer(instance, request_index(id), peer));
                }
                SteeringAction::Refuse { id, .. } => {
                    steps.extend(self.refuse(now, instance, request_index(id)));
                }
                SteeringAction::Send(to, message) => {
                    steps.extend(self.send(instance, to, message));
                }
                SteeringAction::WriteView { expected, view } => {
                    let write = PendingEvent::Write { from: instance, expected, view };
                    steps.push(self.schedule(STORE_CALL_US, write));
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
        let target = self.incarnations.iter().position(|id| *id == to)?;
        let delay = self.delays_us[from][target];
        Some(self.schedule(delay, PendingEvent::Message { from, to, message }))
    }

    fn forward_to_peer(
        &mut self,
        instance: usize,
        request: usize,
        peer: IncarnationId,
    ) -> Option<PolicyStep> {
        let to = self.incarnations.iter().position(|id| *id == peer)?;
        let tracked = self.requests.get_mut(&request)?;
        tracked.server = to;
        tracked.may_forward = false;
        self.forwarded += 1;
        let delay = self.delays_us[instance][to];
        Some(self.schedule(delay, PendingEvent::Forwarded { request, to }))
    }

    /// Returns a refusal to the entry where the request arrived, which may still queue it.
    fn refuse(&mut self, now: u64, instance: usize, request: usize) -> Option<PolicyStep> {
        let origin = self.requests.get(&request)?.origin;
        if origin == instance {
            self.requests.remove(&request);
            return Some(PolicyStep::Refuse(request));
        }
        let report = self.instances[instance].service_report(Self::policy_time(now), &self.service);
        let delay = self.delays_us[instance][origin];
        Some(self.schedule(
            delay,
            PendingEvent::ForwardReply { request, from: instance, is_refused: true, report },
        ))
    }

    fn deliver_store_reply(
        &mut self,
        now: u64,
        instance: usize,
        write_ended: bool,
    ) -> Vec<PolicyStep> {
        self.instances[instance].record_store_reply(Self::policy_time(now), write_ended);
        let (version, view) = self.store.clone();
        if version == 0 {
            return Vec::new();
        }
        let actions = self.instances[instance].apply_view(Self::policy_time(now), version, view);
        self.apply_actions(now, instance, actions)
    }

    fn receive_forward_reply(
        &mut self,
        now: u64,
        request: usize,
        from: usize,
        is_refused: bool,
        report: Option<ServiceReport>,
    ) -> Vec<PolicyStep> {
        let reply_origin = self.reply_origins.remove(&request);
        let origin = self.requests.get(&request).map(|tracked| tracked.origin).or(reply_origin);
        let Some(origin) = origin.filter(|origin| !self.has_failed[*origin]) else {
            return Vec::new();
        };
        let peer = self.incarnations[from];
        if let Some(report) = report {
            self.instances[origin].receive_counts(peer, report);
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
        let instance = tracked.server;
        let region = self.instances[instance].region().to_owned();
        let slot_request = SlotRequest {
            id: RequestId(request as u64 * MAX_ATTEMPTS + tracked.retries),
            priority: if tracked.is_high_priority {
                RequestPriority::High
            } else {
                RequestPriority::Low
            },
            deadline: Self::policy_time(tracked.deadline),
            region,
            excluded: tracked.excluded,
            avoided_domain: None,
            is_suspect: false,
            may_probe: !tracked.is_high_priority,
            may_forward: tracked.may_forward,
        };
        let service = self.service.clone();
        let actions =
            self.instances[instance].admit(Self::policy_time(now), &service, slot_request);
        self.apply_actions(now, instance, actions)
    }
}

fn request_index(id: RequestId) -> usize {
    usize::try_from(id.0 / MAX_ATTEMPTS).unwrap_or(usize::MAX)
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
        let route_table = Arc::new(self.route_table(model));
        let count = model.settings.entries;
        self.has_failed = vec![false; count];
        self.domain_indexes = (0..count).map(|instance| model.domain_of_entry(instance)).collect();
        let indexes = self.domain_indexes.clone();
        self.delays_us = indexes
            .iter()
            .map(|from| indexes.iter().map(|to| model.delay_us(*from, *to)).collect())
            .collect();
        let mut steps = Vec::new();
        for (instance, domain) in indexes.iter().copied().enumerate() {
            let id = IncarnationId(1_000 + instance as u64);
            self.incarnations.push(id);
            let port = u16::try_from(instance).unwrap_or(0);
            let own = GroupMember {
                instance: format!("entry-{instance}"),
                incarnation: id,
                address: SocketAddr::from(([127, 0, 0, 1], 100 + port)),
                peer_address: SocketAddr::from(([127, 0, 0, 1], 200 + port)),
                domain: self.domains[domain].clone(),
                committee: LeaseCommittee::new(),
                is_leaving: false,
            };
            let mut steering = InstanceSteering::new(own, self.settings);
            let actions = steering.apply_config(Self::policy_time(0), 1, Arc::clone(&route_table));
            self.instances.push(steering);
            steps.extend(self.apply_actions(0, instance, actions));
            let offset = instance as u64 * HEARTBEAT_INTERVAL_US / count as u64;
            steps.push(self.schedule(offset, PendingEvent::Heartbeat(instance)));
        }
        steps
    }

    fn arrive(&mut self, now: u64, request: usize, model: &ExperimentModel) -> Vec<PolicyStep> {
        let details = model.requests[request];
        let tracked = TrackedRequest {
            origin: details.entry,
            server: details.entry,
            may_forward: true,
            is_high_priority: details.is_high_priority,
            deadline: now + REQUEST_TIMEOUT_US,
            retries: 0,
            excluded: SmallVec::new(),
        };
        self.requests.insert(request, tracked);
        self.admit(now, request)
    }

    fn exchange_ended(
        &mut self,
        now: u64,
        request: usize,
        endpoint: usize,
        outcome: ExchangeOutcome,
    ) -> Vec<PolicyStep> {
        let Some(tracked) = self.requests.get(&request).cloned() else {
            return Vec::new();
        };
        let instance = tracked.server;
        if self.has_failed[instance] {
            return Vec::new();
        }
        let id = RequestId(request as u64 * MAX_ATTEMPTS + tracked.retries);
        let result = match outcome {
            ExchangeOutcome::Served => ExchangeResult::Answered,
            ExchangeOutcome::Shed => ExchangeResult::Shed,
            ExchangeOutcome::Failed => ExchangeResult::Failed,
        };
        let latency = Duration::from_millis(20);
        let service = self.service.clone();
        let actions =
            self.instances[instance].finish(Self::policy_time(now), &service, id, result, latency);
        let mut steps = self.apply_actions(now, instance, actions);
        if outcome == ExchangeOutcome::Served || tracked.retries + 1 >= MAX_ATTEMPTS {
            self.requests.remove(&request);
            if tracked.origin != instance {
                let report =
                    self.instances[instance].service_report(Self::policy_time(now), &service);
                let delay = self.delays_us[instance][tracked.origin];
                let reply = PendingEvent::ForwardReply {
                    request,
                    from: instance,
                    is_refused: false,
                    report,
                };
                self.reply_origins.insert(request, tracked.origin);
                steps.push(self.schedule(delay, reply));
            }
            return steps;
        }
        if !self.instances[instance].spend_retry(&service) {
            return steps;
        }
        if let Some(tracked) = self.requests.get_mut(&request) {
            tracked.retries += 1;
            tracked.excluded.push(self.addresses[endpoint]);
        }
        steps.extend(self.admit(now, request));
        steps
    }

    fn return_delay_us(&self, request: usize) -> u64 {
        self.requests
            .get(&request)
            .map_or(0, |tracked| self.delays_us[tracked.server][tracked.origin])
    }

    fn wake(&mut self, now: u64, token: u64) -> Vec<PolicyStep> {
        match self.pending.remove(&token) {
            None => Vec::new(),
            Some(PendingEvent::Forwarded { request, to }) => {
                if self.has_failed[to] {
                    return Vec::new();
                }
                self.admit(now, request)
            }
            Some(PendingEvent::ForwardReply { request, from, is_refused, report }) => {
                self.receive_forward_reply(now, request, from, is_refused, report)
            }
            Some(PendingEvent::Heartbeat(instance)) => {
                if self.has_failed[instance] {
                    return Vec::new();
                }
                let mut steps = self.deliver_store_reply(now, instance, false);
                let actions = self.instances[instance].heartbeat(Self::policy_time(now));
                steps.extend(self.apply_actions(now, instance, actions));
                steps.push(self.schedule(HEARTBEAT_INTERVAL_US, PendingEvent::Heartbeat(instance)));
                steps
            }
            Some(PendingEvent::Message { from, to, message }) => {
                let Some(instance) = self.incarnations.iter().position(|id| *id == to) else {
                    return Vec::new();
                };
                if self.has_failed[instance] {
                    return Vec::new();
                }
                let sender = self.incarnations[from];
                let actions =
                    self.instances[instance].receive(Self::policy_time(now), sender, message);
                self.apply_actions(now, instance, actions)
            }
            Some(PendingEvent::Write { from, expected, view }) => {
                if self.store.0 == expected {
                    self.store = (expected + 1, view);
                }
                if self.has_failed[from] {
                    Vec::new()
                } else {
                    self.deliver_store_reply(now, from, true)
                }
            }
        }
    }

    fn domain_failed(&mut self, _: u64, domain: usize) -> Vec<PolicyStep> {
        for instance in 0..self.instances.len() {
            self.has_failed[instance] |= self.domain_indexes[instance] == domain;
        }
        Vec::new()
    }
}
