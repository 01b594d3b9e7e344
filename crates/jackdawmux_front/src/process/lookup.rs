//! Handlers of lookups, readiness checks and metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::extract::{RawQuery, State};
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use jackdawmux_policy::fleet::placement::{LOOKUP_TTL, select_instances};

use super::state::{FrontPhase, FrontState};

/// Router of the address for lookups.
pub(crate) fn lookup_router(state: Arc<FrontState>) -> Router {
    Router::new().route(state.dialect.lookup_path(), get(handle_lookup)).with_state(state)
}

/// Router of the address for readiness checks.
pub(crate) fn ready_router(state: Arc<FrontState>) -> Router {
    Router::new().route(state.dialect.ready_path(), get(handle_readiness)).with_state(state)
}

/// Router of the address for metrics.
pub(crate) fn metrics_router(state: Arc<FrontState>) -> Router {
    Router::new().route("/metrics", get(handle_metrics)).with_state(state)
}

async fn handle_lookup(
    State(state): State<Arc<FrontState>>,
    RawQuery(query): RawQuery,
) -> Response {
    let lookup = state.dialect.read_lookup(query.as_deref().unwrap_or_default());
    let now = state.clock.now();
    let ttl = LOOKUP_TTL.min(state.steering().bounds().max_lookup_ttl);
    let spread = state.lookup_spread(&lookup.region);
    let addresses: Vec<SocketAddr> = {
        let directory = state.directory();
        let live = directory.live(now);
        let selected = select_instances(&live, &lookup.region, rand::random(), spread);
        selected.iter().map(|instance| instance.record.address).collect()
    };
    if addresses.is_empty() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let body = state.dialect.lookup_response(&addresses, ttl);
    ([(CONTENT_TYPE, "application/json")], body).into_response()
}

async fn handle_readiness(State(state): State<Arc<FrontState>>) -> StatusCode {
    match state.phase() {
        FrontPhase::Serving => StatusCode::OK,
        FrontPhase::Starting | FrontPhase::Leaving => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn handle_metrics(State(state): State<Arc<FrontState>>) -> String {
    state.metrics.render()
}
