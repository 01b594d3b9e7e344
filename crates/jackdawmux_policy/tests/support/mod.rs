//! Simulated instances that share an in-memory network and store.
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
/// Timeout of requests; longer than a lease, so that work of an unreachable owner outlives it.
pub const MAX_WORK_TIME: Duration = Duration::from_secs(6);

/// A table of one service whose endpoints are spread over the failure domains `d0`, `d1`, ...
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
                timeout: MAX_WORK_TIME,
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

pub fn request(id: u64, now: PolicyTime, timeout: Duration) -> SlotRequest {
    SlotRequest {
        id: RequestId(id),
        priority: RequestPriority::Normal,
        deadline: now + timeout,
        region: "r".to_owned(),
        excluded: SmallVec::new(),
        avoided_domain: None,
        is_suspect: false,
        may_probe: true,
        may_forward: true,
    }
}

/// A message in transit.
#[derive(Clone, Debug)]
pub struct Envelope {
    pub from: usize,
    pub to: IncarnationId,
    pub message: SteeringMessage,
}

/// A conditional update of the view in transit to the store.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    pub from: usize,
    pub expected: u64,
    pub view: GroupView,
}

/// A request dispatched to an endpoint.
#[derive(Clone, Debug)]
pub struct RunningWork {
    pub instance: usize,
    pub id: RequestId,
    pub endpoint: SocketAddr,
    pub until: u64,
}

/// Instances with one clock each, a network and a store.
pub struct Fleet {
    pub instances: Vec<InstanceSteering>,
    pub ids: Vec<IncarnationId>,
    pub now: u64,
    /// Offset of each instance's clock, in microseconds.
    pub offsets: Vec<u64>,
    pub is_frozen: Vec<bool>,
    pub is_crashed: Vec<bool>,
    pub network: VecDeque<Envelope>,
    pub writes: VecDeque<PendingWrite>,
    pub store: (u64, GroupView),
    pub is_store_up: bool,
    /// Dispatches that an instance has decided on but not sent yet.
    pub pending_dispatches: Vec<RunningWork>,
    /// Whether dispatches are sent immediately.
    pub sends_immediately: bool,
    /// Number of dispatches that the upstream refused because their deadline had passed.
    pub late_dispatches: usize,
    pub work: Vec<RunningWork>,
    pub peaks: BTreeMap<SocketAddr, usize>,
    /// Requests in transit to the peer they are forwarded to.
    pub forwarded_requests: Vec<(IncarnationId, RequestId, Duration)>,
    pub refused: Vec<RequestId>,
    pub dispatched: Vec<RequestId>,
    pub forwarded_count: u64,
    pub events: Vec<String>,
    /// Pairs of sender and receiver between which messages are lost.
    pub broken_links: Vec<(usize, usize)>,
}

impl Fleet {
    pub fn new(count: usize, table: &RouteTable) -> Self {
        let settings = SteeringSettings::default();
        let table = Arc::new(table.clone());
        let mut fleet = Self {
            instances: Vec::new(),
            ids: Vec::new(),
            now: 0,
            offsets: Vec::new(),
            is_frozen: vec![false; count],
            is_crashed: vec![false; count],
            network: VecDeque::new(),
            writes: VecDeque::new(),
            store: (0, GroupView::default()),
            is_store_up: true,
            pending_dispatches: Vec::new(),
            sends_immediately: true,
            late_dispatches: 0,
            work: Vec::new(),
            peaks: BTreeMap::new(),
            forwarded_requests: Vec::new(),
            refused: Vec::new(),
            dispatched: Vec::new(),
            forwarded_count: 0,
            events: Vec::new(),
            broken_links: Vec::new(),
        };
        for index in 0..count {
            let id = IncarnationId(0x1000 + index as u64 * 7);
            fleet.ids.push(id);
            fleet.offsets.push(1_000_000 + index as u64 * 12_345);
            let mut instance = InstanceSteering::new(member(index, id, &table), settings);
            let actions = instance.apply_config(fleet.clock(index), 1, Arc::clone(&table));
            fleet.instances.push(instance);
            fleet.carry_out(index, actions);
        }
        fleet
    }

    pub fn clock(&self, instance: usize) -> PolicyTime {
        PolicyTime(self.now + self.offsets[instance])
    }

    pub fn is_running(&self, instance: usize) -> bool {
        !self.is_frozen[instance] && !self.is_crashed[instance]
    }

    pub fn carry_out(&mut self, instance: usize, actions: Vec<SteeringAction>) {
        for action in actions {
            match action {
                SteeringAction::Dispatch { id, endpoint, allowance, .. } => {
                    self.dispatched.push(id);
                    let until = self.now + allowance.as_micros() as u64;
                    self.pending_dispatches.push(RunningWork { instance, id, endpoint, until });
                    if self.sends_immediately {
                        self.send_dispatch(self.pending_dispatches.len() - 1);
                    }
                }
                SteeringAction::ForwardToPeer { id, peer } => {
                    let timeout = Duration::from_secs(5);
                    self.forwarded_requests.push((peer, id, timeout));
                }
                SteeringAction::Refuse { id, .. } => self.refused.push(id),
                SteeringAction::Send(to, message) => {
                    self.network.push_back(Envelope { from: instance, to, message });
                }
                SteeringAction::WriteView { expected, view } => {
                    self.writes.push_back(PendingWrite { from: instance, expected, view });
                }
                SteeringAction::Event(event, peer) => {
                    self.events.push(format!("{} {instance} {event} {peer:?}", self.now / 1_000));
                }
                // Tests decide when an instance reads the store.
                SteeringAction::CloseIdle(_)
                | SteeringAction::ReadView
                | SteeringAction::ConfigBehind(_) => {}
            }
        }
    }

    /// Sends a dispatch to the upstream, which refuses it when its deadline has passed.
    pub fn send_dispatch(&mut self, position: usize) {
        let dispatch = self.pending_dispatches.swap_remove(position);
        if dispatch.until <= self.now {
            self.late_dispatches += 1;
            self.report_end(&dispatch, ExchangeResult::Shed);
            return;
        }
        let endpoint = dispatch.endpoint;
        self.work.push(dispatch);
        let running = self.work.iter().filter(|work| work.endpoint == endpoint).count();
        let peak = self.peaks.entry(endpoint).or_default();
        *peak = (*peak).max(running);
    }

    /// Replaces an instance by a new process at the same addresses.
    pub fn replace(&mut self, instance: usize, id: IncarnationId, table: &Arc<RouteTable>) {
        // Requests that the old process sent keep running at the upstreams, and no instance is
        // notified when they end.
        self.pending_dispatches.retain(|dispatch| dispatch.instance != instance);
        for work in self.work.iter_mut().filter(|work| work.instance == instance) {
            work.instance = usize::MAX;
        }
        self.writes.iter_mut().filter(|write| write.from == instance).for_each(|write| {
            write.from = usize::MAX;
        });
        self.network.retain(|envelope| envelope.from != instance);
        self.ids[instance] = id;
        self.is_crashed[instance] = false;
        self.is_frozen[instance] = false;
        let settings = SteeringSettings::default();
        self.instances[instance] = InstanceSteering::new(member(instance, id, table), settings);
        let now = self.clock(instance);
        let actions = self.instances[instance].apply_config(now, 1, Arc::clone(table));
        self.carry_out(instance, actions);
    }

    pub fn deliver(&mut self, envelope: Envelope) {
        let Some(to) = self.ids.iter().position(|id| *id == envelope.to) else {
            return;
        };
        if !self.is_running(to) || self.broken_links.contains(&(envelope.from, to)) {
            return;
        }
        let from = self.ids[envelope.from];
        let now = self.clock(to);
        let actions = self.instances[to].receive(now, from, envelope.message);
        self.carry_out(to, actions);
    }

    /// Applies a write in the store; if `is_acknowledged`, the writer receives the reply.
    pub fn apply(&mut self, write: PendingWrite, is_acknowledged: bool) {
        let is_current = self.store.0 == write.expected;
        if is_current {
            self.store = (write.expected + 1, write.view);
        }
        if is_acknowledged && write.from != usize::MAX && self.is_running(write.from) {
            self.read_store(write.from, true);
        }
    }

    /// Lets an instance read the store; `write_ended` is set if its pending update has ended.
    pub fn read_store(&mut self, instance: usize, write_ended: bool) {
        if !self.is_store_up || !self.is_running(instance) {
            return;
        }
        let now = self.clock(instance);
        self.instances[instance].record_store_reply(now, write_ended);
        let (version, view) = self.store.clone();
        if version > 0 {
            let actions = self.instances[instance].apply_view(now, version, view);
            self.carry_out(instance, actions);
        }
    }

    pub fn heartbeat(&mut self, instance: usize) {
        if self.is_running(instance) {
            let now = self.clock(instance);
            let actions = self.instances[instance].heartbeat(now);
            self.carry_out(instance, actions);
        }
    }

    /// Delivers a forwarded request to its peer, under an id that no other request has.
    pub fn deliver_forwarded(&mut self, position: usize) {
        let (peer, id, timeout) = self.forwarded_requests.swap_remove(position);
        let to = self.ids.iter().position(|known| *known == peer);
        if let Some(to) = to.filter(|to| self.is_running(*to)) {
            let now = self.clock(to);
            self.forwarded_count += 1;
            let mut request = request(id.0 + 1_000_000 * self.forwarded_count, now, timeout);
            request.may_forward = false;
            self.admit(to, request);
        }
    }

    pub fn admit(&mut self, instance: usize, request: SlotRequest) {
        let now = self.clock(instance);
        let actions = self.instances[instance].admit(now, SERVICE, request);
        self.carry_out(instance, actions);
    }

    /// Ends the work at a position; its instance is notified if it is running.
    pub fn end_work(&mut self, position: usize) {
        let work = self.work.swap_remove(position);
        self.report_end(&work, ExchangeResult::Answered);
    }

    fn report_end(&mut self, work: &RunningWork, result: ExchangeResult) {
        if work.instance != usize::MAX && self.is_running(work.instance) {
            let now = self.clock(work.instance);
            let latency = Duration::from_millis(10);
            let actions =
                self.instances[work.instance].finish(now, SERVICE, work.id, result, latency);
            self.carry_out(work.instance, actions);
        }
    }

    /// Ends work whose deadline has passed, as the upstream does.
    pub fn end_expired_work(&mut self) {
        while let Some(position) = self.work.iter().position(|work| work.until <= self.now) {
            let work = self.work.swap_remove(position);
            self.report_end(&work, ExchangeResult::Failed);
        }
    }

    /// Advances the time by `millis` in steps of 100 ms and delivers everything in order.
    pub fn run_without_faults(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.now += 100_000;
            self.end_expired_work();
            for instance in 0..self.instances.len() {
                self.read_store(instance, false);
                self.heartbeat(instance);
            }
            self.deliver_all();
        }
    }

    /// Delivers until nothing is in transit.
    pub fn deliver_all(&mut self) {
        loop {
            if !self.forwarded_requests.is_empty() {
                self.deliver_forwarded(0);
            } else if let Some(envelope) = self.network.pop_front() {
                self.deliver(envelope);
            } else if let Some(write) = self.writes.pop_front() {
                if self.is_store_up {
                    self.apply(write, true);
                } else if self.is_running(write.from) {
                    self.instances[write.from].record_write_failure();
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
