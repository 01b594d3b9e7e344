//! HTTP router of the address that callers use.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::body::Body;
use axum::extract::{ConnectInfo, State};
use axum::http::header::{CONNECTION, TRANSFER_ENCODING};
use axum::http::{HeaderValue, Request, Response};
use axum::routing::{get, post};
use jackdawmux_policy::outcome::{RequestRefusal, RunOutcome};

use super::at_most_once::{AtMostOnceRequest, run_at_most_once};
use super::body::RequestBody;
use super::counts::{COUNTS_HEADER, format_counts};
use super::forward::forward;
use super::lookup::is_own_instance_usable;
use super::peer_forward::{PeerForwardReason, peer_forward_reason};
use super::plan::RequestPlan;
use super::refusal::{OUTCOME_HEADER, refusal_response};
use super::{admin, lookup};
use crate::process::{EntryContext, GetServiceReport};

/// Builds the router of one instance.
pub(crate) fn build_router(context: Arc<EntryContext>) -> Router {
    Router::new()
        .route("/v1/entries", get(lookup::list_entries))
        .route("/v1/tickets", post(lookup::issue_tickets))
        .route("/v1/status", get(admin::read_status))
        .route("/v1/events", get(admin::read_events))
        .route("/v1/config", get(admin::read_config))
        .route("/metrics", get(admin::read_metrics))
        .fallback(serve_request)
        .with_state(context)
}

/// `ANY /SERVICE/PATH`: routes the request to the service and records its outcome and latency.
async fn serve_request(
    State(context): State<Arc<EntryContext>>,
    ConnectInfo(caller): ConnectInfo<SocketAddr>,
    request: Request<Body>,
) -> Response<Body> {
    let started = context.clock.now();
    let service = request.uri().path().split('/').nth(1).unwrap_or_default().to_owned();
    let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let mut response = match handle_request(&context, caller, request).await {
        Ok(response) => response,
        Err(refusal) => refusal_response(RunOutcome::NotRun, refusal),
    };
    let is_configured = context
        .active_config
        .borrow()
        .as_ref()
        .is_some_and(|config| config.table.service(&service).is_some());
    let label = if is_configured { service.as_str() } else { "none" };
    let outcome = response.headers().get(OUTCOME_HEADER).and_then(|value| value.to_str().ok());
    let latency = context.clock.now().since(started);
    context.metrics.count_request(label, outcome.unwrap_or("unknown"), latency);
    // A leaving instance closes caller connections, so that callers send further requests to other
    // instances. After a chunked request the connection is closed too: a sender that disagrees on
    // the length of the request could otherwise have the rest read as a second request.
    if is_chunked || !is_own_instance_usable(&context) {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn handle_request(
    context: &Arc<EntryContext>,
    caller: SocketAddr,
    request: Request<Body>,
) -> Result<Response<Body>, RequestRefusal> {
    let (parts, body) = request.into_parts();
    let target = parts.uri.path_and_query().map(ToString::to_string).unwrap_or_default();
    let forward_reason = peer_forward_reason(&context.keys, &parts.headers, &target);
    let key = parts.headers.get("idempotency-key").cloned();
    let plan = RequestPlan::from_head(context, parts, caller)?;
    let body = RequestBody::read(body, context.settings.max_body_bytes).await?;
    if forward_reason == Some(PeerForwardReason::Slot) {
        let mut response = forward(context, &plan, body, None, false).await.into_response();
        attach_counts(context, &plan, &mut response).await;
        return Ok(response);
    }
    if !plan.is_at_most_once() {
        return Ok(forward(context, &plan, body, None, true).await.into_response());
    }
    let is_peer_forward = forward_reason == Some(PeerForwardReason::Home);
    let key = key.and_then(|value| value.to_str().map(str::to_owned).ok()).unwrap_or_default();
    Ok(run_at_most_once(context, AtMostOnceRequest { plan, body, key, is_peer_forward }).await)
}

/// Adds the load counts of this instance for the peer that forwarded the request.
async fn attach_counts(context: &EntryContext, plan: &RequestPlan, response: &mut Response<Body>) {
    let query = GetServiceReport { service: plan.service.to_string() };
    let report = context.steering.ask(query).await.ok().flatten();
    let value = report.and_then(|report| HeaderValue::from_str(&format_counts(&report)).ok());
    if let Some(value) = value {
        response.headers_mut().insert(COUNTS_HEADER, value);
    }
}
