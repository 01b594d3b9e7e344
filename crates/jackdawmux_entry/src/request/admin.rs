//! Endpoints for operators and metric scrapers: status, events, configuration and metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Json;
use axum::body::Body;
use axum::extract::State;
use axum::http::{Response, StatusCode};
use axum::response::IntoResponse;
use serde::{Deserialize, Serialize};

use crate::process::{EntryContext, SteeringStatus, TimelineEvent};

/// Status report of one instance, as returned by `GET /v1/status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub instance: String,
    /// Incarnation identifier of the running process.
    pub incarnation: String,
    /// Address that callers use.
    pub address: SocketAddr,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Version of the active configuration; zero when none is active.
    pub config_version: u64,
    /// Digest of the active rules; empty when none are active.
    pub config_digest: String,
    /// Time since the configuration was activated, in milliseconds.
    pub config_age_ms: u64,
    /// Steering state; none when the steering actor does not reply.
    pub steering: Option<SteeringStatus>,
}

/// `GET /v1/status`
pub(crate) async fn read_status(State(context): State<Arc<EntryContext>>) -> Json<InstanceStatus> {
    let steering = context.steering.ask(crate::process::GetStatus).await.ok().flatten();
    let config = context.active_config.borrow().clone();
    let now = context.clock.wall_ms();
    Json(InstanceStatus {
        instance: context.settings.instance.clone(),
        incarnation: context.incarnation.to_string(),
        address: context.address,
        failure_domain: context.settings.failure_domain.clone(),
        config_version: config.as_ref().map_or(0, |config| config.content.version),
        config_digest: config
            .as_ref()
            .map(|config| config.content.digest.clone())
            .unwrap_or_default(),
        config_age_ms: config
            .as_ref()
            .map_or(0, |config| now.saturating_sub(config.active_since_ms)),
        steering,
    })
}

/// `GET /v1/events`
pub(crate) async fn read_events(
    State(context): State<Arc<EntryContext>>,
) -> Json<Vec<TimelineEvent>> {
    Json(context.events.events())
}

/// `GET /v1/config`: returns the active rules with their version in a header.
pub(crate) async fn read_config(State(context): State<Arc<EntryContext>>) -> Response<Body> {
    let config = context.active_config.borrow().clone();
    match config {
        Some(config) => {
            let version = [("jackdaw-config-version", config.content.version.to_string())];
            (version, config.content.rules.clone()).into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

/// `GET /metrics`
pub(crate) async fn read_metrics(State(context): State<Arc<EntryContext>>) -> String {
    context.metrics.render()
}
