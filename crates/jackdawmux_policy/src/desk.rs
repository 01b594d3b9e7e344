//! Admission, slot choice and loans for one service at one instance.
//!
//! An endpoint's slots belong to exactly one instance, its owner. The owner gives a slot either
//! to a request of its own or, as a loan for a single request, to a peer. A request that finds no
//! free slot waits here and, through a *want*, in the queue of a few peers at the same time; the
//! first slot that frees anywhere serves it. All waiters of an endpoint, local or remote, stand
//! in the owner's one queue, ordered by priority and arrival.
//!
//! The bound: for each endpoint `own + lent` at the owner never exceeds the rules' slots, and
//! every send of a borrower is covered by a slot that the owner counts as lent until the borrower
//! returns it or the loan and the longest work under it have run out.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::clock::PolicyTime;
use crate::endpoint::{EndpointSlots, EndpointState, ExchangeResult};
use crate::identity::{IncarnationId, LoanId, RequestId};
use crate::outcome::{RefusalReason, RequestRefusal};
use crate::queue::{QueuedWaiter, WaitQueue, WaiterOrigin};
use crate::retry::RetryBudget;
use crate::table::RequestPriority;

/// Pause suggested to callers where no better estimate exists.
const RETURN_DEFAULT: Duration = Duration::from_millis(500);
/// Shortest pause suggested to callers.
const RETURN_SHORTEST: Duration = Duration::from_millis(100);
/// Loans remembered after their end, so that a duplicated grant is recognised.
const ENDED_LOANS_KEPT: usize = 1_024;
/// Smoothing weight of the mean service time.
const SERVICE_WEIGHT: f64 = 0.05;

/// Fixed settings of a desk.
#[derive(Clone, Copy, Debug)]
pub struct DeskSettings {
    /// Most waiters, local and remote together.
    pub queue_limit: usize,
    /// Time from grant to the latest start of work under a loan.
    pub loan_ttl: Duration,
    /// Longest work that may run under a slot.
    pub longest_work: Duration,
    /// Peers asked at once for one waiting request.
    pub want_fanout: usize,
}

/// What a request asks of the desk.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// The try that asks.
    pub id: RequestId,
    /// Importance.
    pub priority: RequestPriority,
    /// When an answer is of no more use.
    pub deadline: PolicyTime,
    /// Region that should serve it.
    pub region: String,
    /// Endpoints already tried.
    pub excluded: SmallVec<[SocketAddr; 2]>,
    /// Failure domain already tried; another one is preferred.
    pub avoided_domain: Option<String>,
    /// Whether it must run on an endpoint with nothing else on it.
    pub is_suspect: bool,
    /// Whether it is cheap and repeatable, and so may probe a suspended endpoint.
    pub may_probe: bool,
}

/// A slot of a peer's endpoint, lent for a single request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotLoan {
    /// Number given by the lender.
    pub id: LoanId,
    /// The endpoint to use.
    pub endpoint: SocketAddr,
    /// Failure domain of the endpoint.
    pub domain: String,
    /// Latest reading of the borrower's clock that the lender had seen when granting.
    pub echo: PolicyTime,
    /// Time from `echo` to the latest start of work.
    pub ttl: Duration,
}

/// What peers last said about their slots.
#[derive(Clone, Debug)]
pub struct PeerReport {
    /// Slots free at the peer.
    pub idle: u32,
    /// Requests waiting at the peer.
    pub waiting: u32,
    /// Region of the peer.
    pub region: String,
    /// One-way delay to the peer.
    pub delay: Duration,
}

/// Where the slot of a running request comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
enum SlotSource {
    Own,
    Borrowed(IncarnationId, LoanId),
}

#[derive(Clone, Debug)]
struct RunningRequest {
    endpoint: SocketAddr,
    source: SlotSource,
    is_exclusive: bool,
}

#[derive(Clone, Copy, Debug)]
struct LentSlot {
    endpoint: SocketAddr,
    reclaim_at: PolicyTime,
}

/// Something the caller of the desk must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum DeskAction {
    /// Send the request to the endpoint; the work must end within `allowance` of now.
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
    /// Give the final answer now.
    Refuse {
        /// The try.
        id: RequestId,
        /// The answer.
        refusal: RequestRefusal,
    },
    /// Ask a peer for a slot.
    Want {
        /// The peer.
        peer: IncarnationId,
        /// The waiting try.
        id: RequestId,
        /// Importance.
        priority: RequestPriority,
        /// Time left to the deadline.
        patience: Duration,
    },
    /// Take an earlier want back.
    Withdraw {
        /// The peer.
        peer: IncarnationId,
        /// The try that no longer waits.
        id: RequestId,
    },
    /// Lend a slot to a peer's waiting request.
    Grant {
        /// The peer.
        peer: IncarnationId,
        /// The peer's waiting try.
        id: RequestId,
        /// The loan.
        loan: SlotLoan,
    },
    /// Return a loan that is not, or no longer, used.
    Return {
        /// The lender.
        peer: IncarnationId,
        /// The loan.
        loan: LoanId,
        /// How the exchange ended; absent when the loan was not used.
        report: Option<LoanReport>,
    },
    /// Close idle connections to an endpoint that leaves.
    CloseIdle(SocketAddr),
}

/// What a borrower tells the lender about an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReport {
    /// Answered in full.
    pub is_answered: bool,
    /// Refused without running.
    pub is_shed: bool,
    /// Time of the exchange.
    pub latency: Duration,
}

impl LoanReport {
    fn new(result: ExchangeResult, latency: Duration) -> Self {
        Self {
            is_answered: result == ExchangeResult::Answered,
            is_shed: result == ExchangeResult::Shed,
            latency,
        }
    }

    const fn result(self) -> ExchangeResult {
        match (self.is_answered, self.is_shed) {
            (true, _) => ExchangeResult::Answered,
            (false, true) => ExchangeResult::Shed,
            (false, false) => ExchangeResult::Failed,
        }
    }
}

/// Sort key of a peer that may be asked for a slot: has none idle, is in another region, its
/// waiters, its delay, its identity.
type PeerRank = (bool, bool, u32, Duration, IncarnationId);

/// Actions of one event.
pub type DeskActions = SmallVec<[DeskAction; 4]>;

/// Steering state of one service at one instance.
#[derive(Debug)]
pub struct ServiceDesk {
    settings: DeskSettings,
    domain: String,
    endpoints: Vec<EndpointSlots>,
    queue: WaitQueue,
    waiting: HashMap<RequestId, SlotRequest>,
    running: HashMap<RequestId, RunningRequest>,
    lent: HashMap<(IncarnationId, LoanId), LentSlot>,
    wants: HashMap<RequestId, SmallVec<[IncarnationId; 2]>>,
    ended_loans: VecDeque<(IncarnationId, LoanId)>,
    peers: HashMap<IncarnationId, PeerReport>,
    echoes: HashMap<IncarnationId, PolicyTime>,
    next_loan: u64,
    lease_until: PolicyTime,
    mean_service_us: f64,
    budget: RetryBudget,
    is_leaving: bool,
}

impl ServiceDesk {
    /// A desk for an instance in `domain`, with no endpoints and no lease yet.
    #[must_use]
    pub fn new(settings: DeskSettings, domain: &str) -> Self {
        Self {
            settings,
            domain: domain.to_owned(),
            endpoints: Vec::new(),
            queue: WaitQueue::default(),
            waiting: HashMap::new(),
            running: HashMap::new(),
            lent: HashMap::new(),
            wants: HashMap::new(),
            ended_loans: VecDeque::new(),
            peers: HashMap::new(),
            echoes: HashMap::new(),
            next_loan: 0,
            lease_until: PolicyTime::default(),
            mean_service_us: 0.0,
            budget: RetryBudget::default(),
            is_leaving: false,
        }
    }

    /// The owned endpoints.
    #[must_use]
    pub fn endpoints(&self) -> &[EndpointSlots] {
        &self.endpoints
    }

    /// Slots that could be given out now.
    #[must_use]
    pub fn idle(&self, now: PolicyTime) -> u32 {
        if !self.holds_lease(now) {
            return 0;
        }
        self.endpoints.iter().map(|endpoint| endpoint.free(now)).sum()
    }

    /// Requests that wait here, local and remote.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Requests of this instance that run now.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Sets the end of the lease under which owned slots may be given out.
    pub const fn set_lease(&mut self, until: PolicyTime) {
        self.lease_until = until;
    }

    /// Stops lending and new admissions; the instance leaves.
    pub const fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Sets the longest work that may run under a slot.
    pub const fn set_longest_work(&mut self, longest: Duration) {
        self.settings.longest_work = longest;
    }

    /// Notes the newest reading of a peer's clock, which loans to it echo.
    pub fn note_clock(&mut self, peer: IncarnationId, clock: PolicyTime) {
        let newest = self.echoes.entry(peer).or_insert(clock);
        *newest = (*newest).max(clock);
    }

    /// Peers known here that `living` does not name.
    #[must_use]
    pub fn silent_peers(&self, living: &[IncarnationId]) -> Vec<IncarnationId> {
        self.peers.keys().filter(|peer| !living.contains(peer)).copied().collect()
    }

    /// Gives nothing more of an endpoint out, so that it can be handed over; says whether
    /// nothing of it is in use.
    pub fn stop_using(&mut self, address: SocketAddr) -> bool {
        let Some(index) = self.position(address) else {
            return true;
        };
        self.endpoints[index].is_releasing = true;
        self.endpoints[index].used() == 0
    }

    /// Uses an endpoint again that was to be handed over.
    pub fn resume_using(&mut self, address: SocketAddr) {
        if let Some(index) = self.position(address) {
            self.endpoints[index].is_releasing = false;
        }
    }

    /// Takes over an endpoint's slots, usable from `slots.usable_at`.
    pub fn own(&mut self, slots: EndpointSlots) {
        if self.position(slots.address).is_none() {
            self.endpoints.push(slots);
        }
    }

    /// Gives an endpoint up when nothing of it is in use; says whether it did.
    pub fn disown(&mut self, address: SocketAddr) -> bool {
        let Some(index) = self.position(address) else {
            return true;
        };
        if self.endpoints[index].used() > 0 {
            return false;
        }
        self.endpoints.swap_remove(index);
        true
    }

    /// Forgets an endpoint that has been taken over by another owner.
    pub fn forfeit(&mut self, address: SocketAddr) {
        self.endpoints.retain(|endpoint| endpoint.address != address);
        self.lent.retain(|_, slot| slot.endpoint != address);
    }

    /// Applies changed slots and draining from a new version of the rules.
    pub fn amend(&mut self, address: SocketAddr, hard: u32, is_draining: bool) -> DeskActions {
        let mut actions = DeskActions::new();
        let Some(index) = self.position(address) else {
            return actions;
        };
        let endpoint = &mut self.endpoints[index];
        endpoint.hard = hard;
        match (is_draining, endpoint.state) {
            (true, EndpointState::Draining) => {}
            (true, _) => {
                endpoint.state = EndpointState::Draining;
                actions.push(DeskAction::CloseIdle(address));
            }
            (false, EndpointState::Draining) => {
                endpoint.state = EndpointState::Open;
                endpoint.reset_cold();
            }
            (false, _) => {}
        }
        actions
    }

    /// A new request, or a retry of one under a new id.
    pub fn arrive(&mut self, now: PolicyTime, request: SlotRequest) -> DeskActions {
        let mut actions = DeskActions::new();
        if request.deadline <= now {
            refuse(&mut actions, request.id, RefusalReason::DeadlinePassed, RETURN_SHORTEST);
            return actions;
        }
        if request.excluded.is_empty() {
            self.budget.earn();
        }
        if self.may_overtake(&request)
            && let Some(index) = self.pick(now, &request)
        {
            actions.push(self.dispatch_own(now, index, &request));
            return actions;
        }
        self.wait(now, request, &mut actions);
        actions
    }

    /// Whether a retry may be made; spends the budget when it may.
    pub fn spend_retry(&mut self) -> bool {
        self.budget.spend()
    }

    /// A running request ended.
    pub fn finish(
        &mut self,
        now: PolicyTime,
        id: RequestId,
        result: ExchangeResult,
        latency: Duration,
    ) -> DeskActions {
        let mut actions = DeskActions::new();
        let Some(run) = self.running.remove(&id) else {
            return actions;
        };
        if result == ExchangeResult::Answered {
            self.learn_service(latency);
        }
        match run.source {
            SlotSource::Own => {
                if let Some(index) = self.position(run.endpoint) {
                    let endpoint = &mut self.endpoints[index];
                    endpoint.own = endpoint.own.saturating_sub(1);
                    endpoint.is_exclusive &= !run.is_exclusive;
                    endpoint.learn(now, result, latency);
                }
                self.serve_waiters(now, &mut actions);
            }
            SlotSource::Borrowed(peer, loan) => {
                self.remember_ended((peer, loan));
                let report = Some(LoanReport::new(result, latency));
                actions.push(DeskAction::Return { peer, loan, report });
            }
        }
        actions
    }

    /// A waiting request is no longer wanted: its caller left or its deadline came.
    pub fn cancel(&mut self, id: RequestId) -> DeskActions {
        let mut actions = DeskActions::new();
        self.queue.remove(WaiterOrigin::Local(id));
        self.waiting.remove(&id);
        self.withdraw_wants(id, None, &mut actions);
        actions
    }

    /// A peer asks for a slot on behalf of one of its requests.
    pub fn want(
        &mut self,
        now: PolicyTime,
        peer: IncarnationId,
        id: RequestId,
        priority: RequestPriority,
        patience: Duration,
    ) -> DeskActions {
        let mut actions = DeskActions::new();
        if self.is_leaving || self.queue.len() >= self.settings.queue_limit {
            return actions;
        }
        let deadline = now + patience.min(self.settings.longest_work);
        let origin = WaiterOrigin::Peer(peer, id);
        self.queue.push(QueuedWaiter { origin, priority, deadline });
        self.serve_waiters(now, &mut actions);
        actions
    }

    /// A peer takes a want back.
    pub fn withdraw(&mut self, peer: IncarnationId, id: RequestId) {
        self.queue.remove(WaiterOrigin::Peer(peer, id));
    }

    /// A peer lends a slot to one of this instance's requests.
    pub fn grant(
        &mut self,
        now: PolicyTime,
        peer: IncarnationId,
        id: RequestId,
        loan: SlotLoan,
    ) -> DeskActions {
        let mut actions = DeskActions::new();
        if self.is_loan_known(peer, loan.id) {
            return actions;
        }
        self.remove_want(id, peer);
        let start_by = loan.echo + loan.ttl;
        let is_usable = now < start_by
            && self.waiting.get(&id).is_some_and(|request| {
                !request.is_suspect && !request.excluded.contains(&loan.endpoint)
            });
        if !is_usable {
            self.remember_ended((peer, loan.id));
            actions.push(DeskAction::Return { peer, loan: loan.id, report: None });
            return actions;
        }
        let Some(request) = self.waiting.remove(&id) else {
            return actions;
        };
        self.queue.remove(WaiterOrigin::Local(id));
        self.withdraw_wants(id, Some(peer), &mut actions);
        let source = SlotSource::Borrowed(peer, loan.id);
        let run = RunningRequest { endpoint: loan.endpoint, source, is_exclusive: false };
        self.running.insert(id, run);
        let allowance = request.deadline.since(now).min(self.settings.longest_work);
        let (endpoint, domain) = (loan.endpoint, loan.domain);
        actions.push(DeskAction::Dispatch { id, endpoint, domain, allowance });
        actions
    }

    /// A peer returns a loan. Unknown loans, such as repeated returns, change nothing.
    pub fn take_back(
        &mut self,
        now: PolicyTime,
        peer: IncarnationId,
        loan: LoanId,
        report: Option<LoanReport>,
    ) -> DeskActions {
        let mut actions = DeskActions::new();
        let Some(slot) = self.lent.remove(&(peer, loan)) else {
            return actions;
        };
        self.release_lent(slot.endpoint);
        if let Some((index, report)) = self.position(slot.endpoint).zip(report) {
            if report.is_answered {
                self.learn_service(report.latency);
            }
            self.endpoints[index].learn(now, report.result(), report.latency);
        }
        self.serve_waiters(now, &mut actions);
        actions
    }

    /// News from a peer about its slots.
    pub fn hear(&mut self, peer: IncarnationId, report: PeerReport) {
        self.peers.insert(peer, report);
    }

    /// A peer leaves: it lends nothing more, but its own requests may still borrow.
    pub fn lose_lender(&mut self, now: PolicyTime, peer: IncarnationId) -> DeskActions {
        let mut actions = DeskActions::new();
        if self.peers.remove(&peer).is_some() {
            for peers in self.wants.values_mut() {
                peers.retain(|asked| *asked != peer);
            }
            self.ask_again(now, &mut actions);
        }
        actions
    }

    /// A peer is gone or replaced. Its loans stay counted until they run out.
    pub fn lose_peer(&mut self, now: PolicyTime, peer: IncarnationId) -> DeskActions {
        let mut actions = DeskActions::new();
        self.peers.remove(&peer);
        self.echoes.remove(&peer);
        self.queue.drop_peer(peer);
        for peers in self.wants.values_mut() {
            peers.retain(|asked| *asked != peer);
        }
        self.ask_again(now, &mut actions);
        actions
    }

    /// Lets time pass: expired waiters are refused, lapsed loans reclaimed, free slots given out.
    pub fn tick(&mut self, now: PolicyTime) -> DeskActions {
        let mut actions = DeskActions::new();
        for waiter in self.queue.take_expired(now) {
            if let WaiterOrigin::Local(id) = waiter.origin {
                self.waiting.remove(&id);
                self.withdraw_wants(id, None, &mut actions);
                refuse(&mut actions, id, RefusalReason::Overloaded, self.return_pause(0));
            }
        }
        self.reclaim_lapsed(now);
        self.serve_waiters(now, &mut actions);
        self.ask_again(now, &mut actions);
        actions
    }

    fn position(&self, address: SocketAddr) -> Option<usize> {
        self.endpoints.iter().position(|endpoint| endpoint.address == address)
    }

    fn holds_lease(&self, now: PolicyTime) -> bool {
        now < self.lease_until
    }

    /// A newcomer takes a free slot at once only when nobody of its rank waits before it.
    fn may_overtake(&self, request: &SlotRequest) -> bool {
        self.queue.is_empty() || self.queue.ahead_of(request.priority) == 0
    }

    fn pick(&self, now: PolicyTime, request: &SlotRequest) -> Option<usize> {
        if !self.holds_lease(now) {
            return None;
        }
        let usable = self.endpoints.iter().enumerate().filter(|(_, endpoint)| {
            endpoint.free(now) > 0
                && !request.excluded.contains(&endpoint.address)
                && (!request.is_suspect || endpoint.used() == 0)
                && (!endpoint.is_probing() || request.may_probe)
        });
        usable.min_by_key(|(_, endpoint)| self.rank(endpoint, request)).map(|(index, _)| index)
    }

    /// Sort key of an endpoint for a request; the lowest is the best.
    fn rank(
        &self,
        endpoint: &EndpointSlots,
        request: &SlotRequest,
    ) -> (bool, bool, bool, u32, u64) {
        let is_avoided = request.avoided_domain.as_ref() == Some(&endpoint.domain);
        let is_foreign = endpoint.region != request.region;
        // A suspended endpoint is probed first by whoever may, or it would never be noticed again.
        let is_settled = !endpoint.is_probing();
        let latency = u64::try_from(endpoint.latency().as_millis()).unwrap_or(u64::MAX);
        let load = endpoint.load_permille();
        (
            is_avoided,
            is_foreign,
            is_settled,
            load,
            latency + u64::from(endpoint.domain != self.domain),
        )
    }

    fn dispatch_own(&mut self, now: PolicyTime, index: usize, request: &SlotRequest) -> DeskAction {
        let endpoint = &mut self.endpoints[index];
        endpoint.own += 1;
        endpoint.is_exclusive = request.is_suspect;
        let address = endpoint.address;
        let domain = endpoint.domain.clone();
        let run = RunningRequest {
            endpoint: address,
            source: SlotSource::Own,
            is_exclusive: request.is_suspect,
        };
        self.running.insert(request.id, run);
        let allowance = request.deadline.since(now).min(self.settings.longest_work);
        DeskAction::Dispatch { id: request.id, endpoint: address, domain, allowance }
    }

    fn wait(&mut self, now: PolicyTime, request: SlotRequest, actions: &mut DeskActions) {
        let id = request.id;
        if self.endpoints.is_empty() && self.peers.is_empty() {
            refuse(actions, id, RefusalReason::NoUpstream, RETURN_DEFAULT);
            return;
        }
        let ahead = self.queue.ahead_of(request.priority);
        let wait = self.expected_wait(ahead);
        if now + wait >= request.deadline {
            refuse(actions, id, RefusalReason::Overloaded, self.return_pause(ahead));
            return;
        }
        if self.queue.len() >= self.settings.queue_limit {
            match self.queue.evict_below(request.priority) {
                Some(evicted) => self.refuse_evicted(evicted, actions),
                None => {
                    refuse(actions, id, RefusalReason::Overloaded, self.return_pause(ahead));
                    return;
                }
            }
        }
        let origin = WaiterOrigin::Local(id);
        let waiter =
            QueuedWaiter { origin, priority: request.priority, deadline: request.deadline };
        self.queue.push(waiter);
        self.waiting.insert(id, request);
        self.ask_peers(now, id, actions);
    }

    fn refuse_evicted(&mut self, evicted: QueuedWaiter, actions: &mut DeskActions) {
        if let WaiterOrigin::Local(id) = evicted.origin {
            self.waiting.remove(&id);
            self.withdraw_wants(id, None, actions);
            refuse(actions, id, RefusalReason::Overloaded, self.return_pause(self.queue.len()));
        }
    }

    /// Expected wait behind `ahead` waiters, from the mean service time and the slots in reach.
    fn expected_wait(&self, ahead: usize) -> Duration {
        let slots: u32 = self.endpoints.iter().map(|endpoint| endpoint.hard).sum();
        if slots == 0 || ahead == 0 {
            return Duration::ZERO;
        }
        let micros = self.mean_service_us * ahead as f64 / f64::from(slots);
        Duration::from_secs_f64(micros / 1e6)
    }

    fn return_pause(&self, ahead: usize) -> Duration {
        self.expected_wait(ahead).clamp(RETURN_SHORTEST, RETURN_DEFAULT * 10)
    }

    fn learn_service(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64() * 1e6;
        if self.mean_service_us <= 0.0 {
            self.mean_service_us = sample;
        } else {
            self.mean_service_us += SERVICE_WEIGHT * (sample - self.mean_service_us);
        }
    }

    fn ask_peers(&mut self, now: PolicyTime, id: RequestId, actions: &mut DeskActions) {
        let Some(request) = self.waiting.get(&id) else {
            return;
        };
        if request.is_suspect {
            return;
        }
        let asked = self.wants.entry(id).or_default();
        let missing = self.settings.want_fanout.saturating_sub(asked.len());
        let mut candidates: SmallVec<[PeerRank; 8]> = self
            .peers
            .iter()
            .filter(|(peer, _)| !asked.contains(peer))
            .map(|(peer, report)| {
                let is_foreign = report.region != request.region;
                (report.idle == 0, is_foreign, report.waiting, report.delay, *peer)
            })
            .collect();
        candidates.sort_unstable();
        let patience = request.deadline.since(now);
        for (_, _, _, _, peer) in candidates.into_iter().take(missing) {
            asked.push(peer);
            actions.push(DeskAction::Want { peer, id, priority: request.priority, patience });
            if let Some(report) = self.peers.get_mut(&peer) {
                report.idle = report.idle.saturating_sub(1);
                report.waiting += 1;
            }
        }
    }

    /// Sends wants for waiters that have fewer than they may.
    fn ask_again(&mut self, now: PolicyTime, actions: &mut DeskActions) {
        let fanout = self.settings.want_fanout.min(self.peers.len());
        let short: Vec<RequestId> = self
            .waiting
            .keys()
            .filter(|id| self.wants.get(id).is_none_or(|asked| asked.len() < fanout))
            .copied()
            .collect();
        for id in short {
            self.ask_peers(now, id, actions);
        }
    }

    fn remove_want(&mut self, id: RequestId, peer: IncarnationId) {
        if let Some(asked) = self.wants.get_mut(&id) {
            asked.retain(|other| *other != peer);
        }
    }

    fn withdraw_wants(
        &mut self,
        id: RequestId,
        except: Option<IncarnationId>,
        actions: &mut DeskActions,
    ) {
        let Some(asked) = self.wants.remove(&id) else {
            return;
        };
        for peer in asked {
            if Some(peer) != except {
                actions.push(DeskAction::Withdraw { peer, id });
            }
        }
    }

    /// Gives free slots to waiters, in the queue's order.
    fn serve_waiters(&mut self, now: PolicyTime, actions: &mut DeskActions) {
        while !self.queue.is_empty() && self.idle(now) > 0 {
            let Some(waiter) = self.queue.first_where(|waiter| self.can_serve(now, waiter)) else {
                return;
            };
            self.queue.remove(waiter.origin);
            match waiter.origin {
                WaiterOrigin::Local(id) => self.serve_local(now, id, actions),
                WaiterOrigin::Peer(peer, id) => self.serve_peer(now, peer, id, actions),
            }
        }
    }

    fn can_serve(&self, now: PolicyTime, waiter: &QueuedWaiter) -> bool {
        match waiter.origin {
            WaiterOrigin::Local(id) => {
                self.waiting.get(&id).is_some_and(|request| self.pick(now, request).is_some())
            }
            WaiterOrigin::Peer(peer, _) => {
                !self.is_leaving && self.echoes.contains_key(&peer) && self.lendable(now).is_some()
            }
        }
    }

    fn serve_local(&mut self, now: PolicyTime, id: RequestId, actions: &mut DeskActions) {
        let Some(request) = self.waiting.remove(&id) else {
            return;
        };
        self.withdraw_wants(id, None, actions);
        if let Some(index) = self.pick(now, &request) {
            actions.push(self.dispatch_own(now, index, &request));
        }
    }

    /// The least loaded endpoint of which a slot may be lent.
    fn lendable(&self, now: PolicyTime) -> Option<usize> {
        if !self.holds_lease(now) {
            return None;
        }
        self.endpoints
            .iter()
            .enumerate()
            .filter(|(_, endpoint)| endpoint.free(now) > 0 && !endpoint.is_probing())
            .min_by_key(|(_, endpoint)| endpoint.load_permille())
            .map(|(index, _)| index)
    }

    fn serve_peer(
        &mut self,
        now: PolicyTime,
        peer: IncarnationId,
        id: RequestId,
        actions: &mut DeskActions,
    ) {
        let (Some(index), Some(echo)) = (self.lendable(now), self.echoes.get(&peer).copied())
        else {
            return;
        };
        let ttl = self.settings.loan_ttl.min(self.lease_until.since(now));
        let loan_id = LoanId(self.next_loan);
        self.next_loan += 1;
        let endpoint = &mut self.endpoints[index];
        // Subtract before anything is sent: a lost message strands the slot, never doubles it.
        endpoint.lent += 1;
        let reclaim_at = now + ttl + self.settings.longest_work;
        self.lent.insert((peer, loan_id), LentSlot { endpoint: endpoint.address, reclaim_at });
        let loan = SlotLoan {
            id: loan_id,
            endpoint: endpoint.address,
            domain: endpoint.domain.clone(),
            echo,
            ttl,
        };
        actions.push(DeskAction::Grant { peer, id, loan });
    }

    fn release_lent(&mut self, address: SocketAddr) {
        if let Some(index) = self.position(address) {
            let endpoint = &mut self.endpoints[index];
            endpoint.lent = endpoint.lent.saturating_sub(1);
        }
    }

    fn reclaim_lapsed(&mut self, now: PolicyTime) {
        let lapsed: SmallVec<[(IncarnationId, LoanId); 4]> = self
            .lent
            .iter()
            .filter(|(_, slot)| slot.reclaim_at <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in lapsed {
            if let Some(slot) = self.lent.remove(&key) {
                self.release_lent(slot.endpoint);
            }
        }
    }

    fn is_loan_known(&self, peer: IncarnationId, loan: LoanId) -> bool {
        let source = SlotSource::Borrowed(peer, loan);
        self.ended_loans.contains(&(peer, loan))
            || self.running.values().any(|run| run.source == source)
    }

    fn remember_ended(&mut self, key: (IncarnationId, LoanId)) {
        if self.ended_loans.len() >= ENDED_LOANS_KEPT {
            self.ended_loans.pop_front();
        }
        self.ended_loans.push_back(key);
    }
}

fn refuse(actions: &mut DeskActions, id: RequestId, reason: RefusalReason, retry_after: Duration) {
    actions.push(DeskAction::Refuse { id, refusal: RequestRefusal::later(reason, retry_after) });
}
