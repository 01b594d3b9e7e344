//! Serves callers' requests, from the head of a request to its final response.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::http::header::{CONNECTION, HOST};
use axum::http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use jackdawmux_policy::fleet::record::RepeatRule;
use jackdawmux_runtime::ReadAheadFilter;
use tokio::time::timeout_at;

use super::access_log::{AccessLogEntry, write_denial};
use super::body::RequestBody;
use super::forward::{ForwardTask, SendProgress};
use super::hop::{mark_declined, mark_delivered};
use super::plan::RequestPlan;
use super::refusal::FrontRefusal;
use crate::process::{FrontPhase, FrontState};

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// How much longer a connection is kept open than the `Keep-Alive` header states, in seconds, so
/// that a request that is already being sent does not find it closed.
const KEEP_ALIVE_MARGIN_SECONDS: u64 = 2;

/// Value of the `Keep-Alive` header: for how many seconds callers may reuse an idle connection.
fn format_keep_alive(idle: Duration) -> HeaderValue {
    let seconds = idle.as_secs().saturating_sub(KEEP_ALIVE_MARGIN_SECONDS).max(1);
    HeaderValue::from_str(&format!("timeout={seconds}"))
        .unwrap_or_else(|_never| HeaderValue::from_static("timeout=1"))
}

/// Router of the address for callers.
pub(crate) fn front_router(state: Arc<FrontState>) -> Router {
    Router::new().fallback(serve_request).with_state(state)
}

/// Requests that may be started before the ones in front of them on their connection have been
/// answered: repeatable ones, while this instance takes new requests.
pub(crate) fn read_ahead_filter(state: Arc<FrontState>) -> ReadAheadFilter {
    Arc::new(move |parts| {
        let table = state.steering().table().cloned();
        let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
        let route = table.as_ref().and_then(|table| table.find(host, parts.uri.path()));
        state.phase() == FrontPhase::Serving
            && route.is_some_and(|route| route.repeat == RepeatRule::Idempotent)
    })
}

async fn serve_request(
    State(state): State<Arc<FrontState>>,
    request: Request<Body>,
) -> Response<Body> {
    state.count_caller_request();
    let (parts, body) = request.into_parts();
    let mut response = match RequestPlan::resolve(&state, parts) {
        Ok(plan) => serve_plan(&state, &plan, body).await,
        Err(denial) => {
            write_denial(&state, &denial, None);
            denial.refusal.response()
        }
    };
    finish_response(&state, &mut response);
    response
}

/// States in a response whether and for how long its connection may be used again.
pub(super) fn finish_response(state: &FrontState, response: &mut Response<Body>) {
    let headers = response.headers_mut();
    if state.phase() == FrontPhase::Leaving {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    } else {
        let idle = state.limits.borrow().idle_timeout;
        headers.insert(KEEP_ALIVE, format_keep_alive(idle));
    }
}

pub(super) async fn serve_plan(
    state: &Arc<FrontState>,
    plan: &RequestPlan,
    body: Body,
) -> Response<Body> {
    let mut log_entry = AccessLogEntry::default();
    let progress = SendProgress::default();
    let deadline = state.clock.instant(plan.deadline);
    let ended = |if_sent, if_unsent| Err(if progress.is_sent() { if_sent } else { if_unsent });
    let result = tokio::select! {
        served = timeout_at(deadline, forward(state, plan, body, &mut log_entry, &progress)) => {
            served.unwrap_or_else(|_elapsed| {
                ended(FrontRefusal::DeadlinePassed, FrontRefusal::DeadlineUnsent)
            })
        }
        () = state.last_answers_due() => ended(FrontRefusal::Stopped, FrontRefusal::Stopping),
    };
    match result {
        Ok(response) => {
            log_entry.write(state, plan, response.status(), "upstream");
            response
        }
        Err(refusal) => {
            log_entry.write(state, plan, refusal.status(), &refusal.to_string());
            if plan.hop.is_none() && refusal.status() == StatusCode::SERVICE_UNAVAILABLE {
                state.metrics.count_refusal(&plan.service, &refusal.kind(), plan.priority());
            }
            let mut response = refusal.response();
            if plan.hop.is_some() {
                mark_delivered(response.headers_mut(), progress.delivered());
                if refusal.is_declinable() {
                    mark_declined(response.headers_mut(), "no-longer-able");
                }
            }
            response
        }
    }
}

async fn forward(
    state: &Arc<FrontState>,
    plan: &RequestPlan,
    body: Body,
    log_entry: &mut AccessLogEntry,
    progress: &SendProgress,
) -> Result<Response<Body>, FrontRefusal> {
    let limit = plan.table.limits().max_body_bytes;
    if !state.may_start(plan.deadline, RequestBody::expected_arrival(&body)) {
        return Err(FrontRefusal::Stopping);
    }
    let body = RequestBody::read(body, limit, &state.held_requests).await?;
    ForwardTask::new(state, plan, body, log_entry, progress).run().await
}
