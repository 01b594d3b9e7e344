//! Carries a request to an upstream: slot, exchange, retries and the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderValue, Request, Response};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use jackdawmux_peer::PeerIdentity;
use jackdawmux_policy::endpoint::ExchangeResult;
use jackdawmux_policy::idempotency::KeyDigest;
use jackdawmux_policy::identity::{RequestId, stable_hash};
use jackdawmux_policy::outcome::{RefusalReason, RequestRefusal, RunOutcome};
use jackdawmux_policy::scheduler::SlotRequest;
use jackdawmux_runtime::strip_hop_headers;
use smallvec::SmallVec;
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use super::answer::{FinalAnswer, StoredAnswer};
use super::body::{HELD_LIMIT, RequestBody};
use super::counts::{COUNTS_HEADER, read_counts};
use super::guard::{SlotBody, SlotGuard, WaitGuard};
use super::pass_on::{PassEnd, PassReason, pass_on};
use super::plan::{DEADLINE_HEADER, RequestPlan};
use super::refusal::{OUTCOME_HEADER, set_outcome};
use crate::connection::{ExchangeEnd, UpstreamAnswer, exchange};
use crate::process::{
    Admission, AdmissionResult, AdmissionTarget, AdmitRequest, EntryContext, ReceiveCounts,
    SpendRetry,
};

/// Header with the absolute deadline of the work, in Unix milliseconds. It is fixed when the
/// slot is given, so that a sender paused before sending cannot start late work.
const DEADLINE_AT_HEADER: &str = "jackdaw-deadline-at";
/// Most tries of one request.
const TRY_LIMIT: usize = 4;
/// Pause suggested after a failed exchange.
const FAILED_PAUSE: Duration = Duration::from_millis(500);

/// What one try taught.
enum TryEnd {
    /// The request has its final answer.
    Final(FinalAnswer),
    /// It did not run at the endpoint and may go elsewhere.
    NotRun { endpoint: SocketAddr, domain: String, reason: RefusalReason },
    /// It may have run at the endpoint.
    Lost { endpoint: SocketAddr, domain: String },
    /// A peer did not run it; it is served from here.
    PeerRefused,
}

/// One request on its way.
struct ForwardTask<'task> {
    context: &'task Arc<EntryContext>,
    plan: &'task RequestPlan,
    body: RequestBody,
    key: Option<KeyDigest>,
    region: String,
    excluded: SmallVec<[SocketAddr; 2]>,
    avoided: Option<String>,
    may_pass: bool,
}

/// Carries a request to an upstream and returns its final answer. With `key`, the request runs at
/// most once: the register decides about each send. `may_pass` is false for a request that was
/// passed on already.
pub(crate) async fn forward(
    context: &Arc<EntryContext>,
    plan: &RequestPlan,
    body: RequestBody,
    key: Option<KeyDigest>,
    may_pass: bool,
) -> FinalAnswer {
    let region = preferred_region(context, plan);
    let excluded = SmallVec::new();
    let mut task =
        ForwardTask { context, plan, body, key, region, excluded, avoided: None, may_pass };
    task.run().await
}

fn preferred_region(context: &EntryContext, plan: &RequestPlan) -> String {
    let Some(force) = context.active_config.borrow().clone() else {
        return String::new();
    };
    let local = force.table.region_of(&context.settings.failure_domain).unwrap_or_default();
    let now = context.clock.wall_ms();
    context.shifts.region_for(&force.table, &plan.service, local, &plan.block, now)
}

impl ForwardTask<'_> {
    async fn run(&mut self) -> FinalAnswer {
        // Once a try may have run, nothing that later tries say makes the request "not run".
        let mut outcome = RunOutcome::NotRun;
        for number in 1..=TRY_LIMIT {
            let id = self.context.next_request_id();
            let tried = match self.admit(id).await {
                Ok(AdmissionTarget::Slot(admission)) => self.try_once(id, admission).await,
                Ok(AdmissionTarget::Peer(peer)) => self.try_peer(&peer).await,
                Err(refusal) => return FinalAnswer::Refused(outcome, refusal),
            };
            let (endpoint, domain, reason) = match tried {
                TryEnd::Final(answer) => return answer,
                TryEnd::NotRun { endpoint, domain, reason } => (endpoint, domain, reason),
                TryEnd::Lost { endpoint, domain } => {
                    outcome = RunOutcome::Unknown;
                    (endpoint, domain, RefusalReason::UpstreamLost)
                }
                TryEnd::PeerRefused => {
                    self.may_pass = false;
                    continue;
                }
            };
            if number == TRY_LIMIT || !self.may_retry(outcome).await {
                let refusal = RequestRefusal::retryable(reason, FAILED_PAUSE);
                return FinalAnswer::Refused(outcome, refusal);
            }
            self.context.metrics.count_retry(&self.plan.service);
            self.excluded.push(endpoint);
            self.avoided = Some(domain);
        }
        let refusal = RequestRefusal::retryable(RefusalReason::UpstreamRefused, FAILED_PAUSE);
        FinalAnswer::Refused(outcome, refusal)
    }

    async fn may_retry(&mut self, outcome: RunOutcome) -> bool {
        let is_safe = match outcome {
            RunOutcome::NotRun => true,
            RunOutcome::Ran | RunOutcome::Unknown => !self.plan.is_once(),
        };
        let is_in_time = self.context.clock.now() < self.plan.deadline;
        if !is_safe || !is_in_time || !self.body.is_sendable() {
            return false;
        }
        let ask = SpendRetry { service: self.plan.service.to_string() };
        self.context.steering.ask(ask).await.unwrap_or(false)
    }

    async fn admit(&mut self, id: RequestId) -> AdmissionResult {
        let (answer, answered) = oneshot::channel();
        let request = SlotRequest {
            id,
            priority: self.plan.operation.priority,
            deadline: self.plan.deadline,
            region: self.region.clone(),
            excluded: self.excluded.clone(),
            avoided_domain: self.avoided.clone(),
            is_suspect: false,
            may_probe: self.plan.may_probe(),
            may_forward: self.may_pass,
        };
        let service = self.plan.service.to_string();
        let digest = self.digest();
        let mut guard = WaitGuard {
            context: Arc::clone(self.context),
            service: Arc::clone(&self.plan.service),
            id,
            is_answered: false,
        };
        let ask = AdmitRequest { service, request, digest, answer };
        let gone = RequestRefusal::retryable(RefusalReason::Leaving, FAILED_PAUSE);
        if self.context.steering.tell(ask).await.is_err() {
            return Err(gone);
        }
        let result = answered.await;
        guard.is_answered = true;
        result.unwrap_or(Err(gone))
    }

    /// By what a repeated request is recognised: method, path and body.
    fn digest(&self) -> u64 {
        let mut text = Vec::with_capacity(256);
        text.extend_from_slice(self.plan.service.as_bytes());
        text.extend_from_slice(self.plan.method.as_str().as_bytes());
        text.extend_from_slice(self.plan.uri.to_string().as_bytes());
        text.extend_from_slice(self.body.bytes());
        stable_hash(&text)
    }

    async fn try_once(&mut self, id: RequestId, admission: Admission) -> TryEnd {
        let guard = SlotGuard::new(self.context, &self.plan.service, id);
        let Admission { endpoint, domain, .. } = &admission;
        let (endpoint, domain) = (*endpoint, domain.clone());
        let Some(allowed) = self.time_left(&admission) else {
            guard.finish(ExchangeResult::Cancelled);
            let reason = RefusalReason::DeadlinePassed;
            return TryEnd::NotRun { endpoint, domain, reason };
        };
        let Some(body) = self.body.take() else {
            guard.finish(ExchangeResult::Cancelled);
            let reason = RefusalReason::UpstreamRefused;
            return TryEnd::NotRun { endpoint, domain, reason };
        };
        if let Some(key) = self.key
            && !self.context.idempotency_keys.mark_sent(key)
        {
            guard.finish(ExchangeResult::Cancelled);
            let refusal = RequestRefusal::retryable(RefusalReason::KeyInUse, FAILED_PAUSE);
            return TryEnd::Final(FinalAnswer::Refused(RunOutcome::Unknown, refusal));
        }
        let request = self.build(id, &admission, allowed, body);
        match exchange(&self.context.pool, endpoint, request, allowed).await {
            ExchangeEnd::Unsent { request, error } => {
                log::debug!("event=upstream-unsent peer={endpoint} error={error:?}");
                self.body.restore(request.into_body());
                self.mark_refused();
                guard.finish(ExchangeResult::Failed);
                TryEnd::NotRun { endpoint, domain, reason: RefusalReason::UpstreamLost }
            }
            ExchangeEnd::Lost { is_closed, error } => {
                log::debug!("event=upstream-lost peer={endpoint} error={error:?}");
                if is_closed {
                    guard.finish_dead();
                } else {
                    guard.finish_cut(ExchangeResult::Failed);
                }
                TryEnd::Lost { endpoint, domain }
            }
            ExchangeEnd::Answered(answer) => {
                self.take_answer(*answer, guard, endpoint, domain).await
            }
        }
    }

    /// Passes the request on to a peer with slots to spare and relays what came of it.
    async fn try_peer(&mut self, peer: &PeerIdentity) -> TryEnd {
        if let Some(key) = self.key
            && !self.context.idempotency_keys.mark_sent(key)
        {
            let refusal = RequestRefusal::retryable(RefusalReason::KeyInUse, FAILED_PAUSE);
            return TryEnd::Final(FinalAnswer::Refused(RunOutcome::Unknown, refusal));
        }
        let body = self.body.lend();
        match pass_on(self.context, self.plan, body, PassReason::Slot, peer.address).await {
            PassEnd::Unsent(body) => {
                self.body = body;
                self.mark_refused();
                TryEnd::PeerRefused
            }
            PassEnd::Lost => TryEnd::Lost { endpoint: peer.address, domain: peer.domain.clone() },
            PassEnd::Answered(response) => self.take_peer_answer(peer, response).await,
        }
    }

    async fn take_peer_answer(
        &mut self,
        peer: &PeerIdentity,
        mut response: Response<Body>,
    ) -> TryEnd {
        self.learn_counts(peer, &mut response).await;
        let outcome = response.headers().get(OUTCOME_HEADER).cloned();
        let outcome = outcome.as_ref().and_then(|value| value.to_str().ok());
        match outcome.and_then(|text| text.parse::<RunOutcome>().ok()) {
            Some(RunOutcome::NotRun) if self.body.is_sendable() => {
                self.mark_refused();
                TryEnd::PeerRefused
            }
            Some(RunOutcome::NotRun) => {
                self.mark_refused();
                let refusal = RequestRefusal::retryable(RefusalReason::Overloaded, FAILED_PAUSE);
                TryEnd::Final(FinalAnswer::Refused(RunOutcome::NotRun, refusal))
            }
            Some(RunOutcome::Ran) => TryEnd::Final(hold_answer(response).await),
            Some(RunOutcome::Unknown) | None => {
                TryEnd::Lost { endpoint: peer.address, domain: peer.domain.clone() }
            }
        }
    }

    async fn learn_counts(&mut self, peer: &PeerIdentity, response: &mut Response<Body>) {
        let value = response.headers_mut().remove(COUNTS_HEADER);
        let text = value.as_ref().and_then(|value| value.to_str().ok()).unwrap_or_default();
        if let Some(report) = read_counts(&self.plan.service, text) {
            let counts = ReceiveCounts { peer: peer.incarnation, report };
            if self.context.steering.tell(counts).await.is_err() {
                log::debug!("event=counts-unsent");
            }
        }
    }

    /// Time for the work, fixed when the slot was given; none when it has run out since.
    fn time_left(&self, admission: &Admission) -> Option<Duration> {
        let left = self.plan.deadline.since(self.context.clock.now());
        let until = admission.work_deadline_ms.checked_sub(self.context.clock.wall_ms())?;
        let allowed = left.min(Duration::from_millis(until));
        (allowed >= Duration::from_millis(1)).then_some(allowed)
    }

    fn build(
        &self,
        id: RequestId,
        admission: &Admission,
        allowed: Duration,
        body: Body,
    ) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = self.plan.method.clone();
        *request.uri_mut() = self.plan.uri.clone();
        self.plan.headers.clone_into(request.headers_mut());
        let headers = request.headers_mut();
        headers.insert(DEADLINE_HEADER, HeaderValue::from(millis(allowed)));
        headers.insert(DEADLINE_AT_HEADER, HeaderValue::from(admission.work_deadline_ms));
        let exchange_id = format!("{}-{}", self.context.incarnation, id.0);
        if let Ok(value) = HeaderValue::from_str(&exchange_id) {
            headers.insert(crate::connection::REQUEST_ID_HEADER, value);
        }
        request
    }

    fn mark_refused(&self) {
        if let Some(key) = self.key {
            self.context.idempotency_keys.mark_refused(key);
        }
    }

    async fn take_answer(
        &mut self,
        answer: UpstreamAnswer,
        guard: SlotGuard,
        endpoint: SocketAddr,
        domain: String,
    ) -> TryEnd {
        let UpstreamAnswer { response, connection } = answer;
        if is_refusal(&response) {
            // The body is not read, so the connection is not used again.
            drop(connection);
            self.mark_refused();
            guard.finish(ExchangeResult::Shed);
            let reason = RefusalReason::UpstreamRefused;
            return TryEnd::NotRun { endpoint, domain, reason };
        }
        let (mut head, incoming) = response.into_parts();
        strip_hop_headers(&mut head.headers);
        // The id names one exchange; a repeat that gets this answer again is another.
        head.headers.remove(crate::connection::REQUEST_ID_HEADER);
        let size = http_body::Body::size_hint(&incoming).exact();
        let is_held = size.is_some_and(|size| size <= u64::try_from(HELD_LIMIT).unwrap_or(0));
        if !is_held {
            let body = SlotBody::new(incoming, guard, connection, self.context, self.plan.deadline);
            set_outcome(&mut head.headers, RunOutcome::Ran);
            let response = Response::from_parts(head, Body::new(body));
            return TryEnd::Final(FinalAnswer::Streaming(response));
        }
        match self.read_whole(incoming).await {
            Some(body) => {
                guard.finish(ExchangeResult::Answered);
                self.context.pool.checkin(connection);
                let stored = StoredAnswer { status: head.status, headers: head.headers, body };
                TryEnd::Final(FinalAnswer::Held(Arc::new(stored)))
            }
            None => {
                guard.finish_cut(ExchangeResult::Failed);
                TryEnd::Lost { endpoint, domain }
            }
        }
    }

    /// The whole body, or none when it breaks off or the deadline comes first.
    async fn read_whole(&mut self, incoming: Incoming) -> Option<Bytes> {
        let deadline = self.context.clock.instant(self.plan.deadline);
        let limited = Limited::new(incoming, HELD_LIMIT);
        match timeout_at(deadline, limited.collect()).await {
            Ok(Ok(collected)) => Some(collected.to_bytes()),
            Ok(Err(_)) | Err(_) => None,
        }
    }
}

/// A peer's answer, held when it is small enough to be given again.
async fn hold_answer(response: Response<Body>) -> FinalAnswer {
    let is_small = http_body::Body::size_hint(response.body())
        .upper()
        .is_some_and(|size| size <= u64::try_from(HELD_LIMIT).unwrap_or(0));
    if !is_small {
        return FinalAnswer::Streaming(response);
    }
    let (head, body) = response.into_parts();
    match body.collect().await {
        Ok(collected) => {
            let body = collected.to_bytes();
            let stored = StoredAnswer { status: head.status, headers: head.headers, body };
            FinalAnswer::Held(Arc::new(stored))
        }
        Err(_) => {
            let refusal = RequestRefusal::retryable(RefusalReason::UpstreamLost, FAILED_PAUSE);
            FinalAnswer::Refused(RunOutcome::Unknown, refusal)
        }
    }
}

/// Whether the upstream says that it did not run the request.
fn is_refusal(response: &Response<Incoming>) -> bool {
    response.status() == axum::http::StatusCode::SERVICE_UNAVAILABLE
        && response.headers().get(OUTCOME_HEADER).is_some_and(|value| value == "not-run")
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
