//! Admission, endpoint selection and peer forwarding for one service at one instance.
//!
//! An endpoint's slots belong to exactly one instance, its owner, and only the owner sends to the
//! endpoint. A request that would wait long here is forwarded to a peer that can serve it sooner,
//! and waits in that peer's queue by priority and arrival. A slot is thus held for the work and
//! the round trip to a near endpoint, never for the round trip between instances.
//!
//! Invariant: the owner never dispatches to an endpoint beyond the slots that the rules allow.

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

/// Retry-after delay, and expected wait, where no better estimate exists.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Minimum retry-after delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Maximum retry-after delay.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Mean service time assumed before the first sample.
const INITIAL_SERVICE_TIME_US: f64 = 10_000.0;
/// Minimum time that forwarding to a peer must save.
const MIN_FORWARDING_GAIN: Duration = Duration::from_millis(1);
/// Maximum number of waiting requests considered for forwarding on each tick.
const MAX_REVIEWED_WAITERS: usize = 32;

/// Fixed settings of a scheduler.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerSettings {
    /// Maximum number of waiting requests.
    pub queue_limit: usize,
    /// Maximum duration of work that runs under a slot.
    pub max_work_time: Duration,
    /// Whether requests may be forwarded to peers.
    pub forwards_to_peers: bool,
}

/// Requirements of one attempt that needs a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// The attempt.
    pub id: RequestId,
    /// Priority in the queue.
    pub priority: RequestPriority,
    /// Time after which a response is of no use.
    pub deadline: PolicyTime,
    /// Region that should serve the request.
    pub region: String,
    /// Endpoints of earlier attempts, which are not used again.
    pub excluded: SmallVec<[SocketAddr; 2]>,
    /// Failure domain of an earlier attempt; others are preferred.
    pub avoided_domain: Option<String>,
    /// Whether the request is a suspect and must run alone on its endpoint.
    pub is_suspect: bool,
    /// Whether the request is cheap and repeatable and may therefore probe a suspended endpoint.
    pub may_probe: bool,
    /// Whether the request may be forwarded to a peer; false once it has been.
    pub may_forward: bool,
}

/// State of a peer as a target for requests of one service.
#[derive(Clone, Debug, Default)]
pub struct PeerState {
    /// Last report received from the peer.
    pub report: ServiceReport,
    /// Requests forwarded to the peer since that report.
    pub forwarded: u32,
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

/// An action that the caller of the scheduler must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerAction {
    /// Send the request to the endpoint; the work must end within `allowance` of now.
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
    /// Forward the request to a peer, which serves it from its own slots.
    ForwardToPeer {
        /// The attempt.
        id: RequestId,
        /// The peer.
        peer: IncarnationId,
    },
    /// Refuse the request.
    Refuse {
        /// The attempt.
        id: RequestId,
        /// Reason and retry-after delay.
        refusal: RequestRefusal,
    },
    /// Close idle connections to an endpoint that has started to drain.
    CloseIdle(SocketAddr),
}

/// Actions that result from one event.
pub type SchedulerActions = SmallVec<[SchedulerAction; 4]>;

/// Slots, queue and peers of one service at one instance.
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
    /// Creates a scheduler for an instance in `domain`, without endpoints and without a lease.
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

    /// Endpoints that this instance owns.
    #[must_use]
    pub fn endpoints(&self) -> &[EndpointSlots] {
        &self.endpoints
    }

    /// Number of slots that could be given out at `now`.
    #[must_use]
    pub fn idle(&self, now: PolicyTime) -> u32 {
        if !self.holds_lease(now) {
            return 0;
        }
        self.endpoints.iter().map(|endpoint| endpoint.free(now)).sum()
    }

    /// Number of requests waiting at this instance.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of requests dispatched by this instance and still running.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Report on this service for peers.
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

    /// Sets the maximum duration of work that runs under a slot.
    pub const fn set_max_work_time(&mut self, max_work_time: Duration) {
        self.settings.max_work_time = max_work_time;
    }

    /// Sets the region of this instance.
    pub fn set_region(&mut self, region: &str) {
        region.clone_into(&mut self.region);
    }

    /// Peers of this scheduler that are not in `live`.
    #[must_use]
    pub fn unresponsive_peers(&self, live: &[IncarnationId]) -> Vec<IncarnationId> {
        self.peers.keys().filter(|peer| !live.contains(peer)).copied().collect()
    }

    /// Stops giving out slots of an endpoint, so that it can be handed over. Returns whether the
    /// endpoint is free of work, both of this instance and of earlier owners.
    pub fn stop_using(&mut self, now: PolicyTime, address: SocketAddr) -> bool {
        let Some(index) = self.position(address) else {
            return true;
        };
        let endpoint = &mut self.endpoints[index];
        endpoint.is_releasing = true;
        endpoint.used == 0 && endpoint.usable_at <= now
    }

    /// Gives out slots again of an endpoint that was to be handed over.
    pub fn resume_using(&mut self, address: SocketAddr) {
        if let Some(index) = self.position(address) {
            self.endpoints[index].is_releasing = false;
        }
    }

    /// Adds an endpoint that this instance owns now, usable from `slots.usable_at`; does nothing if
    /// it is already present.
    pub fn add_endpoint(&mut self, slots: EndpointSlots) {
        if self.position(slots.address).is_none() {
            self.endpoints.push(slots);
        }
    }

    /// Removes an endpoint unless slots of it are in use. Returns whether it is absent afterwards.
    pub fn release_endpoint(&mut self, address: SocketAddr) -> bool {
        let Some(index) = self.position(address) else {
            return true;
        };
        if self.endpoints[index].used > 0 {
            return false;
        }
        self.endpoints.swap_remove(index);
        true
    }

    /// Removes an endpoint that this instance no longer owns, even with slots in use.
    pub fn remove_endpoint(&mut self, address: SocketAddr) {
        self.endpoints.retain(|endpoint| endpoint.address != address);
    }

    /// Applies the slots and draining state of an endpoint from a new version of the rules.
    pub fn update_endpoint(
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

    /// Admits a new request, or a retry of one under a new id.
    pub fn admit(&mut self, now: PolicyTime, request: SlotRequest) -> SchedulerActions {
        let mut actions = SchedulerActions::new();
        if request.deadline <= now {
            refuse(&mut actions, request.id, RefusalReason::DeadlinePassed, MIN_RETRY_AFTER);
            return actions;
        }
        if request.excluded.is_empty() {
            self.budget.deposit();
        }
        if let Some((peer, time)) = self.shift_peer(&request)
            && now + time < request.deadline
        {
            self.forward(peer, request.id, &mut actions);
            return actions;
        }
        if self.queue.ahead_of(request.priority) == 0
            && let Some(index) = self.select_endpoint(now, &request)
        {
            actions.push(self.dispatch(now, index, &request));
            return actions;
        }
        self.enqueue(now, request, &mut actions);
        actions
    }

    /// Spends one retry from the budget. Returns whether the budget allowed it.
    pub fn spend_retry(&mut self) -> bool {
        self.budget.try_withdraw()
    }

    /// Releases the slot of a request that has ended and records its result.
    pub fn finish(
        &mut self,
        now: PolicyTime,
        id: RequestId,
        result: ExchangeResult,
        latency: Duration,
    ) -> SchedulerActions {
        let mut actions = SchedulerActions::new();
        let Some(finished) = self.running.remove(&id) else {
            return actions;
        };
        if result == ExchangeResult::Answered {
            self.record_service_time(latency);
        }
        if let Some(index) = self.position(finished.endpoint) {
            let endpoint = &mut self.endpoints[index];
            endpoint.used = endpoint.used.saturating_sub(1);
            endpoint.is_exclusive &= !finished.is_exclusive;
            endpoint.record_result(now, result, latency);
        }
        self.serve_waiters(now, &mut actions);
        actions
    }

    /// Removes a waiting request whose caller has disconnected or whose deadline has passed.
    pub fn cancel(&mut self, id: RequestId) {
        self.queue.remove(id);
        self.waiting.remove(&id);
    }

    /// Replaces the state of a peer, as received with a heartbeat.
    pub fn update_peer(&mut self, peer: IncarnationId, state: PeerState) {
        self.peers.insert(peer, state);
    }

    /// Replaces the report of a peer that is already present, as received with its responses.
    pub fn receive_counts(&mut self, peer: IncarnationId, report: ServiceReport) {
        if let Some(state) = self.peers.get_mut(&peer) {
            state.report = report;
            state.forwarded = 0;
        }
    }

    /// Removes a peer that is unreachable, replaced or leaving; nothing more is forwarded to it.
    pub fn remove_peer(&mut self, peer: IncarnationId) {
        self.peers.remove(&peer);
    }

    /// Periodic work: refuses expired waiters, gives out free slots, and forwards waiters that a
    /// peer can now serve sooner.
    pub fn tick(&mut self, now: PolicyTime) -> SchedulerActions {
        let mut actions = SchedulerActions::new();
        for waiter in self.queue.take_expired(now) {
            self.waiting.remove(&waiter.id);
            let retry_after = self.retry_after(waiter.priority);
            refuse(&mut actions, waiter.id, RefusalReason::Overloaded, retry_after);
        }
        self.serve_waiters(now, &mut actions);
        self.forward_waiters(now, &mut actions);
        actions
    }

    fn position(&self, address: SocketAddr) -> Option<usize> {
        self.endpoints.iter().position(|endpoint| endpoint.address == address)
    }

    fn holds_lease(&self, now: PolicyTime) -> bool {
        now < self.lease_until
    }

    /// Number of slots, free or in use, of endpoints that accept requests.
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

    fn select_endpoint(&self, now: PolicyTime, request: &SlotRequest) -> Option<usize> {
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

    /// Sort key of an endpoint for a request; the lowest key is preferred.
    fn rank(
        &self,
        endpoint: &EndpointSlots,
        request: &SlotRequest,
    ) -> (bool, bool, bool, u32, u64) {
        let is_avoided = request.avoided_domain.as_ref() == Some(&endpoint.domain);
        let is_foreign = endpoint.region != request.region;
        // Requests that may probe prefer suspended endpoints, which would otherwise never be
        // probed.
        let is_healthy = !endpoint.is_probing();
        let latency = u64::try_from(endpoint.latency().as_millis()).unwrap_or(u64::MAX);
        let distance = u64::from(endpoint.domain != self.domain);
        (is_avoided, is_foreign, is_healthy, endpoint.load_permille(), latency + distance)
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
        let running = RunningRequest { endpoint: address, is_exclusive: request.is_suspect };
        self.running.insert(request.id, running);
        let allowance = request.deadline.since(now).min(self.settings.max_work_time);
        SchedulerAction::Dispatch { id: request.id, endpoint: address, domain, allowance }
    }

    fn enqueue(&mut self, now: PolicyTime, request: SlotRequest, actions: &mut SchedulerActions) {
        let id = request.id;
        let local_wait = self.local_wait(now, request.priority);
        let best_peer = self.best_peer(&request);
        if let Some((peer, time)) = best_peer
            && local_wait.is_none_or(|local_wait| time + MIN_FORWARDING_GAIN < local_wait)
            && now + time < request.deadline
        {
            self.forward(peer, id, actions);
            return;
        }
        let Some(local_wait) = local_wait else {
            let has_no_peer = best_peer.is_none();
            let reason =
                if has_no_peer { RefusalReason::NoUpstream } else { RefusalReason::Overloaded };
            refuse(actions, id, reason, DEFAULT_RETRY_AFTER);
            return;
        };
        if now + local_wait >= request.deadline {
            let retry_after = self.retry_after(request.priority);
            refuse(actions, id, RefusalReason::Overloaded, retry_after);
            return;
        }
        if self.queue.len() >= self.settings.queue_limit {
            let retry_after = self.retry_after(request.priority);
            let evicted = self.queue.evict_below(request.priority);
            let refused = evicted.map_or(id, |waiter| waiter.id);
            self.waiting.remove(&refused);
            refuse(actions, refused, RefusalReason::Overloaded, retry_after);
            if refused == id {
                return;
            }
        }
        let (priority, deadline) = (request.priority, request.deadline);
        self.queue.push(QueuedWaiter { id, priority, deadline });
        self.waiting.insert(id, request);
    }

    fn forward(&mut self, peer: IncarnationId, id: RequestId, actions: &mut SchedulerActions) {
        if let Some(state) = self.peers.get_mut(&peer) {
            state.forwarded += 1;
        }
        actions.push(SchedulerAction::ForwardToPeer { id, peer });
    }

    fn mean_us(&self) -> f64 {
        if self.mean_service_us > 0.0 { self.mean_service_us } else { INITIAL_SERVICE_TIME_US }
    }

    /// Expected wait here of a new request of `priority`; `None` when there are no slots to wait
    /// for.
    fn local_wait(&self, now: PolicyTime, priority: RequestPriority) -> Option<Duration> {
        let slots = self.usable_slots(now);
        let has_candidate = self
            .endpoints
            .iter()
            .any(|endpoint| endpoint.state != EndpointState::Draining && !endpoint.is_releasing);
        if slots == 0 {
            let may_recover = self.holds_lease(now) && has_candidate;
            return may_recover.then_some(DEFAULT_RETRY_AFTER);
        }
        let ahead = self.queue.ahead_of(priority) as f64 + 1.0;
        Some(Duration::from_secs_f64(self.mean_us() * ahead / f64::from(slots) / 1e6))
    }

    /// The best peer in the target region of a request that a shift moves to another region.
    fn shift_peer(&self, request: &SlotRequest) -> Option<(IncarnationId, Duration)> {
        if request.region == self.region || self.region.is_empty() {
            return None;
        }
        self.best_peer_where(request, |state| state.region == request.region)
    }

    /// The peer expected to serve a request soonest, and the time that forwarding adds.
    fn best_peer(&self, request: &SlotRequest) -> Option<(IncarnationId, Duration)> {
        self.best_peer_where(request, |_| true)
    }

    fn best_peer_where(
        &self,
        request: &SlotRequest,
        is_candidate: impl Fn(&PeerState) -> bool,
    ) -> Option<(IncarnationId, Duration)> {
        if !request.may_forward || !self.settings.forwards_to_peers || request.is_suspect {
            return None;
        }
        self.peers
            .iter()
            .filter(|(_, state)| state.report.slots > 0 && is_candidate(state))
            .map(|(peer, state)| {
                let penalty = if state.region == request.region { 0 } else { 1 };
                (penalty * 1_000 + peer_time_us(state, request.priority), *peer)
            })
            .min()
            .map(|(micros, peer)| (peer, Duration::from_micros(micros)))
    }

    fn forward_waiters(&mut self, now: PolicyTime, actions: &mut SchedulerActions) {
        let ids: SmallVec<[RequestId; MAX_REVIEWED_WAITERS]> =
            self.queue.first(MAX_REVIEWED_WAITERS).map(|waiter| waiter.id).collect();
        for id in ids {
            let Some(request) = self.waiting.get(&id) else {
                continue;
            };
            let best_peer = self.best_peer(request);
            let local_wait = self.local_wait(now, request.priority);
            if let Some((peer, time)) = best_peer
                && local_wait.is_none_or(|local_wait| time + MIN_FORWARDING_GAIN < local_wait)
                && now + time < request.deadline
            {
                self.cancel(id);
                self.forward(peer, id, actions);
            }
        }
    }

    fn retry_after(&self, priority: RequestPriority) -> Duration {
        let slots: u32 = self.endpoints.iter().map(|endpoint| endpoint.hard_limit).sum();
        let ahead = self.queue.ahead_of(priority) as f64;
        let micros = self.mean_us() * ahead / f64::from(slots.max(1));
        Duration::from_secs_f64(micros / 1e6).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    fn record_service_time(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64() * 1e6;
        if self.mean_service_us <= 0.0 {
            self.mean_service_us = sample;
        } else {
            self.mean_service_us += SERVICE_TIME_WEIGHT * (sample - self.mean_service_us);
        }
    }

    /// Gives free slots to waiters, in queue order.
    fn serve_waiters(&mut self, now: PolicyTime, actions: &mut SchedulerActions) {
        while !self.queue.is_empty() && self.idle(now) > 0 {
            let next = self.queue.first_where(|waiter| {
                let request = self.waiting.get(&waiter.id);
                request.is_some_and(|request| self.select_endpoint(now, request).is_some())
            });
            let Some(waiter) = next else {
                return;
            };
            self.queue.remove(waiter.id);
            let Some(request) = self.waiting.remove(&waiter.id) else {
                return;
            };
            if let Some(index) = self.select_endpoint(now, &request) {
                actions.push(self.dispatch(now, index, &request));
            }
        }
    }
}

/// Expected time, in microseconds, that a peer adds: the round trip and the wait in its queue.
fn peer_time_us(state: &PeerState, priority: RequestPriority) -> u64 {
    let report = &state.report;
    let round_trip = u64::try_from(state.delay.as_micros()).unwrap_or(u64::MAX / 4) * 2;
    if report.idle > state.forwarded {
        return round_trip;
    }
    let waiting = match priority {
        RequestPriority::High => report.waiting_high,
        RequestPriority::Normal | RequestPriority::Low => report.waiting,
    };
    let ahead = u64::from(waiting) + u64::from(state.forwarded - report.idle) + 1;
    round_trip + ahead * u64::from(report.mean_us) / u64::from(report.slots.max(1))
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
