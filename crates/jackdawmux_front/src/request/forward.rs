//! Forwards a request to endpoints until it has a final response.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use axum::body::Body;
use axum::http::header::CONTENT_LENGTH;
use axum::http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::backoff::MAX_PAUSE;
use jackdawmux_policy::fleet::choice::{
    ConnectedOnly, EndpointChoice, EndpointKey, EndpointNotice, EndpointQuery, LimitStatement,
    NoticeEffect,
};
use jackdawmux_policy::fleet::outlier::AttemptOutcome;
use jackdawmux_policy::fleet::reachability::Reachability;
use jackdawmux_policy::fleet::record::InstanceRecord;
use jackdawmux_policy::identity::stable_hash;
use jackdawmux_runtime::strip_hop_by_hop_headers;
use smallvec::SmallVec;

use super::access_log::AccessLogEntry;
use super::body::{BodyError, RequestBody, ResponseBody, buffer_response};
use super::guard::AttemptGuard;
use super::hop::mark_endpoint;
use super::peer_attempt::MAX_PEERS;
use super::plan::RequestPlan;
use super::proof::{ResponseProof, prove_response};
use super::refusal::FrontRefusal;
use super::streamed_response::{OpenResponse, stream_response};
use super::team_access::{KeyPermission, RequestAccess};
use crate::dialect::ResponseHeaders;
use crate::process::{CapPermit, FrontState};
use crate::upstream::{Exchange, ExchangeOutcome, PooledConnection, exchange};

/// Connections that one request may fail to open. They are limited separately, because an endpoint
/// that cannot be reached received nothing and does not count towards the attempts of the route.
const MAX_CONNECT_FAILURES: usize = 3;
/// Retry-after delay when a full endpoint refused the request and no other one may be attempted.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(120);
/// The same when the endpoint that refused has free slots.
const SPARE_SLOTS_RETRY_AFTER: Duration = Duration::from_millis(5);
/// Bytes of the body that are included in a request's digest.
const MAX_DIGEST_BODY_BYTES: usize = 4 * 1024;
/// Retry-after delay when the token of a request cap expired before it could be used.
const EXPIRED_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Minimum remaining time for which another attempt is worthwhile.
const MIN_RETRY_TIME_LEFT: Duration = Duration::from_millis(40);

/// How far a request has come, for when its forwarding is given up at any point.
#[derive(Debug, Default)]
pub(crate) struct SendProgress {
    is_sent: AtomicBool,
    delivered: AtomicU32,
}

impl SendProgress {
    /// Whether a byte of the request may have reached an endpoint that has not reported that it did not
    /// run the request: one may be running it, or may have run it.
    pub(crate) fn is_sent(&self) -> bool {
        self.is_sent.load(Ordering::Relaxed)
    }

    /// Attempts of which bytes reached an endpoint, including those before a hop.
    pub(super) fn delivered(&self) -> u32 {
        self.delivered.load(Ordering::Relaxed)
    }

    pub(super) fn set_sent(&self, is_sent: bool) {
        self.is_sent.store(is_sent, Ordering::Relaxed);
    }

    /// Raises the number of attempts that reached an endpoint.
    pub(super) fn record_delivered(&self, delivered: u32) {
        self.delivered.fetch_max(delivered, Ordering::Relaxed);
    }
}

/// Result of one attempt, as far as it decides about a further one.
pub(super) enum AttemptResult {
    /// A response that is final.
    Final(Response<Body>),
    /// A complete response that reports a failure of the endpoint; another endpoint may succeed.
    Failed(Response<Body>),
    /// No byte of the request reached the endpoint.
    Unreachable,
    /// The endpoint, or another one at its address, reported that it did not run the request, or a
    /// peer did not take it. Holds the refusal if there is no other attempt.
    NotRun(FrontRefusal),
    /// No valid response arrived; the request may have run.
    Lost,
    /// The caller's body could not be read to its end.
    BodyFailed(BodyError),
}

/// Where an attempt is made.
enum AttemptTarget {
    Endpoint(EndpointChoice),
    Peer(Box<InstanceRecord>),
}

/// Forwards one request, with as many attempts as are allowed.
pub(crate) struct ForwardTask<'task> {
    pub(super) state: &'task Arc<FrontState>,
    pub(super) plan: &'task RequestPlan,
    pub(super) body: RequestBody,
    pub(super) log_entry: &'task mut AccessLogEntry,
    pub(super) progress: &'task SendProgress,
    /// The decision about the key for the present attempt.
    pub(super) access: RequestAccess,
    /// Token of the team's request cap; taken once, before the first attempt at an endpoint.
    cap_permit: Option<CapPermit>,
    /// Whether the request was counted towards the retry budget.
    is_counted: bool,
    attempted: SmallVec<[EndpointKey; 4]>,
    /// Peers that were offered the request.
    pub(super) peers: SmallVec<[String; 2]>,
}

impl<'task> ForwardTask<'task> {
    pub(crate) fn new(
        state: &'task Arc<FrontState>,
        plan: &'task RequestPlan,
        body: RequestBody,
        log_entry: &'task mut AccessLogEntry,
        progress: &'task SendProgress,
    ) -> Self {
        // Attempts of the instance that forwarded the request count as well.
        progress.record_delivered(plan.hop.as_ref().map_or(0, |hop| hop.delivered));
        let (attempted, peers) = (SmallVec::new(), SmallVec::new());
        let access = plan.access.clone();
        Self {
            state,
            plan,
            body,
            log_entry,
            progress,
            access,
            cap_permit: None,
            // The instance that forwarded the request has counted it.
            is_counted: plan.hop.is_some(),
            attempted,
            peers,
        }
    }

    /// Makes attempts until a response is final or no further attempt is allowed.
    pub(crate) async fn run(&mut self) -> Result<Response<Body>, FrontRefusal> {
        if self.is_blocked() {
            return Err(FrontRefusal::Poisonous);
        }
        let mut may_have_run = false;
        let mut failure = None;
        let mut unreachable = 0;
        let mut refusal = FrontRefusal::Shed(SHED_RETRY_AFTER);
        loop {
            let target = match self.select_target().await {
                Ok(target) => target,
                Err(chosen) if self.log_entry.attempt_count() == 0 => return Err(chosen),
                Err(chosen) => {
                    if chosen.is_held_off() || chosen.concerns_key() || chosen.is_stopping() {
                        refusal = chosen;
                    }
                    break;
                }
            };
            self.count_request();
            if self.log_entry.attempt_count() > 0 {
                self.state.metrics.count_retry(&self.plan.service);
            }
            let result = match target {
                AttemptTarget::Endpoint(choice) => self.attempt(&choice).await,
                AttemptTarget::Peer(peer) => self.attempt_at_peer(&peer).await,
            };
            match result {
                AttemptResult::Final(response) => {
                    self.clear_suspicion();
                    return Ok(response);
                }
                AttemptResult::Failed(response) => {
                    may_have_run = true;
                    failure = Some(response);
                }
                AttemptResult::Lost => may_have_run = true,
                AttemptResult::BodyFailed(error) => return Err(error.into()),
                AttemptResult::NotRun(stated) => refusal = stated,
                AttemptResult::Unreachable => {
                    refusal = FrontRefusal::Unreachable;
                    unreachable += 1;
                }
            }
            self.progress.set_sent(may_have_run);
            let may_retry = (!may_have_run || !self.plan.is_at_most_once())
                && self.progress.delivered() < self.plan.route.max_attempts
                && unreachable < self.max_connect_failures()
                && self.body.is_sendable()
                && self.time_left() >= MIN_RETRY_TIME_LEFT;
            if !may_retry {
                break;
            }
        }
        match failure {
            Some(response) => Ok(response),
            None if may_have_run => Err(FrontRefusal::UpstreamLost),
            None => Err(refusal),
        }
    }

    fn count_request(&mut self) {
        if !std::mem::replace(&mut self.is_counted, true) {
            let now = self.state.clock.now();
            self.state.steering().count_request(now, &self.plan.service);
        }
    }

    /// Digest by which a repeated request is recognised.
    fn digest(&self) -> u64 {
        let body =
            self.body.buffered().get(..MAX_DIGEST_BODY_BYTES).unwrap_or(self.body.buffered());
        let mut text = Vec::with_capacity(256 + body.len());
        text.extend_from_slice(self.plan.method.as_str().as_bytes());
        text.extend_from_slice(self.plan.uri.to_string().as_bytes());
        text.extend_from_slice(self.plan.object_text().as_bytes());
        text.extend_from_slice(&self.body.buffered().len().to_be_bytes());
        text.extend_from_slice(body);
        stable_hash(&text)
    }

    fn is_blocked(&self) -> bool {
        let now = self.state.clock.now();
        let steering = self.state.steering();
        !steering.crashes().is_empty() && steering.crashes().is_blocked(now, self.digest())
    }

    fn clear_suspicion(&self) {
        let mut steering = self.state.steering();
        if !steering.crashes().is_empty() {
            steering.crashes_mut().clear(self.digest());
        }
    }

    fn record_lost(&self, endpoint: EndpointKey) {
        let now = self.state.clock.now();
        let digest = self.digest();
        self.state.steering().crashes_mut().record_lost(now, digest, endpoint);
    }

    /// An endpoint that sheds requests while it has free slots does so at random, so an immediate
    /// retry is likely to succeed.
    fn shed_refusal(&self, choice: &EndpointChoice) -> FrontRefusal {
        let now = self.state.clock.now();
        let load = self.state.steering().load(now, &self.plan.service, choice.key);
        let is_idle = load.is_some_and(|load| load < 1.0);
        FrontRefusal::Shed(if is_idle { SPARE_SLOTS_RETRY_AFTER } else { SHED_RETRY_AFTER })
    }

    pub(super) fn time_left(&self) -> Duration {
        self.plan.deadline.since(self.state.clock.now())
    }

    /// Connections that may fail to open, to endpoints and, once this instance is isolated, to peers.
    fn max_connect_failures(&self) -> usize {
        let is_isolated = self.state.steering().reachability().is_isolated();
        MAX_CONNECT_FAILURES + if is_isolated { MAX_PEERS } else { 0 }
    }

    /// Selects where the next attempt is made, within the request cap of the team. A peer that the
    /// request is forwarded to takes the token itself.
    async fn select_target(&mut self) -> Result<AttemptTarget, FrontRefusal> {
        if self.cap_permit.is_none() && !self.state.steering().reachability().is_isolated() {
            let (state, deadline) = (self.state, self.plan.deadline);
            self.cap_permit = Some(acquire_cap(state, self.access.clone(), deadline).await?);
        }
        let target =
            self.check_access().and_then(|()| self.check_stop()).and_then(|()| self.choose());
        if target.is_err() && self.log_entry.attempt_count() == 0 {
            self.cap_permit.take().into_iter().for_each(CapPermit::give_back);
        }
        target
    }

    /// Looks the key up in the configuration in force, which may have changed since the request
    /// arrived or since its latest attempt.
    fn check_access(&mut self) -> Result<(), FrontRefusal> {
        let permission = KeyPermission::read(self.state);
        let table = self.state.steering().table().cloned();
        // Once teams are removed from the configuration, the key of a request that arrived before
        // is still kept from endpoints.
        if let Some(table) = table.filter(|table| table.has_teams()) {
            let Self { plan, .. } = *self;
            self.access = RequestAccess::decide(permission, &table, &plan.route, &plan.credential)
                .map_err(|denial| denial.refusal)?;
        }
        Ok(())
    }

    /// Late in a planned stop, a request that has not run is not started at an endpoint unless it ends
    /// in time. Its body, an earlier attempt or the cap of its team may have taken time since it arrived.
    fn check_stop(&self) -> Result<(), FrontRefusal> {
        let may_start = self.progress.is_sent()
            || self.state.may_start(self.plan.deadline, self.body.arrival());
        if may_start { Ok(()) } else { Err(FrontRefusal::Stopping) }
    }

    /// Chooses an endpoint, or a peer while this instance reaches no endpoint. A request takes one hop
    /// between instances at most.
    fn choose(&self) -> Result<AttemptTarget, FrontRefusal> {
        let reachability = self.state.steering().reachability().clone();
        if !reachability.is_isolated() {
            return self.choose_endpoint(None).map(AttemptTarget::Endpoint);
        }
        let peer = if self.plan.hop.is_none() { self.select_peer() } else { None };
        if reachability.has_usable_connections(self.state.clock.now()) {
            let keys = self.state.pool.idle_endpoints(self.plan.is_at_most_once());
            let only = ConnectedOnly { keys: &keys, is_preferred_only: peer.is_some() };
            if let Ok(choice) = self.choose_endpoint(Some(only)) {
                return Ok(AttemptTarget::Endpoint(choice));
            }
        }
        match peer {
            Some(peer) => Ok(AttemptTarget::Peer(Box::new(peer))),
            None if reachability.state() == Reachability::Isolated => Err(FrontRefusal::Isolated),
            None => self.choose_endpoint(None).map(AttemptTarget::Endpoint),
        }
    }

    fn choose_endpoint(
        &self,
        connected: Option<ConnectedOnly<'_>>,
    ) -> Result<EndpointChoice, FrontRefusal> {
        let query = EndpointQuery {
            service: &self.plan.service,
            route: &self.plan.route,
            team: self.access.team(),
            object: self.plan.object_hash,
            attempted: &self.attempted,
            is_retry: self.progress.delivered() > 0,
            connected,
            deadline: Some(self.plan.deadline),
        };
        let now = self.state.clock.now();
        let has_idle = |key| self.state.pool.has_idle(key, self.plan.is_at_most_once());
        let mut steering = self.state.steering();
        steering.choose_connected(now, &query, &has_idle).map_err(FrontRefusal::NotChosen)
    }

    /// Makes one attempt at an endpoint and records what follows from its result.
    async fn attempt(&mut self, choice: &EndpointChoice) -> AttemptResult {
        self.attempted.push(choice.key);
        self.log_entry.record_attempt(choice);
        let mut result = self.attempt_at_endpoint(choice).await;
        match &mut result {
            AttemptResult::Lost => self.record_lost(choice.key),
            AttemptResult::Final(response) | AttemptResult::Failed(response)
                if self.plan.hop.is_some() =>
            {
                mark_endpoint(response.headers_mut(), choice);
            }
            _ => {}
        }
        result
    }

    async fn attempt_at_endpoint(&mut self, choice: &EndpointChoice) -> AttemptResult {
        let guard = AttemptGuard::new(self.state, &self.plan.service, choice, self.plan.deadline);
        let Some(body) = self.body.for_attempt() else {
            return AttemptResult::Unreachable;
        };
        let mut request = self.build_request(&choice.id, body);
        if self.access.replaces_headers() {
            let team = self.access.team().map(|team| team.name.as_str());
            self.state.dialect.write_team(request.headers_mut(), team);
        }
        let target = Exchange {
            pool: &self.state.pool,
            endpoint: choice.key,
            address: choice.address,
            is_at_most_once: self.plan.is_at_most_once(),
            // Nothing else shows that a refusal belongs to a request that names no attempt.
            may_reuse: self.plan.attempt.is_some(),
            time_left: self.time_left(),
        };
        let on_send = |is_new| {
            self.progress.set_sent(true);
            if is_new {
                self.state.record_connected();
            }
        };
        match exchange(target, request, on_send).await {
            ExchangeOutcome::Unreachable { is_unresponsive, error } => {
                log::debug!("event=upstream-unreachable peer={} error={error:?}", choice.address);
                self.log_entry.record_outcome(if is_unresponsive {
                    "connect-timeout"
                } else {
                    "refused"
                });
                self.state.pool.close_idle(choice.key);
                guard.finish(if is_unresponsive {
                    AttemptOutcome::Silent
                } else {
                    AttemptOutcome::Unreachable
                });
                AttemptResult::Unreachable
            }
            ExchangeOutcome::Lost { error } => {
                log::debug!("event=upstream-lost peer={} error={error:?}", choice.address);
                self.progress.record_delivered(self.progress.delivered() + 1);
                if let Some(failure) = self.body.failure() {
                    self.log_entry.record_outcome("body-failed");
                    guard.finish(AttemptOutcome::Cancelled);
                    return AttemptResult::BodyFailed(failure);
                }
                if is_unresponsive_error(&error) {
                    self.log_entry.record_outcome("silent");
                    guard.finish(AttemptOutcome::Silent);
                } else {
                    self.log_entry.record_outcome("lost");
                    guard.finish_lost();
                }
                AttemptResult::Lost
            }
            ExchangeOutcome::Answered(response, connection) => {
                self.progress.record_delivered(self.progress.delivered() + 1);
                self.classify(choice, *response, connection, guard).await
            }
        }
    }

    /// Records what the endpoint states about itself. A response of another endpoint at the address
    /// says nothing about the chosen one.
    pub(super) fn record_notice(&self, choice: &EndpointChoice, headers: &ResponseHeaders) {
        let ResponseHeaders { is_leaving, retry_after, .. } = *headers;
        let limit = match headers.limit {
            // Only a response to a request that was sent after the statement shows that it has ended.
            LimitStatement::Unlimited
                if !choice.is_limited || headers.attempt != self.plan.attempt =>
            {
                LimitStatement::Unknown
            }
            limit => limit,
        };
        let notice = EndpointNotice { is_leaving, retry_after, limit };
        if headers.is_misdirected || notice == EndpointNotice::default() {
            return;
        }
        let now = self.state.clock.now();
        match self.state.steering().record_notice(now, choice, notice) {
            NoticeEffect::None => {}
            NoticeEffect::Leaving => {
                self.state.pool.close_idle(choice.key);
                log::info!("event=endpoint-leaving endpoint={}", choice.id);
            }
            NoticeEffect::Paused(requested) => log::info!(
                "event=endpoint-paused endpoint={} requested_ms={} is_bounded={}",
                choice.id,
                requested.as_millis(),
                requested > MAX_PAUSE
            ),
            NoticeEffect::Limited(rate) => log::info!(
                "event=endpoint-limited endpoint={} rate_per_s={}",
                choice.id,
                rate.as_per_second()
            ),
            NoticeEffect::Unlimited => {
                log::info!("event=endpoint-unlimited endpoint={}", choice.id);
            }
        }
    }

    pub(super) fn build_request(&self, expected: &str, body: Body) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = self.plan.method.clone();
        *request.uri_mut() = self.plan.uri.clone();
        self.plan.headers.clone_into(request.headers_mut());
        self.state.dialect.write_attempt_headers(request.headers_mut(), self.time_left(), expected);
        request
    }

    /// Follows what a response proves. One that proves nothing leaves it unknown whether the request
    /// ran; its headers are not read and its connection is closed.
    async fn classify(
        &mut self,
        choice: &EndpointChoice,
        response: Response<Incoming>,
        connection: PooledConnection,
        mut guard: AttemptGuard,
    ) -> AttemptResult {
        let headers = self.state.dialect.read_response(response.status(), response.headers());
        let (sent, is_reused) = (self.plan.attempt.as_ref(), connection.is_reused());
        match prove_response(response.status(), &headers, sent, is_reused) {
            ResponseProof::Nothing(gap) => {
                self.log_entry.record_outcome(gap.into());
                guard.finish(AttemptOutcome::Failed);
                AttemptResult::Lost
            }
            ResponseProof::Misdirected => {
                self.log_entry.record_outcome("misdirected");
                guard.finish(AttemptOutcome::Misdirected);
                AttemptResult::NotRun(self.shed_refusal(choice))
            }
            ResponseProof::NotRun => {
                guard.record_load(headers.load);
                self.record_notice(choice, &headers);
                self.log_entry.record_outcome("shed");
                guard.finish(AttemptOutcome::Shed);
                AttemptResult::NotRun(self.shed_refusal(choice))
            }
            ResponseProof::Answered => {
                guard.record_load(headers.load);
                self.record_notice(choice, &headers);
                self.read_body(response, connection, guard).await
            }
        }
    }

    pub(super) async fn read_body(
        &mut self,
        response: Response<Incoming>,
        connection: PooledConnection,
        guard: AttemptGuard,
    ) -> AttemptResult {
        let (mut head, mut incoming) = response.into_parts();
        strip_hop_by_hop_headers(&mut head.headers);
        // Set again from the body that is sent to the caller.
        head.headers.remove(CONTENT_LENGTH);
        let is_failure = is_endpoint_failure(head.status);
        match buffer_response(&mut incoming, &self.state.held).await {
            Ok(ResponseBody::Buffered(bytes)) => {
                let response = Response::from_parts(head, Body::from(bytes));
                if !is_failure {
                    self.log_entry.record_outcome("answered");
                    guard.finish_answered(connection);
                    return AttemptResult::Final(response);
                }
                self.log_entry.record_outcome("failed");
                guard.release(connection);
                guard.finish(AttemptOutcome::Failed);
                AttemptResult::Failed(response)
            }
            Ok(ResponseBody::Partial(prefix)) => {
                self.log_entry.record_outcome("streaming");
                let deadline = self.state.clock.instant(self.plan.deadline);
                let open = OpenResponse { prefix, incoming, guard, connection, deadline };
                AttemptResult::Final(Response::from_parts(head, stream_response(open)))
            }
            Err(error) => {
                log::debug!("event=answer-broken error={error:?}");
                self.log_entry.record_outcome("broken-answer");
                guard.finish_lost();
                AttemptResult::Lost
            }
        }
    }
}

/// Takes a token of the team's request cap.
async fn acquire_cap(
    state: &FrontState,
    access: RequestAccess,
    deadline: PolicyTime,
) -> Result<CapPermit, FrontRefusal> {
    let Some(team) = access.team() else {
        return Ok(CapPermit::unlimited());
    };
    let permit = state.caps().acquire(team, deadline).await?;
    // A process that was paused meanwhile may hold a token that has expired.
    if permit.is_valid() { Ok(permit) } else { Err(FrontRefusal::CapUnknown(EXPIRED_RETRY_AFTER)) }
}

/// Whether a status reports a failure of the endpoint rather than an error in the request.
fn is_endpoint_failure(status: StatusCode) -> bool {
    status.is_server_error()
}

/// Whether a connection ended because the endpoint did not acknowledge the data sent to it.
fn is_unresponsive_error(error: &hyper::Error) -> bool {
    std::error::Error::source(error)
        .and_then(|source| source.downcast_ref::<std::io::Error>())
        .is_some_and(|error| error.kind() == std::io::ErrorKind::TimedOut)
}
