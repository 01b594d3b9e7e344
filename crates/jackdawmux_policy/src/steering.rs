//! Steering state of one instance: its membership and one scheduler for each service.
//!
//! The instance passes in requests, messages of peers, stored views, new tables and the current
//! time, and carries out the returned actions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::PolicyTime;
use crate::endpoint::{EndpointSlots, ExchangeResult};
use crate::group::{GroupMember, GroupView, OwnerMove};
use crate::identity::{IncarnationId, RequestId};
use crate::lease::LeaseSettings;
use crate::membership::{GroupMembership, HEARTBEAT_FAN_OUT, MembershipAction, MembershipEvent};
use crate::message::{InstanceHeartbeat, ServiceReport, SteeringMessage};
use crate::outcome::{RefusalReason, RequestRefusal};
use crate::scheduler::{
    PeerState, SchedulerAction, SchedulerActions, SchedulerSettings, ServiceScheduler, SlotRequest,
};
use crate::table::{RouteTable, ServiceSpec};

/// Maximum number of earlier processes whose tickets an instance reports to its peers as handed
/// over; the oldest are dropped first.
const MAX_HANDOVERS: usize = 32;

/// Fixed settings of the steering state.
#[derive(Clone, Copy, Debug)]
pub struct SteeringSettings {
    /// Durations of the lease protocol.
    pub lease: LeaseSettings,
    /// Maximum number of waiting requests of a service.
    pub queue_limit: usize,
    /// Maximum time between the check of a lease and the send that the check permits.
    pub send_ttl: Duration,
    /// Whether requests may be forwarded to peers.
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

/// An action that the instance must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum SteeringAction {
    /// Send a request to an endpoint.
    Dispatch {
        /// The attempt.
        id: RequestId,
        /// Address to send the request to.
        endpoint: SocketAddr,
        /// Failure domain of the endpoint.
        domain: String,
        /// Maximum duration of the work.
        allowance: Duration,
    },
    /// Forward a request to a peer, which serves it from its own slots.
    ForwardToPeer {
        /// The attempt.
        id: RequestId,
        /// The peer.
        peer: IncarnationId,
    },
    /// Refuse a request.
    Refuse {
        /// The attempt.
        id: RequestId,
        /// Reason and retry-after delay.
        refusal: RequestRefusal,
    },
    /// Close idle connections to an endpoint.
    CloseIdle(SocketAddr),
    /// Send a message to a peer.
    Send(IncarnationId, SteeringMessage),
    /// Replace the stored view if its version is still `expected`; zero means that it must not
    /// exist yet.
    WriteView {
        /// Version that the stored view must have.
        expected: u64,
        /// The new view.
        view: GroupView,
    },
    /// Read the stored view and pass it to [`InstanceSteering::apply_view`].
    ReadView,
    /// Request the configuration from a peer whose active version is higher.
    ConfigBehind(IncarnationId),
    /// Record an event in the event timeline, with the peer that it concerns.
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
    peer_domains: BTreeMap<IncarnationId, String>,
    releasing: Vec<OwnerMove>,
    next_heartbeat_target: usize,
    handovers: Vec<IncarnationId>,
}

impl InstanceSteering {
    /// Creates the state of an instance that has neither joined nor received a configuration.
    #[must_use]
    pub fn new(own: GroupMember, settings: SteeringSettings) -> Self {
        Self {
            settings,
            domain: own.domain.clone(),
            membership: GroupMembership::new(own, settings.lease),
            table: Arc::new(RouteTable::default()),
            config_version: 0,
            schedulers: BTreeMap::new(),
            peer_domains: BTreeMap::new(),
            releasing: Vec::new(),
            next_heartbeat_target: 0,
            handovers: Vec::new(),
        }
    }

    /// Membership state of this instance.
    #[must_use]
    pub const fn membership(&self) -> &GroupMembership {
        &self.membership
    }

    /// Schedulers by service name.
    #[must_use]
    pub const fn schedulers(&self) -> &BTreeMap<String, ServiceScheduler> {
        &self.schedulers
    }

    /// The active table.
    #[must_use]
    pub const fn table(&self) -> &Arc<RouteTable> {
        &self.table
    }

    /// Region of this instance in the active table; empty when the table does not contain its
    /// failure domain.
    #[must_use]
    pub fn region(&self) -> &str {
        self.table.region_of(&self.domain).unwrap_or_default()
    }

    /// Applies a higher version of the configuration.
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
                let scheduled = scheduler.update_endpoint(
                    endpoint.address,
                    endpoint.slots,
                    endpoint.is_draining,
                );
                push_scheduler_actions(scheduled, &mut actions);
            }
        }
        self.sync_owned(now);
        self.update_membership(now, &mut actions);
        actions
    }

    /// Applies a view that was read from the store or sent by a peer, if it is newer.
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
            self.peer_domains.insert(member.incarnation, member.domain.clone());
        }
        self.sync_owned(now);
        self.update_membership(now, &mut actions);
        actions
    }

    /// Records that the store replied; `write_ended` is set if the pending update has ended, with
    /// any outcome.
    pub const fn record_store_reply(&mut self, now: PolicyTime, write_ended: bool) {
        self.membership.record_store_reply(now);
        if write_ended {
            self.membership.end_write();
        }
    }

    /// Records that the pending update ended without a reply of the store.
    pub const fn record_write_failure(&mut self) {
        self.membership.end_write();
    }

    /// Records that the tickets of the earlier process `home` were handed over to this instance;
    /// each heartbeat reports this to the peers.
    pub fn adopt_tickets(&mut self, home: IncarnationId) {
        if self.handovers.len() >= MAX_HANDOVERS {
            self.handovers.remove(0);
        }
        self.handovers.push(home);
    }

    /// Adds a peer in `domain` that has proved its identity on a link.
    pub fn add_peer(&mut self, now: PolicyTime, peer: IncarnationId, domain: &str) {
        self.peer_domains.insert(peer, domain.to_owned());
        self.membership.record_frame(now, peer);
    }

    /// Handles a request for a slot of `service`.
    pub fn admit(
        &mut self,
        now: PolicyTime,
        service: &str,
        request: SlotRequest,
    ) -> Vec<SteeringAction> {
        let mut actions = Vec::new();
        let Some(scheduler) = self.schedulers.get_mut(service) else {
            let refusal = RequestRefusal::permanent(RefusalReason::NoRoute);
            actions.push(SteeringAction::Refuse { id: request.id, refusal });
            return actions;
        };
        scheduler.set_lease(self.membership.lease_until());
        push_scheduler_actions(scheduler.admit(now, request), &mut actions);
        actions
    }

    /// Spends one retry from the budget of `service`. Returns whether the budget allowed it.
    pub fn spend_retry(&mut self, service: &str) -> bool {
        self.schedulers.get_mut(service).is_some_and(ServiceScheduler::spend_retry)
    }

    /// Releases the slot of a dispatched request that has ended and records its result.
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
            let scheduled = scheduler.finish(now, id, result, latency);
            push_scheduler_actions(scheduled, &mut actions);
        }
        actions
    }

    /// Removes a waiting request whose response is no longer needed.
    pub fn cancel(&mut self, service: &str, id: RequestId) {
        if let Some(scheduler) = self.schedulers.get_mut(service) {
            scheduler.cancel(id);
        }
    }

    /// Report on one service for peers; `None` when the service has no scheduler.
    #[must_use]
    pub fn service_report(&self, now: PolicyTime, service: &str) -> Option<ServiceReport> {
        self.schedulers.get(service).map(|scheduler| scheduler.report(now, service))
    }

    /// Replaces the report of a peer on one service, as received with its responses.
    pub fn receive_counts(&mut self, peer: IncarnationId, report: ServiceReport) {
        if let Some(scheduler) = self.schedulers.get_mut(&report.service) {
            scheduler.receive_counts(peer, report);
        }
    }

    /// Handles a message of a peer.
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
                self.receive_heartbeat(peer, heartbeat, &mut actions)
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

    /// Periodic work, to be called several times a second.
    pub fn heartbeat(&mut self, now: PolicyTime) -> Vec<SteeringAction> {
        let mut actions = Vec::new();
        self.remove_unresponsive_peers(now);
        let lease = self.membership.lease_until();
        for scheduler in self.schedulers.values_mut() {
            scheduler.set_lease(lease);
            push_scheduler_actions(scheduler.tick(now), &mut actions);
        }
        self.update_membership(now, &mut actions);
        let heartbeat = self.own_heartbeat(now);
        let peers: Vec<_> = self.membership.live_peers(now).collect();
        for peer in self.heartbeat_targets(&peers) {
            actions.push(SteeringAction::Send(peer, SteeringMessage::Heartbeat(heartbeat.clone())));
        }
        actions
    }

    /// Begins a planned stop: endpoints are handed over as their requests end.
    pub fn leave(&mut self, now: PolicyTime) -> Vec<SteeringAction> {
        self.membership.leave();
        self.heartbeat(now)
    }

    /// Whether no request runs or waits at this instance.
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
            max_work_time: service.max_timeout(),
            forwards_to_peers: self.settings.forwards_to_peers,
        };
        let region = self.region().to_owned();
        let domain = &self.domain;
        let scheduler = self
            .schedulers
            .entry(service.name.clone())
            .or_insert_with(|| ServiceScheduler::new(settings, domain));
        scheduler.set_max_work_time(service.max_timeout());
        scheduler.set_region(&region);
    }

    /// Makes the schedulers hold exactly the endpoints that this instance owns in the view, without
    /// those that are being handed over.
    fn sync_owned(&mut self, now: PolicyTime) {
        let own = self.membership.own();
        let table = Arc::clone(&self.table);
        for service in &table.services {
            let Some(scheduler) = self.schedulers.get_mut(&service.name) else {
                continue;
            };
            let owned: BTreeMap<_, _> =
                self.membership.view().owned_by(&service.name, own).collect();
            let lost: Vec<SocketAddr> = scheduler
                .endpoints()
                .iter()
                .map(|endpoint| endpoint.address)
                .filter(|address| !owned.contains_key(address))
                .collect();
            for address in lost {
                scheduler.remove_endpoint(address);
            }
            for endpoint in &service.endpoints {
                let Some(record) = owned.get(&endpoint.address) else {
                    continue;
                };
                let is_releasing = |handover: &OwnerMove| handover.address == endpoint.address;
                if self.releasing.iter().any(is_releasing) {
                    continue;
                }
                let settle_time = self.settings.send_ttl + service.max_timeout();
                let usable_at = if record.is_clean { now } else { now + settle_time };
                let region = table.region_of(&endpoint.domain).unwrap_or_default();
                let (address, domain) = (endpoint.address, &endpoint.domain);
                scheduler.add_endpoint(EndpointSlots::new(
                    address,
                    domain,
                    region,
                    endpoint.slots,
                    usable_at,
                ));
                let _close_idle =
                    scheduler.update_endpoint(address, endpoint.slots, endpoint.is_draining);
            }
        }
    }

    /// Stops using endpoints that another member should own, and records those without running
    /// work for a handover. A recorded endpoint stays unused until a newer view shows whether the
    /// handover was stored.
    fn release_misplaced(&mut self, now: PolicyTime) {
        let own = self.membership.own();
        let misplaced = self.membership.view().misplaced(own, &self.table);
        for (service, scheduler) in &mut self.schedulers {
            let addresses: Vec<_> =
                scheduler.endpoints().iter().map(|slots| slots.address).collect();
            for address in addresses {
                let is_misplaced = misplaced
                    .iter()
                    .any(|handover| handover.service == *service && handover.address == address);
                if !is_misplaced {
                    scheduler.resume_using(address);
                }
            }
        }
        for handover in misplaced {
            let is_free = self.schedulers.get_mut(&handover.service).is_none_or(|scheduler| {
                scheduler.stop_using(now, handover.address)
                    && scheduler.release_endpoint(handover.address)
            });
            let is_recorded =
                self.releasing.iter().any(|recorded| recorded.address == handover.address);
            if is_free && !is_recorded {
                self.releasing.push(handover);
            }
        }
    }

    fn update_membership(&mut self, now: PolicyTime, actions: &mut Vec<SteeringAction>) {
        self.release_misplaced(now);
        let planned = self.membership.heartbeat(now, &self.table, &self.releasing);
        actions.extend(planned.into_iter().map(from_membership));
    }

    fn remove_unresponsive_peers(&mut self, now: PolicyTime) {
        let live: Vec<_> = self.membership.live_peers(now).collect();
        for scheduler in self.schedulers.values_mut() {
            for peer in scheduler.unresponsive_peers(&live) {
                scheduler.remove_peer(peer);
            }
        }
    }

    /// Peers that receive this heartbeat: at most [`HEARTBEAT_FAN_OUT`], in rotation, so that the
    /// cost of a heartbeat does not grow with the group.
    fn heartbeat_targets(&mut self, live: &[IncarnationId]) -> Vec<IncarnationId> {
        let mut peers = self.heartbeat_candidates(live);
        if peers.len() > HEARTBEAT_FAN_OUT {
            let start = self.next_heartbeat_target % peers.len();
            peers.rotate_left(start);
            peers.truncate(HEARTBEAT_FAN_OUT);
            self.next_heartbeat_target = start + HEARTBEAT_FAN_OUT;
        }
        peers
    }

    /// Members of the view and live peers, without this instance.
    fn heartbeat_candidates(&self, live: &[IncarnationId]) -> Vec<IncarnationId> {
        let own = self.membership.own();
        let members = self.membership.view().members.iter().map(|member| member.incarnation);
        let mut peers: Vec<_> =
            members.chain(live.iter().copied()).filter(|peer| *peer != own).collect();
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    fn own_heartbeat(&self, now: PolicyTime) -> InstanceHeartbeat {
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

    fn receive_heartbeat(
        &mut self,
        peer: IncarnationId,
        heartbeat: InstanceHeartbeat,
        actions: &mut Vec<SteeringAction>,
    ) {
        if heartbeat.config_version > self.config_version {
            actions.push(SteeringAction::ConfigBehind(peer));
        }
        let domain = self.peer_domains.get(&peer).map(String::as_str).unwrap_or_default();
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

fn push_scheduler_actions(scheduled: SchedulerActions, actions: &mut Vec<SteeringAction>) {
    actions.extend(scheduled.into_iter().map(|action| match action {
        SchedulerAction::Dispatch { id, endpoint, domain, allowance } => {
            SteeringAction::Dispatch { id, endpoint, domain, allowance }
        }
        SchedulerAction::ForwardToPeer { id, peer } => SteeringAction::ForwardToPeer { id, peer },
        SchedulerAction::Refuse { id, refusal } => SteeringAction::Refuse { id, refusal },
        SchedulerAction::CloseIdle(address) => SteeringAction::CloseIdle(address),
    }));
}
