//! Stand-in for one upstream endpoint, with slots, service times and faults.
//!
//! It counts the requests that it runs, in total and by idempotency key, so that a test can check
//! that no key ran twice and that the slots were never exceeded.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use http_body_util::BodyExt;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::serve::{ConnectionCloser, ServerHandle};

/// Header of a request that crashes the endpoint that runs it.
pub const CRASH_HEADER: &str = "standin-crash";
/// Factor on the service time of the first requests after a start.
const COLD_START_FACTOR: f64 = 3.0;

/// Behaviour of the endpoint, including the faults that it injects.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct UpstreamSettings {
    /// Number of requests that the endpoint can run at once.
    pub slots: u32,
    /// Mean service time, in milliseconds.
    pub service_ms: f64,
    /// Whether service times are log-normal; otherwise each equals the mean.
    pub is_varied: bool,
    /// Number of requests after the start that run slower.
    pub cold_requests: u64,
    /// Refuse every request without running it.
    pub is_draining: bool,
    /// Refuse requests that arrive while all slots are in use; otherwise run them.
    pub sheds: bool,
    /// Load reported instead of the actual one, in percent.
    pub lying_load: Option<u32>,
    /// Health reported instead of the actual one.
    pub lying_health: Option<bool>,
    /// Accept requests and never answer.
    pub is_stuck: bool,
    /// Run requests but close the connection halfway through the response body.
    pub cuts_answers: bool,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            slots: 6,
            service_ms: 10.0,
            is_varied: false,
            cold_requests: 0,
            is_draining: false,
            sheds: true,
            lying_load: None,
            lying_health: None,
            is_stuck: false,
            cuts_answers: false,
        }
    }
}

/// Counts of requests since the start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct UpstreamCounts {
    /// Requests that started to run.
    pub begun: u64,
    /// Requests that ran to the end and were answered.
    pub answered: u64,
    /// Requests that started but did not run to the end: the sender disconnected, the body was
    /// incomplete, the remaining time was too short, or the endpoint crashed.
    pub cancelled: u64,
    /// Requests refused because the endpoint was full or draining.
    pub shed: u64,
    /// Requests refused because they arrived after their absolute deadline.
    pub late: u64,
    /// Maximum number of requests that ran at once.
    pub peak: u32,
    /// Requests running now.
    pub running: u32,
    /// Requests that arrived while all slots were in use, whether refused or run.
    pub overloads: u64,
    /// Simulated crashes caused by requests with [`CRASH_HEADER`].
    pub deaths: u64,
    /// Number of started runs by idempotency key.
    pub runs_by_key: HashMap<String, u64>,
}

#[derive(Debug)]
struct UpstreamState {
    settings: UpstreamSettings,
    counts: UpstreamCounts,
    rng: StdRng,
    closer: ConnectionCloser,
}

type UpstreamShared = Arc<Mutex<UpstreamState>>;

/// A running stand-in for an endpoint.
#[derive(Debug)]
pub struct UpstreamStandin {
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    server: ServerHandle,
    shared: UpstreamShared,
}

impl UpstreamStandin {
    /// Binds `listen` and serves with the given behaviour; `seed` determines the service times.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn bind(
        listen: SocketAddr,
        settings: UpstreamSettings,
        seed: u64,
    ) -> io::Result<Self> {
        let closer = ConnectionCloser::default();
        let shared = Arc::new(Mutex::new(UpstreamState {
            closer: closer.clone(),
            settings,
            counts: UpstreamCounts::default(),
            rng: StdRng::seed_from_u64(seed),
        }));
        let router = Router::new()
            .route("/standin/settings", post(set_settings))
            .route("/standin/counts", get(read_counts))
            .route("/health", get(read_health))
            .route("/load", get(read_load))
            .fallback(handle_request)
            .with_state(Arc::clone(&shared));
        let server = ServerHandle::bind_with(listen, router, closer).await?;
        Ok(Self { address: server.address, server, shared })
    }

    /// Counts of requests since the start.
    #[must_use]
    pub fn counts(&self) -> UpstreamCounts {
        lock(&self.shared).counts.clone()
    }

    /// Changes the behaviour for requests that arrive from now on.
    pub fn update_settings(&self, edit: impl FnOnce(&mut UpstreamSettings)) {
        edit(&mut lock(&self.shared).settings);
    }

    /// Waits until the server stops.
    pub async fn wait(self) {
        self.server.wait().await;
    }
}

fn lock(shared: &UpstreamShared) -> MutexGuard<'_, UpstreamState> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Guard that counts a request as running until the guard is dropped, also when the sender
/// disconnects.
struct RunningRequest {
    shared: UpstreamShared,
    is_answered: bool,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut state = lock(&self.shared);
        state.counts.running -= 1;
        if self.is_answered {
            state.counts.answered += 1;
        } else {
            state.counts.cancelled += 1;
        }
    }
}

async fn handle_request(State(shared): State<UpstreamShared>, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    if is_past_deadline(&parts.headers) {
        lock(&shared).counts.late += 1;
        return refusal_response();
    }
    let Some((mut running, service_time, settings)) = start_request(&shared, &parts.headers) else {
        return refusal_response();
    };
    let Ok(body) = body.collect().await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    if parts.headers.contains_key(CRASH_HEADER) {
        return crash(&shared).await;
    }
    if settings.is_stuck {
        std::future::pending::<()>().await;
    }
    let remaining = time_left(&parts.headers).unwrap_or(service_time);
    if remaining < service_time {
        tokio::time::sleep(remaining).await;
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    tokio::time::sleep(service_time).await;
    running.is_answered = true;
    let request_id = parts.headers.get("jackdaw-request-id").cloned();
    echo_response(&parts.uri.to_string(), &body.to_bytes(), request_id, settings.cuts_answers)
}

fn start_request(
    shared: &UpstreamShared,
    headers: &HeaderMap,
) -> Option<(RunningRequest, Duration, UpstreamSettings)> {
    let mut guard = lock(shared);
    let state = &mut *guard;
    let settings = state.settings.clone();
    let is_full = state.counts.running >= settings.slots;
    if is_full {
        state.counts.overloads += 1;
    }
    if settings.is_draining || (is_full && settings.sheds) {
        state.counts.shed += 1;
        return None;
    }
    state.counts.begun += 1;
    state.counts.running += 1;
    state.counts.peak = state.counts.peak.max(state.counts.running);
    if let Some(key) = headers.get("idempotency-key").and_then(|value| value.to_str().ok()) {
        *state.counts.runs_by_key.entry(key.to_owned()).or_default() += 1;
    }
    let is_cold = state.counts.begun <= settings.cold_requests;
    let factor = if is_cold { COLD_START_FACTOR } else { 1.0 };
    let variation = if settings.is_varied { lognormal(&mut state.rng) } else { 1.0 };
    let service_time = Duration::from_secs_f64(settings.service_ms * factor * variation / 1e3);
    drop(guard);
    Some((
        RunningRequest { shared: Arc::clone(shared), is_answered: false },
        service_time,
        settings,
    ))
}

/// A log-normal sample with mean 1 and shape 0.5.
fn lognormal(rng: &mut StdRng) -> f64 {
    const SERVICE_SHAPE: f64 = 0.5;
    let uniform: f64 = rng.random::<f64>().max(f64::MIN_POSITIVE);
    let angle: f64 = rng.random::<f64>() * std::f64::consts::TAU;
    let normal = (-2.0 * uniform.ln()).sqrt() * angle.cos();
    (SERVICE_SHAPE * normal - SERVICE_SHAPE * SERVICE_SHAPE / 2.0).exp()
}

fn refusal_response() -> Response {
    let outcome = [("jackdaw-outcome", "not-run")];
    (StatusCode::SERVICE_UNAVAILABLE, outcome).into_response()
}

/// Closes all connections without a response, as a crashed process would.
async fn crash(shared: &UpstreamShared) -> Response {
    {
        let mut state = lock(shared);
        state.counts.deaths += 1;
        state.closer.close_all();
    }
    std::future::pending().await
}

fn truncated_response(prefix: Vec<u8>) -> Response {
    let chunks = futures_util::stream::iter([
        Ok(prefix),
        Err(io::Error::other("connection closed by the stand-in")),
    ]);
    Body::from_stream(chunks).into_response()
}

fn echo_response(
    uri: &str,
    body: &[u8],
    request_id: Option<HeaderValue>,
    is_truncated: bool,
) -> Response {
    let text = format!("{{\"uri\":\"{uri}\",\"received\":{}}}\n", body.len());
    if is_truncated {
        let half = text.len() / 2;
        return truncated_response(text.into_bytes()[..half].to_vec());
    }
    let mut response = text.into_response();
    if let Some(id) = request_id {
        response.headers_mut().insert("jackdaw-request-id", id);
    }
    response
}

fn is_past_deadline(headers: &HeaderMap) -> bool {
    let deadline_ms = read_integer(headers, "jackdaw-deadline-at");
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    deadline_ms.is_some_and(|deadline_ms| u128::from(deadline_ms) <= now.as_millis())
}

fn time_left(headers: &HeaderMap) -> Option<Duration> {
    read_integer(headers, "jackdaw-deadline-ms").map(Duration::from_millis)
}

fn read_integer(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

async fn set_settings(
    State(shared): State<UpstreamShared>,
    Json(settings): Json<UpstreamSettings>,
) {
    lock(&shared).settings = settings;
}

async fn read_counts(State(shared): State<UpstreamShared>) -> Json<UpstreamCounts> {
    Json(lock(&shared).counts.clone())
}

async fn read_health(State(shared): State<UpstreamShared>) -> StatusCode {
    let state = lock(&shared);
    let is_healthy = state
        .settings
        .lying_health
        .unwrap_or(!state.settings.is_draining && !state.settings.is_stuck);
    if is_healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

async fn read_load(State(shared): State<UpstreamShared>) -> String {
    let state = lock(&shared);
    let slots = state.settings.slots.max(1);
    let percent = state.settings.lying_load.unwrap_or(state.counts.running * 100 / slots);
    percent.to_string()
}
