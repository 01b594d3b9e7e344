//! The whole steering state of one instance: membership and one scheduler for each service.
//!
//! An instance feeds it requests, messages of peers, stored views, new tables and the passing of
//! time, and carries out the actions that come back.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::PolicyTime;
use crate::endpoint::{EndpointSlots, ExchangeResult};
use crate::group::{GroupMember, GroupView, OwnerMove};
use crate::identity::{IncarnationId, RequestId};
use crate::lease::LeaseSettings;
use crate::membership::{GroupMembership, HEARTBEAT_FANOUT, MembershipAction, MembershipEvent};
use crate::message::{InstanceHeartbeat, ServiceReport, SteeringMessage};
use crate::outcome::{RefusalReason, RequestRefusal};
use crate::scheduler::{
    PeerState, SchedulerAction, SchedulerActions, SchedulerSettings, ServiceScheduler, SlotRequest,
};
use crate::table::{RouteTable, ServiceSpec};

/// Former processes whose tickets an instance tells its peers to hold, the latest ones.
const ADOPTED_LIMIT: usize = 32;

/// Fixed settings of the steering state.
#[derive(Clone, Copy, Debug)]
pub struct SteeringSettings {
    /// Spans of the lease protocol.
    pub lease: LeaseSettings,
    /// Most waiting requests of a service.
    pub queue_limit: usize,
    /// Time allowed between the check of a lease and the send that it covers.
    pub send_ttl: Duration,
    /// Whether requests may be passed on to peers.
    pub forwards_to_peers: bool,
}

impl Default for SteeringSettings {
    fn default() -> Self {
        Self {
            lease: LeaseSettings {
                promise_ttl: Duration::from_secs(3),
                rate_margin: Duration::from_millis(300),
            },
            queue_limit: 512,
            send_ttl: Duration::from_secs(1),
            forwards_to_peers: true,
        }
    }
}

/// Something the instance must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum SteeringAction {
    /// Send a request to an endpoint.
    Dispatch {
        /// The try.
        id: RequestId,
        /// Where to send it.
        endpoint: SocketAddr,
        /// Failure domain of the endpoint.
        domain: String,
        /// Longest work covered by the slot.
        allowance: Duration,
    },
    /// Pass a request on to a peer, which serves it from its own slots.
    ForwardToPeer {
        /// The try.
        id: RequestId,
        /// The peer.
        peer: IncarnationId,
    },
    /// Give a request its final answer now.
    Refuse {
        /// The try.
        id: RequestId,
        /// The answer.
        refusal: RequestRefusal,
    },
    /// Close idle connections to an endpoint.
    CloseIdle(SocketAddr),
    /// Send a message to a peer.
    Send(IncarnationId, SteeringMessage),
    /// Conditionally update the stored view.
    WriteView {
        /// Version that must be current.
        expected: u64,
        /// The new view.
        view: GroupView,
    },
    /// Read the stored view and show it.
    ReadView,
    /// A peer has a higher version of the configuration in force.
    ConfigBehind(IncarnationId),
    /// An event for the time line.
    Event(MembershipEvent, Option<IncarnationId>),
}

/// Steering state of one instance.
#[derive(Debug)]
pub struct InstanceSteering {
    settings: SteeringSettings,
    domain: String,
    membership: GroupMembership,
    table: Arc<RouteTable>,
    config_version: u64,
    schedulers: BTreeMap<String, ServiceScheduler>,
    identities: BTreeMap<IncarnationId, String>,
    releasing: Vec<OwnerMove>,
    next_heartbeat: usize,
    handovers: Vec<IncarnationId>,
}

impl InstanceSteering {
    /// The state of an instance that has neither joined nor received a configuration.
    #[must_use]
    pub fn new(own: GroupMember, settings: SteeringSettings) -> Self {
        Self {
            settings,
            domain: own.domain.clone(),
            membership: GroupMembership::new(own, settings.lease),
            table: Arc::new(RouteTable::default()),
            config_version: 0,
            schedulers: BTreeMap::new(),
            identities: BTreeMap::new(),
            releasing: Vec::new(),
            next_heartbeat: 0,
            handovers: Vec::new(),
        }
    }

    /// Membership, for reports.
    #[must_use]
    pub const fn membership(&self) -> &GroupMembership {
        &self.membership
    }

    /// Desks by service, for reports.
    #[must_use]
    pub const fn schedulers(&self) -> &BTreeMap<String, ServiceScheduler> {
        &self.schedulers
    }

    /// The table in force.
    #[must_use]
    pub const fn table(&self) -> &Arc<RouteTable> {
        &self.table
    }

    /// Region of this instance under the table in force.
    #[must_use]
    pub fn region(&self) -> &str {
        self.table.region_of(&self.domain).unwrap_or_default()
    }

    /// A higher version of the configuration comes into force.
    pub fn apply_config(
        &mut self,
        now: PolicyTime,
        version: u64,
        table: Arc<RouteTable>,
    ) -> Vec<SteeringAction> {
        let mut actions = Vec::new();
        self.table = table;
        self.config_version = version;
        let table = Arc::clone(&self.table);
        for service in &table.services {
            self.add_scheduler(service);
            let Some(scheduler) = self.schedulers.get_mut(&service.name) else {
                continue;
            };
            for endpoint in &service.endpoints {
                let done = scheduler.update_endpoint(
                    endpoint.address,
                    endpoint.slots,
                    endpoint.is_draining,
                );
                translate(done, &mut actions);
            }
        }
        self.sync_owned(now);
        self.advance(now, &mut actions);
        actions
    }

    /// The stored view, read from the store or passed on by a peer.
    pub fn apply_view(
        &mut self,
        now: PolicyTime,
        version: u64,
        view: GroupView,
    ) -> Vec<SteeringAction> {
        let mut actions = Vec::new();
        let was_member = self.membership.is_member();
        if !self.membership.apply_view(now, version, view) {
            return actions;
        }
        self.releasing.clear();
        let event = match (was_member, self.membership.is_member()) {
            (false, true) => Some(MembershipEvent::Joined),
            (true, false) => Some(MembershipEvent::Removed),
            (true, true) | (false, false) => None,
        };
        actions.extend(event.map(|event| SteeringAction::Event(event, None)));
        for member in &self.membership.view().members {
            self.identities.insert(member.incarnation, member.domain.clone());
        }
        self.sync_owned(now);
        self.advance(now, &mut actions);
        actions
    }

    /// The store answered; `write_ended` when the update that was out has ended in any way.
    pub const fn record_store_answer(&mut self, now: PolicyTime, write_ended: bool) {
        self.membership.record_store_answer(now);
        if write_ended {
            self.membership.end_write();
        }
    }

    /// The update that was out failed without an answer.
    pub const fn record_write_failure(&mut self) {
        self.membership.end_write();
    }

    /// This instance holds the tickets of a former process; peers are told with each heartbeat.
    pub fn adopt_tickets(&mut self, home: IncarnationId) {
        if self.handovers.len() >= ADOPTED_LIMIT {
            self.handovers.remove(0);
        }
        self.handovers.push(home);
    }

    /// A peer in `domain` proved itself on a link.
    pub fn add_peer(&mut self, now: PolicyTime, peer: IncarnationId, domain: &str) {
        self.identities.insert(peer, domain.to_owned());
        self.membership.record_frame(now, peer);
    }

    /// A request asks for a slot of `service`.
    pub fn admit(
        &mut self,
        now: PolicyTime,
        service: &str,
        request: SlotRequest,
    ) -> Vec<SteeringAction> {
        let mut actions = Vec::new();
        let Some(scheduler) = self.schedulers.get_mut(service) else {
            let refusal = RequestRefusal::never(RefusalReason::NoRoute);
            actions.push(SteeringAction::Refuse { id: request.id, refusal });
            return actions;
        };
        scheduler.set_lease(self.membership.lease_until());
        translate(scheduler.admit(now, request), &mut actions);
        actions
    }

    /// Whether a retry of a request of `service` may be made.
    pub fn spend_retry(&mut self, service: &str) -> bool {
        self.schedulers.get_mut(service).is_some_and(ServiceScheduler::spend_retry)
    }

    /// A dispatched request ended.
    pub fn finish(
        &mut self,
        now: PolicyTime,
        service: &str,
        id: RequestId,
        result: ExchangeResult,
        latency: Duration,
    ) -> Vec<SteeringAction> {
        let mut actions = Vec::new();
        if let Some(scheduler) = self.schedulers.get_mut(service) {
            scheduler.set_lease(self.membership.lease_until());
            let done = scheduler.finish(now, id, result, latency);
            translate(done, &mut actions);
        }
        actions
    }

    /// A waiting request is no longer wanted.
    pub fn cancel(&mut self, service: &str, id: RequestId) {
        if let Some(scheduler) = self.schedulers.get_mut(service) {
            scheduler.cancel(id);
        }
    }

    /// What peers are told about one service.
    #[must_use]
    pub fn service_report(&self, now: PolicyTime, service: &str) -> Option<ServiceReport> {
        self.schedulers.get(service).map(|scheduler| scheduler.report(now, service))
    }

    /// Fresh counts of a peer, as they come with each answer of it.
    pub fn receive_counts(&mut self, peer: IncarnationId, report: ServiceReport) {
        if let Some(scheduler) = self.schedulers.get_mut(&report.service) {
            scheduler.receive_counts(peer, report);
        }
    }

    /// A message of a peer arrived.
    pub fn receive(
        &mut self,
        now: PolicyTime,
        peer: IncarnationId,
        message: SteeringMessage,
    ) -> Vec<SteeringAction> {
        let mut actions = Vec::new();
        self.membership.record_frame(now, peer);
        let mut lease_actions = Vec::new();
        self.membership.receive(now, peer, &message, &mut lease_actions);
        actions.extend(lease_actions.into_iter().map(from_membership));
        match message {
            SteeringMessage::Heartbeat(heartbeat) => {
                self.hear_heartbeat(peer, heartbeat, &mut actions)
            }
            SteeringMessage::ViewOffer { version, view } => {
                actions.extend(self.apply_view(now, version, view));
            }
            SteeringMessage::PromiseAsk { .. }
            | SteeringMessage::PromiseGiven { .. }
            | SteeringMessage::VoteAsk { .. }
            | SteeringMessage::VoteMade { .. }
            | SteeringMessage::ViewAsk { .. }
            | SteeringMessage::Suspect { .. } => {}
        }
        actions
    }

    /// Regular work, several times a second.
    pub fn heartbeat(&mut self, now: PolicyTime) -> Vec<SteeringAction> {
        let mut actions = Vec::new();
        self.drop_silent_peers(now);
        let lease = self.membership.lease_until();
        for scheduler in self.schedulers.values_mut() {
            scheduler.set_lease(lease);
            translate(scheduler.tick(now), &mut actions);
        }
        self.advance(now, &mut actions);
        let heartbeat = self.report(now);
        let peers: Vec<_> = self.membership.live_peers(now).collect();
        for peer in self.heartbeat_targets(&peers) {
            actions.push(SteeringAction::Send(peer, SteeringMessage::Heartbeat(heartbeat.clone())));
        }
        actions
    }

    /// A planned stop begins: endpoints are handed over as they fall idle.
    pub fn leave(&mut self, now: PolicyTime) -> Vec<SteeringAction> {
        self.membership.leave();
        self.heartbeat(now)
    }

    /// Whether nothing runs or waits here any more.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.schedulers.values().all(|scheduler| {
            let is_unused = scheduler.endpoints().iter().all(|endpoint| endpoint.used == 0);
            is_unused && scheduler.running() == 0 && scheduler.waiting() == 0
        })
    }

    fn add_scheduler(&mut self, service: &ServiceSpec) {
        let settings = SchedulerSettings {
            queue_limit: self.settings.queue_limit,
            max_work_time: service.longest_timeout(),
            forwards_to_peers: self.settings.forwards_to_peers,
        };
        let region = self.region().to_owned();
        let domain = &self.domain;
        let scheduler = self
            .schedulers
            .entry(service.name.clone())
            .or_insert_with(|| ServiceScheduler::new(settings, domain));
        scheduler.set_max_work_time(service.longest_timeout());
        scheduler.set_region(&region);
    }

    /// Makes the schedulers hold exactly the endpoints that the view gives this instance.
    fn sync_owned(&mut self, now: PolicyTime) {
        let own = self.membership.own();
        let table = Arc::clone(&self.table);
        for service in &table.services {
            let Some(scheduler) = self.schedulers.get_mut(&service.name) else {
                continue;
            };
            let held: BTreeMap<_, _> =
                self.membership.view().owned_by(&service.name, own).collect();
            let lost: Vec<SocketAddr> = scheduler
                .endpoints()
                .iter()
                .map(|endpoint| endpoint.address)
                .filter(|address| !held.contains_key(address))
                .collect();
            for address in lost {
                scheduler.remove_endpoint(address);
            }
            for endpoint in &service.endpoints {
                let Some(record) = held.get(&endpoint.address) else {
                    continue;
                };
                let is_leaving = |item: &OwnerMove| item.address == endpoint.address;
                if self.releasing.iter().any(is_leaving) {
                    continue;
                }
                let settle = self.settings.send_ttl + service.longest_timeout();
                let usable_at = if record.is_clean { now } else { now + settle };
                let region = table.region_of(&endpoint.domain).unwrap_or_default();
                let (address, domain) = (endpoint.address, &endpoint.domain);
                scheduler.add_endpoint(EndpointSlots::new(
                    address,
                    domain,
                    region,
                    endpoint.slots,
                    usable_at,
                ));
                let _closed =
                    scheduler.update_endpoint(address, endpoint.slots, endpoint.is_draining);
            }
        }
    }

    /// Stops using endpoints that another member should own and notes those that are free of
    /// use. A noted one stays unused until a newer view settles whether its hand-over was stored.
    fn release_misplaced(&mut self, now: PolicyTime) {
        let own = self.membership.own();
        let misplaced = self.membership.view().misplaced(own, &self.table);
        for (service, scheduler) in &mut self.schedulers {
            let addresses: Vec<_> =
                scheduler.endpoints().iter().map(|slots| slots.address).collect();
            for address in addresses {
                let is_misplaced = misplaced
                    .iter()
                    .any(|item| item.service == *service && item.address == address);
                if !is_misplaced {
                    scheduler.resume_using(address);
                }
            }
        }
        for item in misplaced {
            let is_free = self.schedulers.get_mut(&item.service).is_none_or(|scheduler| {
                scheduler.stop_using(now, item.address) && scheduler.release_endpoint(item.address)
            });
            let is_noted = self.releasing.iter().any(|known| known.address == item.address);
            if is_free && !is_noted {
                self.releasing.push(item);
            }
        }
    }

    fn advance(&mut self, now: PolicyTime, actions: &mut Vec<SteeringAction>) {
        self.release_misplaced(now);
        let planned = self.membership.heartbeat(now, &self.table, &self.releasing);
        actions.extend(planned.into_iter().map(from_membership));
    }

    fn drop_silent_peers(&mut self, now: PolicyTime) {
        let living: Vec<_> = self.membership.live_peers(now).collect();
        for scheduler in self.schedulers.values_mut() {
            for peer in scheduler.unresponsive_peers(&living) {
                scheduler.remove_peer(peer);
            }
        }
    }

    /// The peers whose turn it is; the cost of a heartbeat does not grow with the group.
    fn heartbeat_targets(&mut self, living: &[IncarnationId]) -> Vec<IncarnationId> {
        let mut peers = self.known_peers(living);
        if peers.len() > HEARTBEAT_FANOUT {
            let start = self.next_heartbeat % peers.len();
            peers.rotate_left(start);
            peers.truncate(HEARTBEAT_FANOUT);
            self.next_heartbeat = start + HEARTBEAT_FANOUT;
        }
        peers
    }

    /// Members of the view and peers that were met on a link.
    fn known_peers(&self, living: &[IncarnationId]) -> Vec<IncarnationId> {
        let own = self.membership.own();
        let members = self.membership.view().members.iter().map(|member| member.incarnation);
        let mut peers: Vec<_> =
            members.chain(living.iter().copied()).filter(|peer| *peer != own).collect();
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    fn report(&self, now: PolicyTime) -> InstanceHeartbeat {
        let reports =
            self.schedulers.iter().map(|(service, scheduler)| scheduler.report(now, service));
        InstanceHeartbeat {
            clock: now,
            config_version: self.config_version,
            view_version: self.membership.version(),
            reports: reports.collect(),
            is_leaving: self.membership.is_leaving(),
            handovers: self.handovers.clone(),
        }
    }

    fn hear_heartbeat(
        &mut self,
        peer: IncarnationId,
        heartbeat: InstanceHeartbeat,
        actions: &mut Vec<SteeringAction>,
    ) {
        if heartbeat.config_version > self.config_version {
            actions.push(SteeringAction::ConfigBehind(peer));
        }
        let domain = self.identities.get(&peer).map(String::as_str).unwrap_or_default();
        let region = self.table.region_of(domain).unwrap_or_default().to_owned();
        let delay = self.table.delay_between(self.region(), &region);
        for report in heartbeat.reports {
            let Some(scheduler) = self.schedulers.get_mut(&report.service) else {
                continue;
            };
            if heartbeat.is_leaving {
                scheduler.remove_peer(peer);
                continue;
            }
            scheduler.update_peer(
                peer,
                PeerState { report, forwarded: 0, region: region.clone(), delay },
            );
        }
    }
}

fn from_membership(action: MembershipAction) -> SteeringAction {
    match action {
        MembershipAction::Send(peer, message) => SteeringAction::Send(peer, message),
        MembershipAction::Write { expected, view } => SteeringAction::WriteView { expected, view },
        MembershipAction::ReadView => SteeringAction::ReadView,
        MembershipAction::Event(event, peer) => SteeringAction::Event(event, peer),
    }
}

fn translate(done: SchedulerActions, actions: &mut Vec<SteeringAction>) {
    actions.extend(done.into_iter().map(|action| match action {
        SchedulerAction::Dispatch { id, endpoint, domain, allowance } => {
            SteeringAction::Dispatch { id, endpoint, domain, allowance }
        }
        SchedulerAction::ForwardToPeer { id, peer } => SteeringAction::ForwardToPeer { id, peer },
        SchedulerAction::Refuse { id, refusal } => SteeringAction::Refuse { id, refusal },
        SchedulerAction::CloseIdle(address) => SteeringAction::CloseIdle(address),
    }));
}
