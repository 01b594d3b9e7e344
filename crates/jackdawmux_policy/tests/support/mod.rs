//! Several instances of the steering state over an in-memory network and store.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::endpoint::ExchangeResult;
use jackdawmux_policy::group::{GroupMember, GroupView};
use jackdawmux_policy::identity::{IncarnationId, RequestId};
use jackdawmux_policy::lease::LeaseCommittee;
use jackdawmux_policy::message::SteeringMessage;
use jackdawmux_policy::scheduler::SlotRequest;
use jackdawmux_policy::steering::{InstanceSteering, SteeringAction, SteeringSettings};
use jackdawmux_policy::table::{
    EndpointSpec, OperationSpec, RegionSpec, RepeatRule, RequestPriority, RouteTable, ServiceSpec,
};
use smallvec::SmallVec;

pub const SERVICE: &str = "ledger";
/// Longer than a lease, so that work of a lost owner outlives it.
pub const LONGEST_WORK: Duration = Duration::from_secs(6);

/// A table of one service with endpoints spread over domains `d0`, `d1`, ...
pub fn table(domains: usize, endpoints: usize, slots: u32) -> RouteTable {
    let names: Vec<String> = (0..domains).map(|index| format!("d{index}")).collect();
    RouteTable {
        regions: vec![RegionSpec {
            name: "r".to_owned(),
            domains: names.iter().cloned().collect(),
        }],
        links: Vec::new(),
        services: vec![ServiceSpec {
            name: SERVICE.to_owned(),
            operations: vec![OperationSpec {
                method: "GET".to_owned(),
                prefix: "/".to_owned(),
                priority: RequestPriority::Low,
                repeat: RepeatRule::Repeatable,
                timeout: LONGEST_WORK,
            }],
            endpoints: (0..endpoints)
                .map(|index| EndpointSpec {
                    address: endpoint(index),
                    domain: names[index % domains].clone(),
                    slots,
                    connections: 400,
                    is_draining: false,
                })
                .collect(),
        }],
        shifts: Vec::new(),
    }
}

pub fn endpoint(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + u16::try_from(index).unwrap()))
}

pub fn request(id: u64, now: PolicyTime, patience: Duration) -> SlotRequest {
    SlotRequest {
        id: RequestId(id),
        priority: RequestPriority::Normal,
        deadline: now + patience,
        region: "r".to_owned(),
        excluded: SmallVec::new(),
        avoided_domain: None,
        is_suspect: false,
        may_probe: true,
        may_forward: true,
    }
}

/// A message on its way.
#[derive(Clone, Debug)]
pub struct Envelope {
    pub from: usize,
    pub to: IncarnationId,
    pub message: SteeringMessage,
}

/// An update on its way to the store.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    pub from: usize,
    pub expected: u64,
    pub view: GroupView,
}

/// Work that an endpoint runs.
#[derive(Clone, Debug)]
pub struct RunningWork {
    pub node: usize,
    pub id: RequestId,
    pub endpoint: SocketAddr,
    pub until: u64,
}

/// Instances with one clock each, a network and a store.
pub struct Fleet {
    pub nodes: Vec<InstanceSteering>,
    pub ids: Vec<IncarnationId>,
    pub now: u64,
    /// Offset of each instance's clock, in microseconds.
    pub offsets: Vec<u64>,
    pub is_frozen: Vec<bool>,
    pub is_dead: Vec<bool>,
    pub network: VecDeque<Envelope>,
    pub writes: VecDeque<PendingWrite>,
    pub store: (u64, GroupView),
    pub is_store_up: bool,
    /// Sends that an instance has decided on and not yet made.
    pub sends: Vec<RunningWork>,
    /// Whether sends are made at once.
    pub sends_at_once: bool,
    /// Sends that came after their absolute deadline and were refused by the upstream.
    pub late: usize,
    pub work: Vec<RunningWork>,
    pub peak: BTreeMap<SocketAddr, usize>,
    /// Requests on their way to the instance that they were passed on to.
    pub passes: Vec<(IncarnationId, RequestId, Duration)>,
    pub refused: Vec<RequestId>,
    pub dispatched: Vec<RequestId>,
    pub passed_on: u64,
    pub events: Vec<String>,
    /// Pairs between which messages are lost.
    pub cuts: Vec<(usize, usize)>,
}

impl Fleet {
    pub fn new(count: usize, table: &RouteTable) -> Self {
        let settings = SteeringSettings::default();
        let table = Arc::new(table.clone());
        let mut fleet = Self {
            nodes: Vec::new(),
            ids: Vec::new(),
            now: 0,
            offsets: Vec::new(),
            is_frozen: vec![false; count],
            is_dead: vec![false; count],
            network: VecDeque::new(),
            writes: VecDeque::new(),
            store: (0, GroupView::default()),
            is_store_up: true,
            sends: Vec::new(),
            sends_at_once: true,
            late: 0,
            work: Vec::new(),
            peak: BTreeMap::new(),
            passes: Vec::new(),
            refused: Vec::new(),
            dispatched: Vec::new(),
            passed_on: 0,
            events: Vec::new(),
            cuts: Vec::new(),
        };
        for index in 0..count {
            let id = IncarnationId(0x1000 + index as u64 * 7);
            fleet.ids.push(id);
            fleet.offsets.push(1_000_000 + index as u64 * 12_345);
            let mut node = InstanceSteering::new(member(index, id, &table), settings);
            let actions = node.apply_config(fleet.clock(index), 1, Arc::clone(&table));
            fleet.nodes.push(node);
            fleet.carry_out(index, actions);
        }
        fleet
    }

    pub fn clock(&self, node: usize) -> PolicyTime {
        PolicyTime(self.now + self.offsets[node])
    }

    pub fn is_running(&self, node: usize) -> bool {
        !self.is_frozen[node] && !self.is_dead[node]
    }

    pub fn carry_out(&mut self, node: usize, actions: Vec<SteeringAction>) {
        for action in actions {
            match action {
                SteeringAction::Dispatch { id, endpoint, allowance, .. } => {
                    self.dispatched.push(id);
                    let until = self.now + allowance.as_micros() as u64;
                    self.sends.push(RunningWork { node, id, endpoint, until });
                    if self.sends_at_once {
                        self.make_send(self.sends.len() - 1);
                    }
                }
                SteeringAction::ForwardToPeer { id, peer } => {
                    let patience = Duration::from_secs(5);
                    self.passes.push((peer, id, patience));
                }
                SteeringAction::Refuse { id, .. } => self.refused.push(id),
                SteeringAction::Send(to, message) => {
                    self.network.push_back(Envelope { from: node, to, message });
                }
                SteeringAction::WriteView { expected, view } => {
                    self.writes.push_back(PendingWrite { from: node, expected, view });
                }
                SteeringAction::Event(event, peer) => {
                    self.events.push(format!("{} {node} {event} {peer:?}", self.now / 1_000));
                }
                // Schedules show the store at times of their own.
                SteeringAction::CloseIdle(_)
                | SteeringAction::ReadView
                | SteeringAction::ConfigBehind(_) => {}
            }
        }
    }

    /// Makes a decided send; the upstream refuses one that comes after its absolute deadline.
    pub fn make_send(&mut self, position: usize) {
        let send = self.sends.swap_remove(position);
        if send.until <= self.now {
            self.late += 1;
            self.end_at(&send, ExchangeResult::Shed);
            return;
        }
        let endpoint = send.endpoint;
        self.work.push(send);
        let running = self.work.iter().filter(|work| work.endpoint == endpoint).count();
        let peak = self.peak.entry(endpoint).or_default();
        *peak = (*peak).max(running);
    }

    /// Replaces an instance by a new process at the same addresses.
    pub fn replace(&mut self, node: usize, id: IncarnationId, table: &Arc<RouteTable>) {
        // What the old process had sent runs on at the upstreams; nobody hears of its end.
        self.sends.retain(|send| send.node != node);
        for work in self.work.iter_mut().filter(|work| work.node == node) {
            work.node = usize::MAX;
        }
        self.writes.iter_mut().filter(|write| write.from == node).for_each(|write| {
            write.from = usize::MAX;
        });
        self.network.retain(|envelope| envelope.from != node);
        self.ids[node] = id;
        self.is_dead[node] = false;
        self.is_frozen[node] = false;
        let settings = SteeringSettings::default();
        self.nodes[node] = InstanceSteering::new(member(node, id, table), settings);
        let now = self.clock(node);
        let actions = self.nodes[node].apply_config(now, 1, Arc::clone(table));
        self.carry_out(node, actions);
    }

    pub fn deliver(&mut self, envelope: Envelope) {
        let Some(to) = self.ids.iter().position(|id| *id == envelope.to) else {
            return;
        };
        if !self.is_running(to) || self.cuts.contains(&(envelope.from, to)) {
            return;
        }
        let from = self.ids[envelope.from];
        let now = self.clock(to);
        let actions = self.nodes[to].receive(now, from, envelope.message);
        self.carry_out(to, actions);
    }

    /// Applies a write in the store; `is_answered` when the writer hears of it.
    pub fn apply(&mut self, write: PendingWrite, is_answered: bool) {
        let is_current = self.store.0 == write.expected;
        if is_current {
            self.store = (write.expected + 1, write.view);
        }
        if is_answered && write.from != usize::MAX && self.is_running(write.from) {
            self.show_store(write.from, true);
        }
    }

    /// An instance reads the store.
    pub fn show_store(&mut self, node: usize, write_ended: bool) {
        if !self.is_store_up || !self.is_running(node) {
            return;
        }
        let now = self.clock(node);
        self.nodes[node].record_store_answer(now, write_ended);
        let (version, view) = self.store.clone();
        if version > 0 {
            let actions = self.nodes[node].apply_view(now, version, view);
            self.carry_out(node, actions);
        }
    }

    pub fn heartbeat(&mut self, node: usize) {
        if self.is_running(node) {
            let now = self.clock(node);
            let actions = self.nodes[node].heartbeat(now);
            self.carry_out(node, actions);
        }
    }

    /// A passed request reaches its instance, under a number that no other request has.
    pub fn deliver_pass(&mut self, position: usize) {
        let (peer, id, patience) = self.passes.swap_remove(position);
        let to = self.ids.iter().position(|known| *known == peer);
        if let Some(to) = to.filter(|to| self.is_running(*to)) {
            let now = self.clock(to);
            self.passed_on += 1;
            let mut passed = request(id.0 + 1_000_000 * self.passed_on, now, patience);
            passed.may_forward = false;
            self.admit(to, passed);
        }
    }

    pub fn admit(&mut self, node: usize, request: SlotRequest) {
        let now = self.clock(node);
        let actions = self.nodes[node].admit(now, SERVICE, request);
        self.carry_out(node, actions);
    }

    /// Ends the work at a position; its instance learns of it when it runs.
    pub fn end_work(&mut self, position: usize) {
        let work = self.work.swap_remove(position);
        self.end_at(&work, ExchangeResult::Answered);
    }

    fn end_at(&mut self, work: &RunningWork, result: ExchangeResult) {
        if work.node != usize::MAX && self.is_running(work.node) {
            let now = self.clock(work.node);
            let latency = Duration::from_millis(10);
            let actions = self.nodes[work.node].finish(now, SERVICE, work.id, result, latency);
            self.carry_out(work.node, actions);
        }
    }

    /// The upstream ends work whose deadline has come.
    pub fn end_overdue(&mut self) {
        while let Some(position) = self.work.iter().position(|work| work.until <= self.now) {
            let work = self.work.swap_remove(position);
            self.end_at(&work, ExchangeResult::Failed);
        }
    }

    /// Lets `millis` pass in steps, delivering everything in order.
    pub fn run_calm(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.now += 100_000;
            self.end_overdue();
            for node in 0..self.nodes.len() {
                self.show_store(node, false);
                self.heartbeat(node);
            }
            self.settle();
        }
    }

    /// Delivers until nothing is on its way.
    pub fn settle(&mut self) {
        loop {
            if !self.passes.is_empty() {
                self.deliver_pass(0);
            } else if let Some(envelope) = self.network.pop_front() {
                self.deliver(envelope);
            } else if let Some(write) = self.writes.pop_front() {
                if self.is_store_up {
                    self.apply(write, true);
                } else if self.is_running(write.from) {
                    self.nodes[write.from].record_write_failure();
                }
            } else {
                return;
            }
        }
    }
}

fn member(index: usize, incarnation: IncarnationId, table: &RouteTable) -> GroupMember {
    let domains = &table.regions[0].domains;
    GroupMember {
        instance: format!("e{index}"),
        incarnation,
        address: SocketAddr::from(([127, 0, 0, 1], 100 + u16::try_from(index).unwrap())),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 200 + u16::try_from(index).unwrap())),
        domain: domains[index % domains.len()].clone(),
        committee: LeaseCommittee::new(),
        is_leaving: false,
    }
}
