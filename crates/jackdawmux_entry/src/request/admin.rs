//! What operators and scrapers read from an instance.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Json;
use axum::body::Body;
use axum::extract::State;
use axum::http::{Response, StatusCode};
use axum::response::IntoResponse;
use serde::{Deserialize, Serialize};

use crate::process::{EntryContext, SteeringStatus, TimelineEvent};

/// Report of one instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub instance: String,
    /// The running process.
    pub incarnation: String,
    /// Address for callers.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Version in force; zero when none is.
    pub config_version: u64,
    /// Digest of the rules in force.
    pub config_digest: String,
    /// Time for which they have been in force, in milliseconds.
    pub config_age_ms: u64,
    /// Steering state.
    pub steering: Option<SteeringStatus>,
}

/// `GET /v1/status`
pub(crate) async fn read_status(State(context): State<Arc<EntryContext>>) -> Json<InstanceStatus> {
    let steering = context.steering.ask(crate::process::GetStatus).await.ok().flatten();
    let force = context.active_config.borrow().clone();
    let now = context.clock.wall_ms();
    Json(InstanceStatus {
        instance: context.settings.instance.clone(),
        incarnation: context.incarnation.to_string(),
        address: context.address,
        failure_domain: context.settings.failure_domain.clone(),
        config_version: force.as_ref().map_or(0, |force| force.content.version),
        config_digest: force.as_ref().map(|f| f.content.digest.clone()).unwrap_or_default(),
        config_age_ms: force.as_ref().map_or(0, |force| now.saturating_sub(force.active_since_ms)),
        steering,
    })
}

/// `GET /v1/events`
pub(crate) async fn read_events(
    State(context): State<Arc<EntryContext>>,
) -> Json<Vec<TimelineEvent>> {
    Json(context.events.events())
}

/// `GET /v1/config`: the rules in force.
pub(crate) async fn read_config(State(context): State<Arc<EntryContext>>) -> Response<Body> {
    let force = context.active_config.borrow().clone();
    match force {
        Some(force) => {
            let version = [("jackdaw-config-version", force.content.version.to_string())];
            (version, force.content.rules.clone()).into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

/// `GET /metrics`
pub(crate) async fn read_metrics(State(context): State<Arc<EntryContext>>) -> String {
    context.metrics.render()
}
