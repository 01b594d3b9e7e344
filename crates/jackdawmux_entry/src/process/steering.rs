//! The actor that owns the steering state and carries out its actions.

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
    Admission, AdmissionResult, AdmissionTarget, AdmitRequest, CancelRequest, FinishRequest,
    GetDepartureView, GetServiceReport, GetStatus, HandOverTickets, HeartbeatTick, PutInForce,
    ReceiveCounts, SlotOutcome, SpendRetry, StartLeaving, ViewRead, WaitDrained, WriteEnded,
};
use super::status::SteeringStatus;
use super::view::{read_view, write_view};
use crate::connection::UpstreamPool;
use crate::process::timeline::EventLog;
use crate::request::IdempotencyKeyTable;
use crate::version::{ConfigActor, OfferConfig};
use jackdawmux_runtime::ProcessClock;

/// Bounds of the list of requests that brought endpoints down.
const POISON: PoisonSettings =
    PoisonSettings { retention: Duration::from_secs(600), limit: 10_000 };

/// Time that an endpoint is given to notice a cancellation before its slot is used again.
const CANCEL_GRACE: Duration = Duration::from_millis(100);

/// What the actor works with.
#[derive(Debug)]
pub(crate) struct SteeringParts {
    pub(crate) own: PeerIdentity,
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

/// Owner of the steering state.
#[derive(Debug)]
pub(crate) struct SteeringActor {
    parts: SteeringParts,
    own_ref: ActorRef<Self>,
    answers: HashMap<RequestId, (String, oneshot::Sender<AdmissionResult>)>,
    digests: HashMap<RequestId, (RequestDigest, SocketAddr, bool)>,
    suspects: SuspectList,
    met: HashMap<IncarnationId, PeerIdentity>,
    content: Option<Arc<ConfigContent>>,
}

impl Actor for SteeringActor {
    type Args = SteeringParts;
    type Error = std::convert::Infallible;

    async fn on_start(parts: SteeringParts, own_ref: ActorRef<Self>) -> Result<Self, Self::Error> {
        Ok(Self {
            parts,
            own_ref,
            answers: HashMap::new(),
            digests: HashMap::new(),
            suspects: SuspectList::new(POISON),
            met: HashMap::new(),
            content: None,
        })
    }
}

impl SteeringActor {
    fn now(&self) -> PolicyTime {
        self.parts.clock.now()
    }

    fn carry_out(&mut self, actions: Vec<SteeringAction>) {
        let mut pending = actions;
        while !pending.is_empty() {
            let mut further = Vec::new();
            for action in pending {
                self.carry_out_one(action, &mut further);
            }
            pending = further;
        }
    }

    fn carry_out_one(&mut self, action: SteeringAction, further: &mut Vec<SteeringAction>) {
        match action {
            SteeringAction::Dispatch { id, endpoint, domain, allowance } => {
                let allowance = u64::try_from(allowance.as_millis()).unwrap_or(u64::MAX);
                let work_deadline_ms = self.parts.clock.wall_ms().saturating_add(allowance);
                self.dispatch(id, Admission { endpoint, domain, work_deadline_ms }, further);
            }
            SteeringAction::ForwardToPeer { id, peer } => self.pass_on(id, peer),
            SteeringAction::Refuse { id, refusal } => {
                self.digests.remove(&id);
                if let Some((_, answer)) = self.answers.remove(&id) {
                    // The caller may have gone; then nobody waits for the refusal.
                    let _gone = answer.send(Err(refusal));
                }
            }
            SteeringAction::CloseIdle(address) => self.parts.pool.close_idle(address),
            SteeringAction::Send(peer, message) => {
                self.send_body(peer, FrameBody::Steering(message));
            }
            SteeringAction::WriteView { expected, view } => {
                let store = Arc::clone(&self.parts.store);
                let key = self.parts.view_key.clone();
                tokio::spawn(write_view(store, key, expected, view, self.own_ref.clone()));
            }
            SteeringAction::ReadView => {
                let store = Arc::clone(&self.parts.store);
                let key = self.parts.view_key.clone();
                tokio::spawn(read_view(store, key, self.own_ref.clone()));
            }
            SteeringAction::ConfigBehind(peer) => {
                let active_version = self.content.as_ref().map_or(0, |content| content.version);
                self.send_body(peer, FrameBody::ConfigRequest { active_version });
            }
            SteeringAction::Event(event, peer) => match peer {
                Some(peer) => self.parts.events.record(&event.to_string(), &[("peer", &peer)]),
                None => self.parts.events.record(&event.to_string(), &[]),
            },
        }
    }

    fn dispatch(&mut self, id: RequestId, admission: Admission, further: &mut Vec<SteeringAction>) {
        if let Some((digest, endpoint, _)) = self.digests.get_mut(&id) {
            *endpoint = admission.endpoint;
            let level = self.suspects.level(self.parts.clock.now(), *digest);
            log::trace!("event=dispatch request={} level={level:?}", id.0);
        }
        let Some((service, answer)) = self.answers.remove(&id) else {
            return;
        };
        if answer.send(Ok(AdmissionTarget::Slot(admission))).is_err() {
            // The caller went away while the slot was on its way: give the slot back unused.
            self.digests.remove(&id);
            let now = self.now();
            let result = ExchangeResult::Cancelled;
            further.extend(self.parts.steering.finish(now, &service, id, result, Duration::ZERO));
        }
    }

    fn pass_on(&mut self, id: RequestId, peer: IncarnationId) {
        self.digests.remove(&id);
        let Some((_, answer)) = self.answers.remove(&id) else {
            return;
        };
        let target = match self.identity_of(peer) {
            Some(identity) => Ok(AdmissionTarget::Peer(identity)),
            None => Err(RequestRefusal::retryable(RefusalReason::Overloaded, CANCEL_GRACE)),
        };
        // The caller may have gone; nothing is held for it.
        let _gone = answer.send(target);
    }

    fn identity_of(&self, peer: IncarnationId) -> Option<PeerIdentity> {
        if let Some(identity) = self.met.get(&peer) {
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
        let own = self.parts.own.incarnation;
        let view = self.parts.steering.membership().view();
        let mut targets: Vec<PeerTarget> = view
            .members
            .iter()
            .map(|member| PeerTarget {
                incarnation: member.incarnation,
                address: member.peer_address,
            })
            .collect();
        for identity in self.met.values() {
            let is_known = targets.iter().any(|target| target.address == identity.peer_address);
            if !is_known {
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
        let own = &self.parts.own;
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
        // A connection that its far end is about to close must not carry another request.
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
                let seen = self.parts.steering.membership().version();
                let actions = self.parts.steering.receive(self.now(), peer, message);
                if self.parts.steering.membership().version() != seen {
                    // A peer passed on a newer view: link to members not known before.
                    self.refresh_links();
                }
                self.carry_out(actions);
            }
            FrameBody::TicketHandover(handover) => self.adopt(peer, handover),
            FrameBody::ConfigRequest { active_version } => {
                if let Some(content) =
                    self.content.clone().filter(|known| known.version > active_version)
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

    fn adopt(&mut self, peer: IncarnationId, handover: TicketHandover) {
        if handover.successor != self.parts.own.incarnation {
            return;
        }
        let (home, count) = (handover.home, handover.started.len());
        self.parts
            .events
            .record("tickets-adopted", &[("home", &home), ("peer", &peer), ("begun", &count)]);
        self.parts.steering.adopt_tickets(home);
        self.parts.idempotency_keys.adopt(self.now(), handover);
    }

    /// Passes the tickets of this process on to a living member, after everything has stopped.
    fn hand_over_tickets(&mut self) {
        let now = self.now();
        let own = self.parts.own.incarnation;
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

    /// Blames the request that ended with its endpoint's connection closed without an answer.
    fn blame(&mut self, id: RequestId) {
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
        let AdmitRequest { service, mut request, digest, answer } = message;
        let level = self.suspects.level(now, digest);
        if level == SuspectLevel::Convicted {
            let reason = RefusalReason::Poisonous;
            let _gone = answer.send(Err(RequestRefusal::retryable(reason, POISON.retention)));
            return;
        }
        request.is_suspect = level == SuspectLevel::Suspect;
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        self.digests.insert(request.id, (digest, unset, request.is_suspect));
        self.answers.insert(request.id, (service.clone(), answer));
        let actions = self.parts.steering.admit(now, &service, request);
        self.carry_out(actions);
    }
}

impl Message<FinishRequest> for SteeringActor {
    type Reply = ();

    async fn handle(&mut self, message: FinishRequest, _: &mut Context<Self, ()>) {
        let FinishRequest { service, id, result, latency, outcome } = message;
        match outcome {
            SlotOutcome::Free => {}
            SlotOutcome::Crashed => self.blame(id),
            SlotOutcome::Abandoned => {
                let later =
                    FinishRequest { service, id, result, latency, outcome: SlotOutcome::Free };
                let own_ref = self.own_ref.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(CANCEL_GRACE).await;
                    if own_ref.tell(later).await.is_err() {
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
        self.carry_out(actions);
    }
}

impl Message<CancelRequest> for SteeringActor {
    type Reply = ();

    async fn handle(&mut self, message: CancelRequest, _: &mut Context<Self, ()>) {
        self.digests.remove(&message.id);
        if self.answers.remove(&message.id).is_none() {
            // A slot was given in the meantime; whoever held its answer gives it back.
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
        self.carry_out(actions);
        self.refresh_directory();
    }
}

impl Message<ViewRead> for SteeringActor {
    type Reply = ();

    async fn handle(&mut self, message: ViewRead, _: &mut Context<Self, ()>) {
        let now = self.now();
        self.parts.steering.record_store_reply(now, message.is_write_end);
        if let Some((version, view)) = message.view {
            let actions = self.parts.steering.apply_view(now, version, view);
            self.refresh_links();
            self.carry_out(actions);
            self.refresh_directory();
        }
    }
}

impl Message<WriteEnded> for SteeringActor {
    type Reply = ();

    async fn handle(&mut self, _: WriteEnded, _: &mut Context<Self, ()>) {
        self.parts.steering.record_write_failure();
    }
}

impl Message<PutInForce> for SteeringActor {
    type Reply = ();

    async fn handle(&mut self, message: PutInForce, _: &mut Context<Self, ()>) {
        let now = self.now();
        let version = message.content.version;
        self.content = Some(message.content);
        let actions = self.parts.steering.apply_config(now, version, message.table);
        self.carry_out(actions);
        // Peers learn of the new version at once rather than with the next regular heartbeat.
        let actions = self.parts.steering.heartbeat(now);
        self.carry_out(actions);
    }
}

impl Message<PeerEvent> for SteeringActor {
    type Reply = ();

    async fn handle(&mut self, event: PeerEvent, _: &mut Context<Self, ()>) {
        match event {
            PeerEvent::Connected(identity) => {
                let now = self.now();
                self.parts.steering.add_peer(now, identity.incarnation, &identity.domain);
                // A new process at an address replaces the one that was met there.
                self.met.retain(|_, known| known.peer_address != identity.peer_address);
                self.met.insert(identity.incarnation, identity);
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
        self.carry_out(actions);
        self.refresh_directory();
    }
}

impl Message<WaitDrained> for SteeringActor {
    type Reply = bool;

    async fn handle(&mut self, _: WaitDrained, _: &mut Context<Self, bool>) -> bool {
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
