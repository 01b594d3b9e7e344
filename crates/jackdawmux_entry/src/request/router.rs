//! Routes of the address for callers.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::body::Body;
use axum::extract::{ConnectInfo, State};
use axum::http::header::{CONNECTION, TRANSFER_ENCODING};
use axum::http::{HeaderValue, Request, Response};
use axum::routing::{get, post};
use jackdawmux_policy::outcome::{RequestRefusal, RunOutcome};

use super::body::RequestBody;
use super::counts::{COUNTS_HEADER, counts_text};
use super::forward::forward;
use super::lookup::is_usable_here;
use super::once::{OnceRequest, run_once};
use super::pass_on::{PassReason, passed_reason};
use super::plan::RequestPlan;
use super::refusal::{OUTCOME_HEADER, refusal_response};
use super::{admin, lookup};
use crate::process::{EntryContext, GetServiceReport};

/// Builds the router of one instance.
pub(crate) fn build_router(context: Arc<EntryContext>) -> Router {
    Router::new()
        .route("/v1/entries", get(lookup::name_entries))
        .route("/v1/tickets", post(lookup::give_tickets))
        .route("/v1/status", get(admin::read_status))
        .route("/v1/events", get(admin::read_events))
        .route("/v1/config", get(admin::read_config))
        .route("/metrics", get(admin::read_metrics))
        .fallback(serve_request)
        .with_state(context)
}

/// `ANY /SERVICE/PATH`
async fn serve_request(
    State(context): State<Arc<EntryContext>>,
    ConnectInfo(caller): ConnectInfo<SocketAddr>,
    request: Request<Body>,
) -> Response<Body> {
    let begun = context.clock.now();
    let service = request.uri().path().split('/').nth(1).unwrap_or_default().to_owned();
    let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let mut response = match answer(&context, caller, request).await {
        Ok(response) => response,
        Err(refusal) => refusal_response(RunOutcome::NotRun, refusal),
    };
    let is_known = context
        .active_config
        .borrow()
        .as_ref()
        .is_some_and(|force| force.table.service(&service).is_some());
    let label = if is_known { service.as_str() } else { "none" };
    let outcome = response.headers().get(OUTCOME_HEADER).and_then(|value| value.to_str().ok());
    let latency = context.clock.now().since(begun);
    context.metrics.count_request(label, outcome.unwrap_or("unknown"), latency);
    // A leaving instance asks its callers to open no further request on this connection. After a
    // chunked request, a sender with another idea of its length must not go on either.
    if is_chunked || !is_usable_here(&context) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn answer(
    context: &Arc<EntryContext>,
    caller: SocketAddr,
    request: Request<Body>,
) -> Result<Response<Body>, RequestRefusal> {
    let (parts, body) = request.into_parts();
    let target = parts.uri.path_and_query().map(ToString::to_string).unwrap_or_default();
    let passed = passed_reason(&context.keys, &parts.headers, &target);
    let key = parts.headers.get("idempotency-key").cloned();
    let plan = RequestPlan::open(context, parts, caller)?;
    let body = RequestBody::open(body, context.settings.max_body_bytes).await?;
    if passed == Some(PassReason::Slot) {
        let mut response = forward(context, &plan, body, None, false).await.into_response();
        attach_counts(context, &plan, &mut response).await;
        return Ok(response);
    }
    if !plan.is_once() {
        return Ok(forward(context, &plan, body, None, true).await.into_response());
    }
    let is_passed_on = passed == Some(PassReason::Home);
    let key = key.and_then(|value| value.to_str().map(str::to_owned).ok()).unwrap_or_default();
    Ok(run_once(context, OnceRequest { plan, body, key, is_passed_on }).await)
}

/// Tells the instance that passed a request on how busy this one is now.
async fn attach_counts(context: &EntryContext, plan: &RequestPlan, response: &mut Response<Body>) {
    let ask = GetServiceReport { service: plan.service.to_string() };
    let report = context.steering.ask(ask).await.ok().flatten();
    let value = report.and_then(|report| HeaderValue::from_str(&counts_text(&report)).ok());
    if let Some(value) = value {
        response.headers_mut().insert(COUNTS_HEADER, value);
    }
}
