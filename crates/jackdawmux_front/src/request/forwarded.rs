//! Serves requests that another instance forwards, because it reaches no endpoint.

use std::sync::Arc;

use axum::body::Body;
use axum::extract::State;
use axum::http::{Request, Response, StatusCode, Uri};
use axum::response::IntoResponse;
use tokio::sync::OwnedSemaphorePermit;

use super::access_log::write_denial;
use super::hop::{FORWARD_PREFIX, HopRecord, mark_declined};
use super::plan::RequestPlan;
use super::refusal::FrontRefusal;
use super::serve::{finish_response, serve_plan};
use crate::process::{FrontPhase, FrontState};

/// Handler of all requests on the address for other instances that are not reads.
pub(crate) async fn serve_forwarded(
    State(state): State<Arc<FrontState>>,
    request: Request<Body>,
) -> Response<Body> {
    let (mut parts, body) = request.into_parts();
    let hop = HopRecord::take(&mut parts.headers);
    let (Some(hop), Some(uri)) = (hop, strip_prefix(&parts.uri)) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    parts.uri = uri;
    let mut response = match accept(&state, &hop) {
        Ok(_permit) => match RequestPlan::resolve(&state, parts) {
            Ok(plan) => serve_plan(&state, &plan.forwarded(hop), body).await,
            Err(denial) => {
                write_denial(&state, &denial, Some(&hop));
                let mut response = denial.refusal.response();
                if denial.refusal.is_declinable() {
                    mark_declined(response.headers_mut(), "permission-unknown");
                }
                response
            }
        },
        Err(reason) => decline(reason),
    };
    finish_response(&state, &mut response);
    response
}

/// The request's own path and query.
fn strip_prefix(uri: &Uri) -> Option<Uri> {
    uri.path_and_query()?.as_str().strip_prefix(FORWARD_PREFIX)?.parse().ok()
}

/// Whether this instance takes a forwarded request. The number of those in progress is limited, so
/// that its own callers are still served.
fn accept(state: &FrontState, hop: &HopRecord) -> Result<OwnedSemaphorePermit, &'static str> {
    if state.phase() != FrontPhase::Serving {
        return Err("not-serving");
    }
    if state.steering().reachability().is_isolated() {
        return Err("isolated");
    }
    if state.config_version() < hop.config_version {
        return Err("older-config");
    }
    Arc::clone(&state.forwarded).try_acquire_owned().map_err(|_full| "busy")
}

fn decline(reason: &'static str) -> Response<Body> {
    let mut response = FrontRefusal::Unreachable.response();
    mark_declined(response.headers_mut(), reason);
    response
}
