//! Admission, slot choice and passing on for one service at one instance.
//!
//! An endpoint's slots belong to exactly one instance, its owner, and only the owner sends to the
//! endpoint. A request that would wait long here is passed on to a peer that can serve it sooner;
//! there it stands in the peer's own queue, by priority and arrival. A slot is thus held for the
//! work and the way to a near endpoint, never for the way between instances.
//!
//! The bound: for each endpoint, what the owner has in use never exceeds the rules' slots.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use crate::clock::PolicyTime;
use crate::endpoint::{EndpointSlots, EndpointState, ExchangeResult};
use crate::identity::{IncarnationId, RequestId};
use crate::message::ServiceReport;
use crate::outcome::{RefusalReason, RequestRefusal};
use crate::queue::{QueuedWaiter, WaitQueue};
use crate::retry::RetryBudget;
use crate::table::RequestPriority;

/// Pause suggested to callers where no better estimate exists.
const RETURN_DEFAULT: Duration = Duration::from_millis(500);
/// Shortest pause suggested to callers.
const RETURN_SHORTEST: Duration = Duration::from_millis(100);
/// Longest pause suggested to callers.
const RETURN_LONGEST: Duration = Duration::from_secs(5);
/// Smoothing weight of the mean service time.
const SERVICE_WEIGHT: f64 = 0.05;
/// Mean service time assumed before any was measured.
const SERVICE_ASSUMED_US: f64 = 10_000.0;
/// Time that passing on must save.
const PASS_GAIN: Duration = Duration::from_millis(1);
/// Waiters looked at again on each tick.
const REVIEW_COUNT: usize = 32;

/// Fixed settings of a scheduler.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerSettings {
    /// Most waiters.
    pub queue_limit: usize,
    /// Longest work that may run under a slot.
    pub longest_work: Duration,
    /// Whether requests may be passed on to peers.
    pub forwards_to_peers: bool,
}

/// What a request asks of the scheduler.
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
    /// Whether it may be passed on; false once it has been.
    pub may_forward: bool,
}

/// What is known of a peer as a server of this service.
#[derive(Clone, Debug, Default)]
pub struct PeerState {
    /// What it last said about its slots.
    pub report: ServiceReport,
    /// Requests passed on to it since that report.
    pub passed: u32,
    /// Region of the peer.
    pub region: String,
    /// One-way delay to the peer.
    pub delay: Duration,
}

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    endpoint: SocketAddr,
    is_exclusive: bool,
}

/// Something the caller of the scheduler must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerAction {
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
    /// Pass the request on to a peer, which serves it from its own slots.
    ForwardToPeer {
        /// The try.
        id: RequestId,
        /// The peer.
        peer: IncarnationId,
    },
    /// Give the final answer now.
    Refuse {
        /// The try.
        id: RequestId,
        /// The answer.
        refusal: RequestRefusal,
    },
    /// Close idle connections to an endpoint that leaves.
    CloseIdle(SocketAddr),
}

/// Actions of one event.
pub type SchedulerActions = SmallVec<[SchedulerAction; 4]>;

/// Steering state of one service at one instance.
#[derive(Debug)]
pub struct ServiceScheduler {
    settings: SchedulerSettings,
    domain: String,
    region: String,
    endpoints: Vec<EndpointSlots>,
    queue: WaitQueue,
    waiting: HashMap<RequestId, SlotRequest>,
    running: HashMap<RequestId, RunningRequest>,
    peers: HashMap<IncarnationId, PeerState>,
    lease_until: PolicyTime,
    mean_service_us: f64,
    budget: RetryBudget,
}

impl ServiceScheduler {
    /// A scheduler for an instance in `domain`, with no endpoints and no lease yet.
    #[must_use]
    pub fn new(settings: SchedulerSettings, domain: &str) -> Self {
        Self {
            settings,
            domain: domain.to_owned(),
            region: String::new(),
            endpoints: Vec::new(),
            queue: WaitQueue::default(),
            waiting: HashMap::new(),
            running: HashMap::new(),
            peers: HashMap::new(),
            lease_until: PolicyTime::default(),
            mean_service_us: 0.0,
            budget: RetryBudget::default(),
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

    /// Requests that wait here.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Requests that run from here.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// What peers are told about this service.
    #[must_use]
    pub fn report(&self, now: PolicyTime, service: &str) -> ServiceReport {
        let count = |waiting: usize| u32::try_from(waiting).unwrap_or(u32::MAX);
        ServiceReport {
            service: service.to_owned(),
            idle: self.idle(now),
            slots: self.usable_slots(now),
            waiting_high: count(self.queue.ahead_of(RequestPriority::High)),
            waiting: count(self.queue.len()),
            mean_us: self.mean_us() as u32,
        }
    }

    /// Sets the end of the lease under which owned slots may be given out.
    pub const fn set_lease(&mut self, until: PolicyTime) {
        self.lease_until = until;
    }

    /// Sets the longest work that may run under a slot.
    pub const fn set_longest_work(&mut self, longest: Duration) {
        self.settings.longest_work = longest;
    }

    /// Sets the region of this instance.
    pub fn set_region(&mut self, region: &str) {
        region.clone_into(&mut self.region);
    }

    /// Peers known here that `living` does not name.
    #[must_use]
    pub fn silent_peers(&self, living: &[IncarnationId]) -> Vec<IncarnationId> {
        self.peers.keys().filter(|peer| !living.contains(peer)).copied().collect()
    }

    /// Gives nothing more of an endpoint out, so that it can be handed over; says whether nothing
    /// of it is in use, neither by this instance nor by work of an owner before it.
    pub fn stop_using(&mut self, now: PolicyTime, address: SocketAddr) -> bool {
        let Some(index) = self.position(address) else {
            return true;
        };
        let endpoint = &mut self.endpoints[index];
        endpoint.is_releasing = true;
        endpoint.used == 0 && endpoint.usable_at <= now
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
        if self.endpoints[index].used > 0 {
            return false;
        }
        self.endpoints.swap_remove(index);
        true
    }

    /// Forgets an endpoint that has been taken over by another owner.
    pub fn forfeit(&mut self, address: SocketAddr) {
        self.endpoints.retain(|endpoint| endpoint.address != address);
    }

    /// Applies changed slots and draining from a new version of the rules.
    pub fn amend(
        &mut self,
        address: SocketAddr,
        hard_limit: u32,
        is_draining: bool,
    ) -> SchedulerActions {
        let mut actions = SchedulerActions::new();
        let Some(index) = self.position(address) else {
            return actions;
        };
        let endpoint = &mut self.endpoints[index];
        endpoint.hard_limit = hard_limit;
        match (is_draining, endpoint.state) {
            (true, EndpointState::Draining) => {}
            (true, _) => {
                endpoint.state = EndpointState::Draining;
                actions.push(SchedulerAction::CloseIdle(address));
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
    pub fn arrive(&mut self, now: PolicyTime, request: SlotRequest) -> SchedulerActions {
        let mut actions = SchedulerActions::new();
        if request.deadline <= now {
            refuse(&mut actions, request.id, RefusalReason::DeadlinePassed, RETURN_SHORTEST);
            return actions;
        }
        if request.excluded.is_empty() {
            self.budget.deposit();
        }
        if let Some((peer, time)) = self.shift_peer(&request)
            && now + time < request.deadline
        {
            self.pass_on(peer, request.id, &mut actions);
            return actions;
        }
        if self.queue.ahead_of(request.priority) == 0
            && let Some(index) = self.pick(now, &request)
        {
            actions.push(self.dispatch(now, index, &request));
            return actions;
        }
        self.wait(now, request, &mut actions);
        actions
    }

    /// Whether a retry may be made; spends the budget when it may.
    pub fn spend_retry(&mut self) -> bool {
        self.budget.try_withdraw()
    }

    /// A running request ended.
    pub fn finish(
        &mut self,
        now: PolicyTime,
        id: RequestId,
        result: ExchangeResult,
        latency: Duration,
    ) -> SchedulerActions {
        let mut actions = SchedulerActions::new();
        let Some(run) = self.running.remove(&id) else {
            return actions;
        };
        if result == ExchangeResult::Answered {
            self.learn_service(latency);
        }
        if let Some(index) = self.position(run.endpoint) {
            let endpoint = &mut self.endpoints[index];
            endpoint.used = endpoint.used.saturating_sub(1);
            endpoint.is_exclusive &= !run.is_exclusive;
            endpoint.record_result(now, result, latency);
        }
        self.serve_waiters(now, &mut actions);
        actions
    }

    /// A waiting request is no longer wanted: its caller left or its deadline came.
    pub fn cancel(&mut self, id: RequestId) {
        self.queue.remove(id);
        self.waiting.remove(&id);
    }

    /// News from a peer about its slots.
    pub fn hear(&mut self, peer: IncarnationId, state: PeerState) {
        self.peers.insert(peer, state);
    }

    /// Fresh counts of a peer that is already known, as they come with each answer of it.
    pub fn receive_counts(&mut self, peer: IncarnationId, report: ServiceReport) {
        if let Some(state) = self.peers.get_mut(&peer) {
            state.report = report;
            state.passed = 0;
        }
    }

    /// A peer is gone, replaced or leaving, and is passed nothing more.
    pub fn lose_peer(&mut self, peer: IncarnationId) {
        self.peers.remove(&peer);
    }

    /// Lets time pass: expired waiters are refused, free slots given out, and waiters that a
    /// peer can now serve sooner are passed on.
    pub fn tick(&mut self, now: PolicyTime) -> SchedulerActions {
        let mut actions = SchedulerActions::new();
        for waiter in self.queue.take_expired(now) {
            self.waiting.remove(&waiter.id);
            let pause = self.return_pause(waiter.priority);
            refuse(&mut actions, waiter.id, RefusalReason::Overloaded, pause);
        }
        self.serve_waiters(now, &mut actions);
        self.review_waiters(now, &mut actions);
        actions
    }

    fn position(&self, address: SocketAddr) -> Option<usize> {
        self.endpoints.iter().position(|endpoint| endpoint.address == address)
    }

    fn holds_lease(&self, now: PolicyTime) -> bool {
        now < self.lease_until
    }

    /// Slots of endpoints that work, free or not.
    fn usable_slots(&self, now: PolicyTime) -> u32 {
        if !self.holds_lease(now) {
            return 0;
        }
        let usable = self.endpoints.iter().filter(|endpoint| {
            endpoint.state == EndpointState::Open
                && !endpoint.is_releasing
                && endpoint.usable_at <= now
        });
        usable.map(|endpoint| endpoint.hard_limit).sum()
    }

    fn pick(&self, now: PolicyTime, request: &SlotRequest) -> Option<usize> {
        if !self.holds_lease(now) {
            return None;
        }
        let usable = self.endpoints.iter().enumerate().filter(|(_, endpoint)| {
            endpoint.free(now) > 0
                && !request.excluded.contains(&endpoint.address)
                && (!request.is_suspect || endpoint.used == 0)
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
        let distance = u64::from(endpoint.domain != self.domain);
        (is_avoided, is_foreign, is_settled, endpoint.load_permille(), latency + distance)
    }

    fn dispatch(
        &mut self,
        now: PolicyTime,
        index: usize,
        request: &SlotRequest,
    ) -> SchedulerAction {
        let endpoint = &mut self.endpoints[index];
        endpoint.used += 1;
        endpoint.is_exclusive = request.is_suspect;
        let address = endpoint.address;
        let domain = endpoint.domain.clone();
        let run = RunningRequest { endpoint: address, is_exclusive: request.is_suspect };
        self.running.insert(request.id, run);
        let allowance = request.deadline.since(now).min(self.settings.longest_work);
        SchedulerAction::Dispatch { id: request.id, endpoint: address, domain, allowance }
    }

    fn wait(&mut self, now: PolicyTime, request: SlotRequest, actions: &mut SchedulerActions) {
        let id = request.id;
        let own = self.own_wait(now, request.priority);
        let best = self.best_peer(&request);
        if let Some((peer, time)) = best
            && own.is_none_or(|own| time + PASS_GAIN < own)
            && now + time < request.deadline
        {
            self.pass_on(peer, id, actions);
            return;
        }
        let Some(own) = own else {
            let is_alone = best.is_none();
            let reason =
                if is_alone { RefusalReason::NoUpstream } else { RefusalReason::Overloaded };
            refuse(actions, id, reason, RETURN_DEFAULT);
            return;
        };
        if now + own >= request.deadline {
            let pause = self.return_pause(request.priority);
            refuse(actions, id, RefusalReason::Overloaded, pause);
            return;
        }
        if self.queue.len() >= self.settings.queue_limit {
            let pause = self.return_pause(request.priority);
            let evicted = self.queue.evict_below(request.priority);
            let refused = evicted.map_or(id, |waiter| waiter.id);
            self.waiting.remove(&refused);
            refuse(actions, refused, RefusalReason::Overloaded, pause);
            if refused == id {
                return;
            }
        }
        let (priority, deadline) = (request.priority, request.deadline);
        self.queue.push(QueuedWaiter { id, priority, deadline });
        self.waiting.insert(id, request);
    }

    fn pass_on(&mut self, peer: IncarnationId, id: RequestId, actions: &mut SchedulerActions) {
        if let Some(state) = self.peers.get_mut(&peer) {
            state.passed += 1;
        }
        actions.push(SchedulerAction::ForwardToPeer { id, peer });
    }

    fn mean_us(&self) -> f64 {
        if self.mean_service_us > 0.0 { self.mean_service_us } else { SERVICE_ASSUMED_US }
    }

    /// Expected wait for a newcomer of `priority`; none when there are no slots to wait for.
    fn own_wait(&self, now: PolicyTime, priority: RequestPriority) -> Option<Duration> {
        let slots = self.usable_slots(now);
        let is_soon = self
            .endpoints
            .iter()
            .any(|endpoint| endpoint.state != EndpointState::Draining && !endpoint.is_releasing);
        if slots == 0 {
            let may_come = self.holds_lease(now) && is_soon;
            return may_come.then_some(RETURN_DEFAULT);
        }
        let ahead = self.queue.ahead_of(priority) as f64 + 1.0;
        Some(Duration::from_secs_f64(self.mean_us() * ahead / f64::from(slots) / 1e6))
    }

    /// For a request that a shift moves to another region: the best peer there.
    fn shift_peer(&self, request: &SlotRequest) -> Option<(IncarnationId, Duration)> {
        if request.region == self.region || self.region.is_empty() {
            return None;
        }
        self.best_peer_where(request, |state| state.region == request.region)
    }

    /// The peer that would serve a request soonest, and the extra time that this costs.
    fn best_peer(&self, request: &SlotRequest) -> Option<(IncarnationId, Duration)> {
        self.best_peer_where(request, |_| true)
    }

    fn best_peer_where(
        &self,
        request: &SlotRequest,
        is_wanted: impl Fn(&PeerState) -> bool,
    ) -> Option<(IncarnationId, Duration)> {
        if !request.may_forward || !self.settings.forwards_to_peers || request.is_suspect {
            return None;
        }
        self.peers
            .iter()
            .filter(|(_, state)| state.report.slots > 0 && is_wanted(state))
            .map(|(peer, state)| {
                let penalty = if state.region == request.region { 0 } else { 1 };
                (penalty * 1_000 + peer_time_us(state, request.priority), *peer)
            })
            .min()
            .map(|(micros, peer)| (peer, Duration::from_micros(micros)))
    }

    fn review_waiters(&mut self, now: PolicyTime, actions: &mut SchedulerActions) {
        let first: SmallVec<[RequestId; REVIEW_COUNT]> =
            self.queue.first(REVIEW_COUNT).map(|waiter| waiter.id).collect();
        for id in first {
            let Some(request) = self.waiting.get(&id) else {
                continue;
            };
            let best = self.best_peer(request);
            let own = self.own_wait(now, request.priority);
            if let Some((peer, time)) = best
                && own.is_none_or(|own| time + PASS_GAIN < own)
                && now + time < request.deadline
            {
                self.cancel(id);
                self.pass_on(peer, id, actions);
            }
        }
    }

    fn return_pause(&self, priority: RequestPriority) -> Duration {
        let slots: u32 = self.endpoints.iter().map(|endpoint| endpoint.hard_limit).sum();
        let ahead = self.queue.ahead_of(priority) as f64;
        let micros = self.mean_us() * ahead / f64::from(slots.max(1));
        Duration::from_secs_f64(micros / 1e6).clamp(RETURN_SHORTEST, RETURN_LONGEST)
    }

    fn learn_service(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64() * 1e6;
        if self.mean_service_us <= 0.0 {
            self.mean_service_us = sample;
        } else {
            self.mean_service_us += SERVICE_WEIGHT * (sample - self.mean_service_us);
        }
    }

    /// Gives free slots to waiters, in the queue's order.
    fn serve_waiters(&mut self, now: PolicyTime, actions: &mut SchedulerActions) {
        while !self.queue.is_empty() && self.idle(now) > 0 {
            let served = self.queue.first_where(|waiter| {
                let request = self.waiting.get(&waiter.id);
                request.is_some_and(|request| self.pick(now, request).is_some())
            });
            let Some(waiter) = served else {
                return;
            };
            self.queue.remove(waiter.id);
            let Some(request) = self.waiting.remove(&waiter.id) else {
                return;
            };
            if let Some(index) = self.pick(now, &request) {
                actions.push(self.dispatch(now, index, &request));
            }
        }
    }
}

/// Expected time that a peer adds: the way there and back and the wait in its queue.
fn peer_time_us(state: &PeerState, priority: RequestPriority) -> u64 {
    let report = &state.report;
    let way = u64::try_from(state.delay.as_micros()).unwrap_or(u64::MAX / 4) * 2;
    if report.idle > state.passed {
        return way;
    }
    let waiting = match priority {
        RequestPriority::High => report.waiting_high,
        RequestPriority::Normal | RequestPriority::Low => report.waiting,
    };
    let ahead = u64::from(waiting) + u64::from(state.passed - report.idle) + 1;
    way + ahead * u64::from(report.mean_us) / u64::from(report.slots.max(1))
}

fn refuse(
    actions: &mut SchedulerActions,
    id: RequestId,
    reason: RefusalReason,
    retry_after: Duration,
) {
    actions.push(SchedulerAction::Refuse {
        id,
        refusal: RequestRefusal::retryable(reason, retry_after),
    });
}
