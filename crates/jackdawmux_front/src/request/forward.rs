//! Carries a request to endpoints until it has a final answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use axum::body::Body;
use axum::http::header::CONTENT_LENGTH;
use axum::http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use jackdawmux_policy::fleet::choice::{EndpointChoice, EndpointKey, EndpointQuery};
use jackdawmux_policy::fleet::outlier::AttemptOutcome;
use jackdawmux_policy::identity::stable_hash;
use jackdawmux_runtime::strip_hop_headers;
use smallvec::SmallVec;

use super::answer::FrontRefusal;
use super::audit::RequestAudit;
use super::body::{AnswerBody, RequestBody, StreamedAnswer, read_answer};
use super::guard::SendGuard;
use super::plan::RequestPlan;
use crate::dialect::ResponseHeaders;
use crate::process::FrontState;
use crate::upstream::{Exchange, ExchangeEnd, PooledConnection, exchange};

/// Connections that one request may fail to open; an endpoint that cannot be reached has got
/// nothing, so it does not count as an attempt.
const UNREACHABLE_LIMIT: usize = 3;
/// Pause suggested after a full endpoint refused and no other may be asked.
const SHED_PAUSE: Duration = Duration::from_millis(120);
/// The same after an endpoint refused that has slots to spare.
const SHED_IDLE_PAUSE: Duration = Duration::from_millis(5);
/// Bytes of a body that take part in a request's digest.
const DIGEST_BYTES: usize = 4 * 1024;
/// Least time left for which another send makes sense.
const RESEND_SHORTEST: Duration = Duration::from_millis(40);

/// Whether a byte of a request may have reached an endpoint that did not say it was not run.
#[derive(Debug, Default)]
pub(crate) struct SentMark(AtomicBool);

impl SentMark {
    /// Whether an endpoint may be at work, or may have been.
    pub(crate) fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, is_sent: bool) {
        self.0.store(is_sent, Ordering::Relaxed);
    }
}

/// What one send taught.
enum SendEnd {
    /// The final answer.
    Final(Response<Body>),
    /// A whole answer that is the endpoint's failure; another endpoint may do better.
    Failed(Response<Body>),
    /// Nothing reached the endpoint.
    Unreachable,
    /// The endpoint said that it did not run the request.
    NotRun,
    /// It may have run.
    Lost,
}

/// One request on its way.
pub(crate) struct ForwardTask<'task> {
    state: &'task Arc<FrontState>,
    plan: &'task RequestPlan,
    body: RequestBody,
    audit: &'task mut RequestAudit,
    sent: &'task SentMark,
    tried: SmallVec<[EndpointKey; 4]>,
    /// Sends that reached an endpoint.
    reached: u32,
}

impl<'task> ForwardTask<'task> {
    pub(crate) fn new(
        state: &'task Arc<FrontState>,
        plan: &'task RequestPlan,
        body: RequestBody,
        audit: &'task mut RequestAudit,
        sent: &'task SentMark,
    ) -> Self {
        Self { state, plan, body, audit, sent, tried: SmallVec::new(), reached: 0 }
    }

    /// Sends until an answer is final or nothing more may be tried.
    pub(crate) async fn run(&mut self) -> Result<Response<Body>, FrontRefusal> {
        if self.is_poisonous() {
            return Err(FrontRefusal::Poisonous);
        }
        let mut has_run = false;
        let mut failure = None;
        let mut unreachable = 0;
        let mut refusal = FrontRefusal::Shed(SHED_PAUSE);
        loop {
            let choice = match self.choose() {
                Ok(choice) => choice,
                Err(chosen) if self.audit.send_count() == 0 => return Err(chosen),
                Err(_) => break,
            };
            if self.audit.send_count() > 0 {
                self.state.metrics.count_retry(&self.plan.service);
            }
            self.tried.push(choice.key);
            self.audit.note_send(&choice);
            match self.send(&choice).await {
                SendEnd::Final(response) => {
                    self.acquit();
                    return Ok(response);
                }
                SendEnd::Failed(response) => {
                    has_run = true;
                    failure = Some(response);
                }
                SendEnd::Lost => {
                    has_run = true;
                    self.suspect(choice.key);
                }
                SendEnd::NotRun => refusal = self.shed_refusal(&choice),
                SendEnd::Unreachable => {
                    refusal = FrontRefusal::Unreachable;
                    unreachable += 1;
                }
            }
            self.sent.set(has_run);
            let may_resend = (!has_run || !self.plan.is_once())
                && self.reached < self.plan.route.max_attempts
                && unreachable < UNREACHABLE_LIMIT
                && self.body.is_sendable()
                && self.time_left() >= RESEND_SHORTEST;
            if !may_resend {
                break;
            }
        }
        match failure {
            Some(response) => Ok(response),
            None if has_run => Err(FrontRefusal::UpstreamLost),
            None => Err(refusal),
        }
    }

    /// By what a repeated request is recognised.
    fn digest(&self) -> u64 {
        let body = self.body.held().get(..DIGEST_BYTES).unwrap_or(self.body.held());
        let mut text = Vec::with_capacity(256 + body.len());
        text.extend_from_slice(self.plan.method.as_str().as_bytes());
        text.extend_from_slice(self.plan.uri.to_string().as_bytes());
        text.extend_from_slice(self.plan.object_text().as_bytes());
        text.extend_from_slice(&self.body.held().len().to_be_bytes());
        text.extend_from_slice(body);
        stable_hash(&text)
    }

    fn is_poisonous(&self) -> bool {
        let now = self.state.clock.now();
        let steering = self.state.steering();
        !steering.crashes().is_empty() && steering.crashes().is_blocked(now, self.digest())
    }

    fn acquit(&self) {
        let mut steering = self.state.steering();
        if !steering.crashes().is_empty() {
            steering.crashes_mut().clear(self.digest());
        }
    }

    fn suspect(&self, endpoint: EndpointKey) {
        let now = self.state.clock.now();
        let digest = self.digest();
        self.state.steering().crashes_mut().record_lost(now, digest, endpoint);
    }

    /// An endpoint that sheds with slots to spare does so at random; coming back at once helps.
    fn shed_refusal(&self, choice: &EndpointChoice) -> FrontRefusal {
        let now = self.state.clock.now();
        let load = self.state.steering().load(now, &self.plan.service, choice.key);
        let is_idle = load.is_some_and(|load| load < 1.0);
        FrontRefusal::Shed(if is_idle { SHED_IDLE_PAUSE } else { SHED_PAUSE })
    }

    fn time_left(&self) -> Duration {
        self.plan.deadline.since(self.state.clock.now())
    }

    fn choose(&self) -> Result<EndpointChoice, FrontRefusal> {
        let ask = EndpointQuery {
            service: &self.plan.service,
            route: &self.plan.route,
            object: self.plan.object,
            attempted: &self.tried,
            is_retry: self.reached > 0,
        };
        let now = self.state.clock.now();
        self.state.steering().choose(now, &ask).map_err(FrontRefusal::NotChosen)
    }

    async fn send(&mut self, choice: &EndpointChoice) -> SendEnd {
        let mut guard = SendGuard::new(self.state, &self.plan.service, choice, self.plan.deadline);
        let Some(body) = self.body.for_send() else {
            return SendEnd::Unreachable;
        };
        let request = self.build(choice, body);
        let target = Exchange {
            pool: &self.state.pool,
            endpoint: choice.key,
            address: choice.address,
            is_once: self.plan.is_once(),
            time_left: self.time_left(),
        };
        match exchange(target, request, || self.sent.set(true)).await {
            ExchangeEnd::Unreachable { is_silent, error } => {
                log::debug!("event=upstream-unreachable peer={} error={error:?}", choice.address);
                self.audit.note_end(if is_silent { "connect-timeout" } else { "refused" });
                self.state.pool.close_idle(choice.key);
                guard.finish(if is_silent {
                    AttemptOutcome::Silent
                } else {
                    AttemptOutcome::Unreachable
                });
                SendEnd::Unreachable
            }
            ExchangeEnd::Lost { error } => {
                log::debug!("event=upstream-lost peer={} error={error:?}", choice.address);
                self.reached += 1;
                if is_silence(&error) {
                    self.audit.note_end("silent");
                    guard.finish(AttemptOutcome::Silent);
                } else {
                    self.audit.note_end("lost");
                    guard.finish_lost();
                }
                SendEnd::Lost
            }
            ExchangeEnd::Answered(response, connection) => {
                self.reached += 1;
                let marks = self.state.dialect.read_response(response.status(), response.headers());
                guard.note_load(marks.load);
                self.judge(*response, connection, &marks, guard).await
            }
        }
    }

    fn build(&self, choice: &EndpointChoice, body: Body) -> Request<Body> {
        let mut request = Request::new(body);
        *request.method_mut() = self.plan.method.clone();
        *request.uri_mut() = self.plan.uri.clone();
        self.plan.headers.clone_into(request.headers_mut());
        self.state.dialect.write_attempt_headers(
            request.headers_mut(),
            self.time_left(),
            &choice.id,
        );
        request
    }

    /// Decides what an answer means. One that belongs to another request, is unsigned or encoded
    /// is no answer, and its connection is not used again.
    async fn judge(
        &mut self,
        response: Response<Incoming>,
        connection: PooledConnection,
        marks: &ResponseHeaders,
        guard: SendGuard,
    ) -> SendEnd {
        let is_foreign = marks.attempt != self.plan.attempt;
        if is_foreign && (marks.attempt.is_some() || response.status().is_success()) {
            self.audit.note_end("foreign-answer");
            guard.finish(AttemptOutcome::Failed);
            return SendEnd::Lost;
        }
        if marks.is_misdirected {
            self.audit.note_end("misdirected");
            guard.finish(AttemptOutcome::Misdirected);
            return SendEnd::NotRun;
        }
        if marks.is_not_run {
            self.audit.note_end("shed");
            guard.finish(AttemptOutcome::Shed);
            return SendEnd::NotRun;
        }
        if marks.is_encoded || (response.status().is_success() && !marks.is_signed) {
            self.audit.note_end("unsigned-answer");
            guard.finish(AttemptOutcome::Failed);
            return SendEnd::Lost;
        }
        self.read(response, connection, guard).await
    }

    async fn read(
        &mut self,
        response: Response<Incoming>,
        connection: PooledConnection,
        guard: SendGuard,
    ) -> SendEnd {
        let (mut head, mut incoming) = response.into_parts();
        strip_hop_headers(&mut head.headers);
        // Set anew from the body that is sent.
        head.headers.remove(CONTENT_LENGTH);
        let is_failure = is_endpoint_failure(head.status);
        match read_answer(&mut incoming).await {
            Ok(AnswerBody::Whole(bytes)) => {
                let response = Response::from_parts(head, Body::from(bytes));
                if !is_failure {
                    self.audit.note_end("answered");
                    guard.finish_answered(connection);
                    return SendEnd::Final(response);
                }
                self.audit.note_end("failed");
                self.state.pool.give_back(connection);
                guard.finish(AttemptOutcome::Failed);
                SendEnd::Failed(response)
            }
            Ok(AnswerBody::Partial(prefix)) => {
                self.audit.note_end("streaming");
                let left = self.time_left();
                let body = StreamedAnswer::new(prefix, incoming, guard, connection, left);
                SendEnd::Final(Response::from_parts(head, Body::new(body)))
            }
            Err(error) => {
                log::debug!("event=answer-broken error={error:?}");
                self.audit.note_end("broken-answer");
                guard.finish_lost();
                SendEnd::Lost
            }
        }
    }
}

/// Whether a status tells of a fault of the endpoint rather than of the request.
fn is_endpoint_failure(status: StatusCode) -> bool {
    status.is_server_error()
}

/// Whether a connection ended because nothing at the other end acknowledged what was sent.
fn is_silence(error: &hyper::Error) -> bool {
    std::error::Error::source(error)
        .and_then(|source| source.downcast_ref::<std::io::Error>())
        .is_some_and(|error| error.kind() == std::io::ErrorKind::TimedOut)
}
