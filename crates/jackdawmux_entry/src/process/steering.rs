//! Actor that owns the steering state and executes its actions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jackdawmux_peer::{
    ConfigContent, FrameBody, PeerEvent, PeerFrame, PeerHub, PeerIdentity, PeerTarget,
};
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::endpoint::ExchangeResult;
use jackdawmux_policy::group::GroupView;
use jackdawmux_policy::identity::{IncarnationId, RequestId, mix64};
use jackdawmux_policy::message::{ServiceReport, SteeringMessage};
use jackdawmux_policy::outcome::{RefusalReason, RequestRefusal};
use jackdawmux_policy::poison::{PoisonSettings, RequestDigest, SuspectLevel, SuspectList};
use jackdawmux_policy::steering::{InstanceSteering, SteeringAction};
use jackdawmux_policy::ticket::TicketHandover;
use jackdawmux_store::ObjectStore;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use tokio::sync::{oneshot, watch};

use super::context::{DirectoryEntry, EntryDirectory};
use super::message::{
    ActivateConfig, Admission, AdmissionResult, AdmissionTarget, AdmitRequest, CancelRequest,
    FinishRequest, GetDepartureView, GetServiceReport, GetStatus, HandOverTickets, HeartbeatTick,
    IsDrained, ReceiveCounts, SlotOutcome, SpendRetry, StartLeaving, ViewRead, ViewWriteFailed,
};
use super::status::SteeringStatus;
use super::view::{read_view, write_view};
use crate::connection::UpstreamPool;
use crate::process::timeline::EventLog;
use crate::request::IdempotencyKeyTable;
use crate::version::{ConfigActor, OfferConfig};
use jackdawmux_runtime::ProcessClock;

/// Limits of the list of requests that made endpoints crash.
const POISON_SETTINGS: PoisonSettings =
    PoisonSettings { retention: Duration::from_secs(600), limit: 10_000 };

/// Time for an endpoint to notice a cancellation before its slot is used again.
const CANCEL_GRACE: Duration = Duration::from_millis(100);

/// Dependencies and initial state of the actor.
#[derive(Debug)]
pub(crate) struct SteeringParts {
    pub(crate) own_identity: PeerIdentity,
    pub(crate) steering: InstanceSteering,
    pub(crate) clock: ProcessClock,
    pub(crate) hub: Arc<PeerHub>,
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) view_key: String,
    pub(crate) events: Arc<EventLog>,
    pub(crate) pool: UpstreamPool,
    pub(crate) idempotency_keys: Arc<IdempotencyKeyTable>,
    pub(crate) directory: watch::Sender<Arc<EntryDirectory>>,
    pub(crate) config: ActorRef<ConfigActor>,
}

/// Owns the steering state of the process.
#[derive(Debug)]
pub(crate) struct SteeringActor {
    parts: SteeringParts,
    actor_ref: ActorRef<Self>,
    /// Service and reply channel of each request that has no slot yet.
    pending_admissions: HashMap<RequestId, (String, oneshot::Sender<AdmissionResult>)>,
    /// Digest of each request, its endpoint once it has one, and whether it must run there
    /// alone.
    digests: HashMap<RequestId, (RequestDigest, SocketAddr, bool)>,
    suspects: SuspectList,
    /// The process last connected from each peer address.
    peer_identities: HashMap<IncarnationId, PeerIdentity>,
    active_content: Option<Arc<ConfigContent>>,
}

impl Actor for SteeringActor {
    type Args = SteeringParts;
    type Error = std::convert::Infallible;

    async fn on_start(
        parts: SteeringParts,
        actor_ref: ActorRef<Self>,
    ) -> Result<Self, Self::Error> {
        Ok(Self {
            parts,
            actor_ref,
            pending_admissions: HashMap::new(),
            digests: HashMap::new(),
            suspects: SuspectList::new(POISON_SETTINGS),
            peer_identities: HashMap::new(),
            active_content: None,
        })
    }
}

impl SteeringActor {
    fn now(&self) -> PolicyTime {
        self.parts.clock.now()
    }

    fn execute_actions(&mut self, actions: Vec<SteeringAction>) {
        let mut pending = actions;
        while !pending.is_empty() {
            let mut follow_up = Vec::new();
            for action in pending {
                self.execute_action(action, &mut follow_up);
            }
            pending = follow_up;
        }
    }

    fn execute_action(&mut self, action: SteeringAction, follow_up: &mut Vec<SteeringAction>) {
        match action {
            SteeringAction::Dispatch { id, endpoint, domain, allowance } => {
                let allowance = u64::try_from(allowance.as_millis()).unwrap_or(u64::MAX);
                let work_deadline_ms = self.parts.clock.wall_ms().saturating_add(allowance);
                self.dispatch(id, Admission { endpoint, domain, work_deadline_ms }, follow_up);
            }
            SteeringAction::ForwardToPeer { id, peer } => self.forward_to_peer(id, peer),
            SteeringAction::Refuse { id, refusal } => {
                self.digests.remove(&id);
                if let Some((_, reply)) = self.pending_admissions.remove(&id) {
                    // The caller may have disconnected; then the refusal has no receiver.
                    let _disconnected = reply.send(Err(refusal));
                }
            }
            SteeringAction::CloseIdle(address) => self.parts.pool.close_idle(address),
            SteeringAction::Send(peer, message) => {
                self.send_body(peer, FrameBody::Steering(message));
            }
            SteeringAction::WriteView { expected, view } => {
                let store = Arc::clone(&self.parts.store);
                let key = self.parts.view_key.clone();
                tokio::spawn(write_view(store, key, expected, view, self.actor_ref.clone()));
            }
            SteeringAction::ReadView => {
                let store = Arc::clone(&self.parts.store);
                let key = self.parts.view_key.clone();
                tokio::spawn(read_view(store, key, self.actor_ref.clone()));
            }
            SteeringAction::ConfigBehind(peer) => {
                let active_version =
                    self.active_content.as_ref().map_or(0, |content| content.version);
                self.send_body(peer, FrameBody::ConfigRequest { active_version });
            }
            SteeringAction::Event(event, peer) => match peer {
                Some(peer) => self.parts.events.record(&event.to_string(), &[("peer", &peer)]),
                None => self.parts.events.record(&event.to_string(), &[]),
            },
        }
    }

    fn dispatch(
        &mut self,
        id: RequestId,
        admission: Admission,
        follow_up: &mut Vec<SteeringAction>,
    ) {
        if let Some((digest, endpoint, _)) = self.digests.get_mut(&id) {
            *endpoint = admission.endpoint;
            let level = self.suspects.level(self.parts.clock.now(), *digest);
            log::trace!("event=dispatch request={} level={level:?}", id.0);
        }
        let Some((service, reply)) = self.pending_admissions.remove(&id) else {
            return;
        };
        if reply.send(Ok(AdmissionTarget::Slot(admission))).is_err() {
            // The caller disconnected before the slot was delivered: release it unused.
            self.digests.remove(&id);
            let now = self.now();
            let result = ExchangeResult::Cancelled;
            follow_up.extend(self.parts.steering.finish(now, &service, id, result, Duration::ZERO));
        }
    }

    fn forward_to_peer(&mut self, id: RequestId, peer: IncarnationId) {
        self.digests.remove(&id);
        let Some((_, reply)) = self.pending_admissions.remove(&id) else {
            return;
        };
        let target = match self.identity_of(peer) {
            Some(identity) => Ok(AdmissionTarget::Peer(identity)),
            None => Err(RequestRefusal::retryable(RefusalReason::Overloaded, CANCEL_GRACE)),
        };
        // The caller may have disconnected; it holds no slot that would have to be released.
        let _disconnected = reply.send(target);
    }

    fn identity_of(&self, peer: IncarnationId) -> Option<PeerIdentity> {
        if let Some(identity) = self.peer_identities.get(&peer) {
            return Some(identity.clone());
        }
        let member = self.parts.steering.membership().view().member(peer)?;
        Some(PeerIdentity {
            instance: member.instance.clone(),
            incarnation: peer,
            address: member.address,
            peer_address: member.peer_address,
            domain: member.domain.clone(),
        })
    }

    fn send_body(&self, peer: IncarnationId, body: FrameBody) -> bool {
        let stamp = self.parts.events.stamp();
        self.parts.hub.send(peer, PeerFrame { stamp, body })
    }

    fn refresh_links(&self) {
        let own = self.parts.own_identity.incarnation;
        let view = self.parts.steering.membership().view();
        let mut targets: Vec<PeerTarget> = view
            .members
            .iter()
            .map(|member| PeerTarget {
                incarnation: member.incarnation,
                address: member.peer_address,
            })
            .collect();
        for identity in self.peer_identities.values() {
            let is_listed = targets.iter().any(|target| target.address == identity.peer_address);
            if !is_listed {
                let (incarnation, address) = (identity.incarnation, identity.peer_address);
                targets.push(PeerTarget { incarnation, address });
            }
        }
        targets.retain(|target| target.incarnation != own);
        self.parts.hub.set_peers(&targets);
    }

    fn refresh_directory(&self) {
        let now = self.now();
        let membership = self.parts.steering.membership();
        let own = &self.parts.own_identity;
        let mut entries: Vec<DirectoryEntry> = membership
            .view()
            .members
            .iter()
            .filter(|member| member.incarnation != own.incarnation)
            .map(|member| DirectoryEntry {
                incarnation: member.incarnation,
                instance: member.instance.clone(),
                address: member.address,
                domain: member.domain.clone(),
                is_usable: membership.is_usable(now, member),
            })
            .collect();
        entries.push(DirectoryEntry {
            incarnation: own.incarnation,
            instance: own.instance.clone(),
            address: own.address,
            domain: own.domain.clone(),
            is_usable: !membership.is_leaving(),
        });
        entries.sort_by_key(|entry| entry.incarnation);
        // An unusable instance is about to close its connections, so no idle connection to it may
        // carry another request.
        for entry in entries.iter().filter(|entry| !entry.is_usable) {
            self.parts.pool.close_idle(entry.address);
        }
        self.parts.directory.send_if_modified(|directory| {
            let is_changed = directory.entries != entries;
            if is_changed {
                *directory = Arc::new(EntryDirectory { entries });
            }
            is_changed
        });
    }

    fn receive_frame(&mut self, peer: IncarnationId, frame: PeerFrame) {
        self.parts.events.observe(frame.stamp);
        match frame.body {
            FrameBody::Steering(SteeringMessage::Suspect { digest, is_convicted }) => {
                let level =
                    if is_convicted { SuspectLevel::Convicted } else { SuspectLevel::Suspect };
                self.suspects.apply(self.now(), digest, level);
            }
            FrameBody::Steering(message) => {
                if let SteeringMessage::Heartbeat(heartbeat) = &message {
                    if heartbeat.is_leaving {
                        self.parts.idempotency_keys.record_leaving(self.now(), peer);
                    }
                    for home in &heartbeat.handovers {
                        self.parts.idempotency_keys.record_successor(*home, peer);
                    }
                }
                let previous_version = self.parts.steering.membership().version();
                let actions = self.parts.steering.receive(self.now(), peer, message);
                if self.parts.steering.membership().version() != previous_version {
                    // The peer sent a newer view: open links to members that it adds.
                    self.refresh_links();
                }
                self.execute_actions(actions);
            }
            FrameBody::TicketHandover(handover) => self.adopt_handover(peer, handover),
            FrameBody::ConfigRequest { active_version } => {
                if let Some(content) =
                    self.active_content.clone().filter(|known| known.version > active_version)
                {
                    self.send_body(peer, FrameBody::ConfigOffer((*content).clone()));
                }
            }
            FrameBody::ConfigOffer(content) => {
                let offer = OfferConfig { content, source: format!("peer {peer}") };
                if self.parts.config.tell(offer).try_send().is_err() {
                    log::debug!("event=config-offer-dropped peer={peer}");
                }
            }
        }
    }

    fn adopt_handover(&mut self, peer: IncarnationId, handover: TicketHandover) {
        if handover.successor != self.parts.own_identity.incarnation {
            return;
        }
        let (home, count) = (handover.home, handover.started.len());
        self.parts
            .events
            .record("tickets-adopted", &[("home", &home), ("peer", &peer), ("begun", &count)]);
        self.parts.steering.adopt_tickets(home);
        self.parts.idempotency_keys.adopt(self.now(), handover);
    }

    /// Hands the tickets of this process over to a usable member, after all requests have ended.
    fn hand_over_tickets(&mut self) {
        let now = self.now();
        let own = self.parts.own_identity.incarnation;
        let membership = self.parts.steering.membership();
        let members = &membership.view().members;
        let successor = members
            .iter()
            .filter(|member| member.incarnation != own && membership.is_usable(now, member))
            .map(|member| member.incarnation)
            .max_by_key(|peer| mix64(own.0 ^ peer.0));
        let Some(successor) = successor else {
            return;
        };
        for handover in self.parts.idempotency_keys.handovers(own, successor, now) {
            self.send_body(successor, FrameBody::TicketHandover(handover));
        }
        self.parts.events.record("tickets-passed-on", &[("successor", &successor)]);
    }

    /// Records a crash for a request whose endpoint closed the connection without a response.
    fn record_crash(&mut self, id: RequestId) {
        let Some((digest, endpoint, was_alone)) = self.digests.get(&id).copied() else {
            return;
        };
        let level = self.suspects.record_crash(self.now(), digest, was_alone);
        let is_convicted = level == SuspectLevel::Convicted;
        self.parts.events.record(
            "request-blamed",
            &[
                ("digest", &format!("{digest:016x}")),
                ("endpoint", &endpoint),
                ("convicted", &is_convicted),
            ],
        );
        let stamp = self.parts.events.stamp();
        let message = SteeringMessage::Suspect { digest, is_convicted };
        self.parts.hub.broadcast(&PeerFrame { stamp, body: FrameBody::Steering(message) });
    }
}

impl Message<AdmitRequest> for SteeringActor {
    type Reply = ();

    async fn handle(&mut self, message: AdmitRequest, _: &mut Context<Self, ()>) {
        let now = self.now();
        let AdmitRequest { service, mut request, digest, reply_sender } = message;
        let level = self.suspects.level(now, digest);
        if level == SuspectLevel::Convicted {
            let reason = RefusalReason::Poisonous;
            let _disconnected = reply_sender
                .send(Err(RequestRefusal::retryable(reason, POISON_SETTINGS.retention)));
            return;
        }
        request.is_suspect = level == SuspectLevel::Suspect;
        let unassigned = SocketAddr::from(([0, 0, 0, 0], 0));
        self.digests.insert(request.id, (digest, unassigned, request.is_suspect));
        self.pending_admissions.insert(request.id, (service.clone(), reply_sender));
        let actions = self.parts.steering.admit(now, &service, request);
        self.execute_actions(actions);
    }
}

impl Message<FinishRequest> for SteeringActor {
    type Reply = ();

    async fn handle(&mut self, message: FinishRequest, _: &mut Context<Self, ()>) {
        let FinishRequest { service, id, result, latency, outcome } = message;
        match outcome {
            SlotOutcome::Free => {}
            SlotOutcome::Crashed => self.record_crash(id),
            SlotOutcome::Abandoned => {
                let later =
                    FinishRequest { service, id, result, latency, outcome: SlotOutcome::Free };
                let actor_ref = self.actor_ref.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(CANCEL_GRACE).await;
                    if actor_ref.tell(later).await.is_err() {
                        log::debug!("event=finish-unsent request={}", id.0);
                    }
                });
                return;
            }
        }
        if let Some((digest, _, was_alone)) = self.digests.remove(&id)
            && was_alone
            && result == ExchangeResult::Answered
        {
            self.suspects.clear(digest);
        }
        let actions = self.parts.steering.finish(self.now(), &service, id, result, latency);
        self.execute_actions(actions);
    }
}

impl Message<CancelRequest> for SteeringActor {
    type Reply = ();

    async fn handle(&mut self, message: CancelRequest, _: &mut Context<Self, ()>) {
        self.digests.remove(&message.id);
        if self.pending_admissions.remove(&message.id).is_none() {
            // A slot was granted in the meantime; the receiver of the reply releases it.
            return;
        }
        self.parts.steering.cancel(&message.service, message.id);
    }
}

impl Message<SpendRetry> for SteeringActor {
    type Reply = bool;

    async fn handle(&mut self, message: SpendRetry, _: &mut Context<Self, bool>) -> bool {
        self.parts.steering.spend_retry(&message.service)
    }
}

impl Message<ReceiveCounts> for SteeringActor {
    type Reply = ();

    async fn handle(&mut self, message: ReceiveCounts, _: &mut Context<Self, ()>) {
        self.parts.steering.receive_counts(message.peer, message.report);
    }
}

impl Message<GetServiceReport> for SteeringActor {
    type Reply = Option<ServiceReport>;

    async fn handle(
        &mut self,
        message: GetServiceReport,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.parts.steering.service_report(self.now(), &message.service)
    }
}

impl Message<HeartbeatTick> for SteeringActor {
    type Reply = ();

    async fn handle(&mut self, _: HeartbeatTick, _: &mut Context<Self, ()>) {
        let actions = self.parts.steering.heartbeat(self.now());
        self.execute_actions(actions);
        self.refresh_directory();
    }
}

impl Message<ViewRead> for SteeringActor {
    type Reply = ();

    async fn handle(&mut self, message: ViewRead, _: &mut Context<Self, ()>) {
        let now = self.now();
        self.parts.steering.record_store_reply(now, message.write_ended);
        if let Some((version, view)) = message.view {
            let actions = self.parts.steering.apply_view(now, version, view);
            self.refresh_links();
            self.execute_actions(actions);
            self.refresh_directory();
        }
    }
}

impl Message<ViewWriteFailed> for SteeringActor {
    type Reply = ();

    async fn handle(&mut self, _: ViewWriteFailed, _: &mut Context<Self, ()>) {
        self.parts.steering.record_write_failure();
    }
}

impl Message<ActivateConfig> for SteeringActor {
    type Reply = ();

    async fn handle(&mut self, message: ActivateConfig, _: &mut Context<Self, ()>) {
        let now = self.now();
        let version = message.content.version;
        self.active_content = Some(message.content);
        let actions = self.parts.steering.apply_config(now, version, message.table);
        self.execute_actions(actions);
        // Sends the new version to peers immediately instead of with the next periodic heartbeat.
        let actions = self.parts.steering.heartbeat(now);
        self.execute_actions(actions);
    }
}

impl Message<PeerEvent> for SteeringActor {
    type Reply = ();

    async fn handle(&mut self, event: PeerEvent, _: &mut Context<Self, ()>) {
        match event {
            PeerEvent::Connected(identity) => {
                let now = self.now();
                self.parts.steering.add_peer(now, identity.incarnation, &identity.domain);
                // A new process replaces the one that had the same peer address before.
                self.peer_identities.retain(|_, known| known.peer_address != identity.peer_address);
                self.peer_identities.insert(identity.incarnation, identity);
                self.refresh_links();
            }
            PeerEvent::Frame(peer, frame) => self.receive_frame(peer, frame),
            PeerEvent::Closed(peer) => log::debug!("event=peer-closed peer={peer}"),
        }
    }
}

impl Message<StartLeaving> for SteeringActor {
    type Reply = ();

    async fn handle(&mut self, _: StartLeaving, _: &mut Context<Self, ()>) {
        self.parts.events.record("leaving", &[]);
        let actions = self.parts.steering.leave(self.now());
        self.execute_actions(actions);
        self.refresh_directory();
    }
}

impl Message<IsDrained> for SteeringActor {
    type Reply = bool;

    async fn handle(&mut self, _: IsDrained, _: &mut Context<Self, bool>) -> bool {
        self.parts.steering.is_drained()
    }
}

impl Message<HandOverTickets> for SteeringActor {
    type Reply = ();

    async fn handle(&mut self, _: HandOverTickets, _: &mut Context<Self, ()>) {
        self.hand_over_tickets();
    }
}

impl Message<GetDepartureView> for SteeringActor {
    type Reply = Option<(u64, GroupView)>;

    async fn handle(
        &mut self,
        _: GetDepartureView,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.parts.steering.membership().departure_view()
    }
}

impl Message<GetStatus> for SteeringActor {
    type Reply = Option<SteeringStatus>;

    async fn handle(&mut self, _: GetStatus, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Some(SteeringStatus::read(&self.parts.steering, self.now()))
    }
}
