//! Forwards a request to an upstream: slot, exchange, retries and response.

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
use jackdawmux_runtime::strip_hop_by_hop_headers;
use smallvec::SmallVec;
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use super::body::{MAX_BUFFERED_BYTES, RequestBody};
use super::counts::{COUNTS_HEADER, parse_counts};
use super::guard::{SlotBody, SlotGuard, WaitGuard};
use super::peer_forward::{PeerForwardOutcome, PeerForwardReason, forward_to_peer};
use super::plan::{DEADLINE_HEADER, RequestPlan};
use super::refusal::{OUTCOME_HEADER, set_outcome};
use super::response::{FinalResponse, StoredResponse};
use crate::connection::{ExchangeOutcome, UpstreamResponse, exchange};
use crate::process::{
    Admission, AdmissionResult, AdmissionTarget, AdmitRequest, EntryContext, ReceiveCounts,
    SpendRetry,
};

/// Request header with the absolute deadline of the work, in Unix milliseconds. It is fixed when
/// the slot is granted, so that a process that stalls before sending cannot start work late.
const DEADLINE_AT_HEADER: &str = "jackdaw-deadline-at";
/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: usize = 4;
/// Retry-after delay after a failed exchange.
const FAILURE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Outcome of one attempt.
enum AttemptResult {
    /// The request has its final response.
    Final(FinalResponse),
    /// The request did not run at the endpoint and may be sent to another one.
    NotRun { endpoint: SocketAddr, domain: String, reason: RefusalReason },
    /// The request may have run at the endpoint.
    Lost { endpoint: SocketAddr, domain: String },
    /// The peer did not run the request, so this instance has to serve it.
    PeerRefused,
}

/// State of one request over its attempts.
struct ForwardTask<'task> {
    context: &'task Arc<EntryContext>,
    plan: &'task RequestPlan,
    body: RequestBody,
    key: Option<KeyDigest>,
    region: String,
    excluded: SmallVec<[SocketAddr; 2]>,
    avoided_domain: Option<String>,
    may_use_peer: bool,
}

/// Forwards a request to an upstream and returns the final response. With `key`, the request runs
/// at most once: the key table must permit each attempt. `may_use_peer` is false
/// for a request that a peer has forwarded to a slot of this instance.
pub(crate) async fn forward(
    context: &Arc<EntryContext>,
    plan: &RequestPlan,
    body: RequestBody,
    key: Option<KeyDigest>,
    may_use_peer: bool,
) -> FinalResponse {
    let region = preferred_region(context, plan);
    let excluded = SmallVec::new();
    let mut task = ForwardTask {
        context,
        plan,
        body,
        key,
        region,
        excluded,
        avoided_domain: None,
        may_use_peer,
    };
    task.run().await
}

fn preferred_region(context: &EntryContext, plan: &RequestPlan) -> String {
    let Some(config) = context.active_config.borrow().clone() else {
        return String::new();
    };
    let local = config.table.region_of(&context.settings.failure_domain).unwrap_or_default();
    let now = context.clock.wall_ms();
    context.shifts.region_for(&config.table, &plan.service, local, &plan.block, now)
}

impl ForwardTask<'_> {
    async fn run(&mut self) -> FinalResponse {
        // Once an attempt may have run, no result of a later attempt makes the request "not run".
        let mut outcome = RunOutcome::NotRun;
        for number in 1..=MAX_ATTEMPTS {
            let id = self.context.next_request_id();
            let attempt = match self.admit(id).await {
                Ok(AdmissionTarget::Slot(admission)) => self.attempt_upstream(id, admission).await,
                Ok(AdmissionTarget::Peer(peer)) => self.attempt_peer(&peer).await,
                Err(refusal) => return FinalResponse::Refused(outcome, refusal),
            };
            let (endpoint, domain, reason) = match attempt {
                AttemptResult::Final(response) => return response,
                AttemptResult::NotRun { endpoint, domain, reason } => (endpoint, domain, reason),
                AttemptResult::Lost { endpoint, domain } => {
                    outcome = RunOutcome::Unknown;
                    (endpoint, domain, RefusalReason::UpstreamLost)
                }
                AttemptResult::PeerRefused => {
                    self.may_use_peer = false;
                    continue;
                }
            };
            if number == MAX_ATTEMPTS || !self.may_retry(outcome).await {
                let refusal = RequestRefusal::retryable(reason, FAILURE_RETRY_AFTER);
                return FinalResponse::Refused(outcome, refusal);
            }
            self.context.metrics.count_retry(&self.plan.service);
            self.excluded.push(endpoint);
            self.avoided_domain = Some(domain);
        }
        let refusal =
            RequestRefusal::retryable(RefusalReason::UpstreamRefused, FAILURE_RETRY_AFTER);
        FinalResponse::Refused(outcome, refusal)
    }

    async fn may_retry(&mut self, outcome: RunOutcome) -> bool {
        let is_safe = match outcome {
            RunOutcome::NotRun => true,
            RunOutcome::Ran | RunOutcome::Unknown => !self.plan.is_at_most_once(),
        };
        let is_in_time = self.context.clock.now() < self.plan.deadline;
        if !is_safe || !is_in_time || !self.body.is_sendable() {
            return false;
        }
        let query = SpendRetry { service: self.plan.service.to_string() };
        self.context.steering.ask(query).await.unwrap_or(false)
    }

    async fn admit(&mut self, id: RequestId) -> AdmissionResult {
        let (reply_sender, result) = oneshot::channel();
        let request = SlotRequest {
            id,
            priority: self.plan.operation.priority,
            deadline: self.plan.deadline,
            region: self.region.clone(),
            excluded: self.excluded.clone(),
            avoided_domain: self.avoided_domain.clone(),
            is_suspect: false,
            may_probe: self.plan.may_probe(),
            may_forward: self.may_use_peer,
        };
        let service = self.plan.service.to_string();
        let digest = self.digest();
        let mut guard = WaitGuard {
            context: Arc::clone(self.context),
            service: Arc::clone(&self.plan.service),
            id,
            is_answered: false,
        };
        let message = AdmitRequest { service, request, digest, reply_sender };
        let leaving = RequestRefusal::retryable(RefusalReason::Leaving, FAILURE_RETRY_AFTER);
        if self.context.steering.tell(message).await.is_err() {
            return Err(leaving);
        }
        let result = result.await;
        guard.is_answered = true;
        result.unwrap_or(Err(leaving))
    }

    /// Digest that identifies repeats of a request. Covers service, method, path, query and body;
    /// a streaming body counts as empty.
    fn digest(&self) -> u64 {
        let mut text = Vec::with_capacity(256);
        text.extend_from_slice(self.plan.service.as_bytes());
        text.extend_from_slice(self.plan.method.as_str().as_bytes());
        text.extend_from_slice(self.plan.uri.to_string().as_bytes());
        text.extend_from_slice(self.body.bytes());
        stable_hash(&text)
    }

    async fn attempt_upstream(&mut self, id: RequestId, admission: Admission) -> AttemptResult {
        let guard = SlotGuard::new(self.context, &self.plan.service, id);
        let Admission { endpoint, domain, .. } = &admission;
        let (endpoint, domain) = (*endpoint, domain.clone());
        let Some(time_limit) = self.time_left(&admission) else {
            guard.finish(ExchangeResult::Cancelled);
            let reason = RefusalReason::DeadlinePassed;
            return AttemptResult::NotRun { endpoint, domain, reason };
        };
        let Some(body) = self.body.take() else {
            guard.finish(ExchangeResult::Cancelled);
            let reason = RefusalReason::UpstreamRefused;
            return AttemptResult::NotRun { endpoint, domain, reason };
        };
        if let Some(key) = self.key
            && !self.context.idempotency_keys.mark_sent(key)
        {
            guard.finish(ExchangeResult::Cancelled);
            let refusal = RequestRefusal::retryable(RefusalReason::KeyInUse, FAILURE_RETRY_AFTER);
            return AttemptResult::Final(FinalResponse::Refused(RunOutcome::Unknown, refusal));
        }
        let request = self.build_request(id, &admission, time_limit, body);
        match exchange(&self.context.pool, endpoint, request, time_limit).await {
            ExchangeOutcome::Unsent { request, error } => {
                log::debug!("event=upstream-unsent peer={endpoint} error={error:?}");
                self.body.restore(request.into_body());
                self.mark_refused();
                guard.finish(ExchangeResult::Failed);
                AttemptResult::NotRun { endpoint, domain, reason: RefusalReason::UpstreamLost }
            }
            ExchangeOutcome::Lost { is_closed, error } => {
                log::debug!("event=upstream-lost peer={endpoint} error={error:?}");
                if is_closed {
                    guard.finish_closed();
                } else {
                    guard.finish_aborted(ExchangeResult::Failed);
                }
                AttemptResult::Lost { endpoint, domain }
            }
            ExchangeOutcome::Answered(response) => {
                self.handle_response(*response, guard, endpoint, domain).await
            }
        }
    }

    /// Forwards the request to a peer with idle slots and interprets its response.
    async fn attempt_peer(&mut self, peer: &PeerIdentity) -> AttemptResult {
        if let Some(key) = self.key
            && !self.context.idempotency_keys.mark_sent(key)
        {
            let refusal = RequestRefusal::retryable(RefusalReason::KeyInUse, FAILURE_RETRY_AFTER);
            return AttemptResult::Final(FinalResponse::Refused(RunOutcome::Unknown, refusal));
        }
        let body = self.body.take_for_peer();
        match forward_to_peer(self.context, self.plan, body, PeerForwardReason::Slot, peer.address)
            .await
        {
            PeerForwardOutcome::Unsent(body) => {
                self.body = body;
                self.mark_refused();
                AttemptResult::PeerRefused
            }
            PeerForwardOutcome::Lost => {
                AttemptResult::Lost { endpoint: peer.address, domain: peer.domain.clone() }
            }
            PeerForwardOutcome::Answered(response) => {
                self.handle_peer_response(peer, response).await
            }
        }
    }

    async fn handle_peer_response(
        &mut self,
        peer: &PeerIdentity,
        mut response: Response<Body>,
    ) -> AttemptResult {
        self.apply_peer_counts(peer, &mut response).await;
        let outcome = response.headers().get(OUTCOME_HEADER).cloned();
        let outcome = outcome.as_ref().and_then(|value| value.to_str().ok());
        match outcome.and_then(|text| text.parse::<RunOutcome>().ok()) {
            Some(RunOutcome::NotRun) if self.body.is_sendable() => {
                self.mark_refused();
                AttemptResult::PeerRefused
            }
            Some(RunOutcome::NotRun) => {
                self.mark_refused();
                let refusal =
                    RequestRefusal::retryable(RefusalReason::Overloaded, FAILURE_RETRY_AFTER);
                AttemptResult::Final(FinalResponse::Refused(RunOutcome::NotRun, refusal))
            }
            Some(RunOutcome::Ran) => AttemptResult::Final(buffer_response(response).await),
            Some(RunOutcome::Unknown) | None => {
                AttemptResult::Lost { endpoint: peer.address, domain: peer.domain.clone() }
            }
        }
    }

    async fn apply_peer_counts(&mut self, peer: &PeerIdentity, response: &mut Response<Body>) {
        let value = response.headers_mut().remove(COUNTS_HEADER);
        let text = value.as_ref().and_then(|value| value.to_str().ok()).unwrap_or_default();
        if let Some(report) = parse_counts(&self.plan.service, text) {
            let counts = ReceiveCounts { peer: peer.incarnation, report };
            if self.context.steering.tell(counts).await.is_err() {
                log::debug!("event=counts-unsent");
            }
        }
    }

    /// Time left for the work, whose end was fixed when the slot was granted; none once less than
    /// 1 ms is left.
    fn time_left(&self, admission: &Admission) -> Option<Duration> {
        let until_deadline = self.plan.deadline.since(self.context.clock.now());
        let remaining_ms = admission.work_deadline_ms.checked_sub(self.context.clock.wall_ms())?;
        let time_limit = until_deadline.min(Duration::from_millis(remaining_ms));
        (time_limit >= Duration::from_millis(1)).then_some(time_limit)
    }

    fn build_request(
        &self,
        id: RequestId,
        admission: &Admission,
        time_limit: Duration,
        body: Body,
    ) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = self.plan.method.clone();
        *request.uri_mut() = self.plan.uri.clone();
        self.plan.headers.clone_into(request.headers_mut());
        let headers = request.headers_mut();
        headers.insert(DEADLINE_HEADER, HeaderValue::from(millis(time_limit)));
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

    async fn handle_response(
        &mut self,
        upstream: UpstreamResponse,
        guard: SlotGuard,
        endpoint: SocketAddr,
        domain: String,
    ) -> AttemptResult {
        let UpstreamResponse { response, connection } = upstream;
        if is_refusal(&response) {
            // The body is not read, so the connection cannot be reused.
            drop(connection);
            self.mark_refused();
            guard.finish(ExchangeResult::Shed);
            let reason = RefusalReason::UpstreamRefused;
            return AttemptResult::NotRun { endpoint, domain, reason };
        }
        let (mut head, incoming) = response.into_parts();
        strip_hop_by_hop_headers(&mut head.headers);
        // The id belongs to this exchange. A repeat that gets the stored response is another one.
        head.headers.remove(crate::connection::REQUEST_ID_HEADER);
        let size = http_body::Body::size_hint(&incoming).exact();
        let is_small =
            size.is_some_and(|size| size <= u64::try_from(MAX_BUFFERED_BYTES).unwrap_or(0));
        if !is_small {
            let body =
                SlotBody::new(incoming, Some(guard), connection, self.context, self.plan.deadline);
            set_outcome(&mut head.headers, RunOutcome::Ran);
            let response = Response::from_parts(head, Body::new(body));
            return AttemptResult::Final(FinalResponse::Streaming(response));
        }
        match self.read_body(incoming).await {
            Some(body) => {
                guard.finish(ExchangeResult::Answered);
                self.context.pool.checkin(connection);
                let stored = StoredResponse { status: head.status, headers: head.headers, body };
                AttemptResult::Final(FinalResponse::Buffered(Arc::new(stored)))
            }
            None => {
                guard.finish_aborted(ExchangeResult::Failed);
                AttemptResult::Lost { endpoint, domain }
            }
        }
    }

    /// Reads the whole body; none if it is incomplete, too large or not read by the deadline.
    async fn read_body(&mut self, incoming: Incoming) -> Option<Bytes> {
        let deadline = self.context.clock.instant(self.plan.deadline);
        let limited = Limited::new(incoming, MAX_BUFFERED_BYTES);
        match timeout_at(deadline, limited.collect()).await {
            Ok(Ok(collected)) => Some(collected.to_bytes()),
            Ok(Err(_)) | Err(_) => None,
        }
    }
}

/// Buffers the response of a peer if it is small enough to be stored for repeats.
async fn buffer_response(response: Response<Body>) -> FinalResponse {
    let is_small = http_body::Body::size_hint(response.body())
        .upper()
        .is_some_and(|size| size <= u64::try_from(MAX_BUFFERED_BYTES).unwrap_or(0));
    if !is_small {
        return FinalResponse::Streaming(response);
    }
    let (head, body) = response.into_parts();
    match body.collect().await {
        Ok(collected) => {
            let body = collected.to_bytes();
            let stored = StoredResponse { status: head.status, headers: head.headers, body };
            FinalResponse::Buffered(Arc::new(stored))
        }
        Err(_) => {
            let refusal =
                RequestRefusal::retryable(RefusalReason::UpstreamLost, FAILURE_RETRY_AFTER);
            FinalResponse::Refused(RunOutcome::Unknown, refusal)
        }
    }
}

/// Whether the upstream reports that it did not run the request.
fn is_refusal(response: &Response<Incoming>) -> bool {
    response.status() == axum::http::StatusCode::SERVICE_UNAVAILABLE
        && response.headers().get(OUTCOME_HEADER).is_some_and(|value| value == "not-run")
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
