//! Stand-in for the platform's object API.
//!
//! `GET /objects/KEY`, with `?after=VERSION&wait_ms=N` for a watch; `PUT /objects/KEY` with
//! `If-Match` or `If-None-Match: *`. Faults are set with `POST /standin/faults` and call counts
//! read at `GET /standin/counts`.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::header::{AUTHORIZATION, ETAG, IF_MATCH, IF_NONE_MATCH};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::serve::ServerHandle;

/// Maximum size of an object, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;
/// Maximum time that a watch waits for a change.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Faults that the store injects.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Answer every read, watch and write with 503.
    pub is_down: bool,
    /// Delay of every read, watch and write, in milliseconds.
    pub delay_ms: u64,
    /// Number of further writes that take effect but are answered with 504, as if the response
    /// had been lost.
    pub lost_answers: u32,
    /// Reads and watches return each object as it was before its last update.
    pub shows_old: bool,
    /// Never answer the watches that wait now, or that arrive until this is reset.
    pub drops_watches: bool,
}

/// Number of calls since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounts {
    /// Reads without a watch.
    pub reads: u64,
    /// Watches.
    pub watches: u64,
    /// Writes that took effect.
    pub writes: u64,
    /// Writes refused because the object had another version than expected.
    pub conflicts: u64,
    /// Calls that arrived while the store was down and were answered with 503.
    pub failed: u64,
}

#[derive(Clone, Debug, Default)]
struct StoredObject {
    version: u64,
    content: Bytes,
    previous: Option<(u64, Bytes)>,
}

#[derive(Debug, Default)]
struct StoreState {
    objects: HashMap<String, StoredObject>,
    faults: StoreFaults,
    counts: StoreCounts,
}

#[derive(Debug)]
struct StoreShared {
    state: Mutex<StoreState>,
    changed: watch::Sender<u64>,
    token: Option<String>,
}

/// A running stand-in for the store.
#[derive(Debug)]
pub struct StoreStandin {
    /// Address that the store listens on.
    pub address: SocketAddr,
    server: ServerHandle,
    shared: Arc<StoreShared>,
}

impl StoreStandin {
    /// Binds `listen` and serves an empty store. With a token, writes to objects under `config/`
    /// must carry it as bearer token.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn bind(listen: SocketAddr, token: Option<&str>) -> io::Result<Self> {
        let shared = Arc::new(StoreShared {
            state: Mutex::default(),
            changed: watch::Sender::new(0),
            token: token.map(str::to_owned),
        });
        let router = Router::new()
            .route("/objects/{*key}", get(read_object).put(write_object))
            .route("/standin/faults", post(set_faults))
            .route("/standin/counts", get(read_counts))
            .layer(DefaultBodyLimit::max(MAX_VALUE_BYTES + 1))
            .with_state(Arc::clone(&shared));
        let server = ServerHandle::bind(listen, router).await?;
        Ok(Self { address: server.address, server, shared })
    }

    /// Base URL for clients.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.lock().faults = faults;
        self.shared.changed.send_modify(|count| *count += 1);
    }

    /// Number of calls since the start.
    #[must_use]
    pub fn counts(&self) -> StoreCounts {
        self.shared.lock().counts
    }

    /// Version and content of an object; faults do not apply.
    #[must_use]
    pub fn peek(&self, key: &str) -> Option<(u64, Bytes)> {
        let state = self.shared.lock();
        state.objects.get(key).map(|object| (object.version, object.content.clone()))
    }

    /// Stores an object under the given version, whatever its current version is, as a restore
    /// from a backup does.
    pub fn restore(&self, key: &str, version: u64, content: Bytes) {
        let object = StoredObject { version, content, previous: None };
        self.shared.lock().objects.insert(key.to_owned(), object);
        self.shared.changed.send_modify(|count| *count += 1);
    }

    /// Waits until the server stops.
    pub async fn wait(self) {
        self.server.wait().await;
    }
}

impl StoreShared {
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the injected delay, then refuses the call if the store is down.
    async fn apply_faults(&self) -> Result<(), StatusCode> {
        let delay = self.lock().faults.delay_ms;
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        let mut state = self.lock();
        if state.faults.is_down {
            state.counts.failed += 1;
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(())
    }

    fn visible_object(&self, key: &str) -> Option<(u64, Bytes)> {
        let state = self.lock();
        let object = state.objects.get(key)?;
        match (&object.previous, state.faults.shows_old) {
            (Some(previous), true) => Some(previous.clone()),
            (Some(_), false) | (None, _) => Some((object.version, object.content.clone())),
        }
    }
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    after: Option<u64>,
    wait_ms: Option<u64>,
}

async fn read_object(
    State(shared): State<Arc<StoreShared>>,
    Path(key): Path<String>,
    Query(query): Query<ReadQuery>,
) -> Response {
    if let Err(status) = shared.apply_faults().await {
        return status.into_response();
    }
    match query.after {
        None => {
            shared.lock().counts.reads += 1;
            shared
                .visible_object(&key)
                .map_or_else(|| StatusCode::NOT_FOUND.into_response(), object_response)
        }
        Some(after) => {
            shared.lock().counts.watches += 1;
            let wait = Duration::from_millis(query.wait_ms.unwrap_or_default());
            wait_for_object(&shared, &key, after, wait.min(MAX_WATCH_WAIT)).await
        }
    }
}

async fn wait_for_object(shared: &StoreShared, key: &str, after: u64, wait: Duration) -> Response {
    let deadline = Instant::now() + wait;
    let mut changed = shared.changed.subscribe();
    loop {
        changed.mark_unchanged();
        if shared.lock().faults.drops_watches {
            std::future::pending::<()>().await;
        }
        if shared.lock().faults.is_down {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        if let Some(object) = shared.visible_object(key).filter(|(version, _)| *version > after) {
            return object_response(object);
        }
        if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
            return StatusCode::NOT_MODIFIED.into_response();
        }
    }
}

fn object_response((version, content): (u64, Bytes)) -> Response {
    ([(ETAG, format!("\"{version}\""))], content).into_response()
}

async fn write_object(
    State(shared): State<Arc<StoreShared>>,
    Path(key): Path<String>,
    headers: HeaderMap,
    content: Bytes,
) -> Response {
    if let Err(status) = shared.apply_faults().await {
        return status.into_response();
    }
    if content.len() > MAX_VALUE_BYTES {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    if !is_authorized(&shared, &key, &headers) {
        return StatusCode::UNAUTHORIZED.into_response();
    }
    let Some(expected) = expected_version(&headers) else {
        return StatusCode::PRECONDITION_REQUIRED.into_response();
    };
    let written = apply_write(&mut shared.lock(), &key, expected, content);
    let Ok((version, is_response_lost)) = written else {
        return StatusCode::PRECONDITION_FAILED.into_response();
    };
    shared.changed.send_modify(|count| *count += 1);
    if is_response_lost {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    [(ETAG, format!("\"{version}\""))].into_response()
}

fn apply_write(
    state: &mut StoreState,
    key: &str,
    expected: u64,
    content: Bytes,
) -> Result<(u64, bool), ()> {
    let object = state.objects.entry(key.to_owned()).or_default();
    if object.version != expected {
        state.counts.conflicts += 1;
        return Err(());
    }
    let old = std::mem::replace(&mut object.content, content);
    object.previous = (object.version > 0).then_some((object.version, old));
    object.version += 1;
    let version = object.version;
    state.counts.writes += 1;
    let is_response_lost = state.faults.lost_answers > 0;
    state.faults.lost_answers = state.faults.lost_answers.saturating_sub(1);
    Ok((version, is_response_lost))
}

fn is_authorized(shared: &StoreShared, key: &str, headers: &HeaderMap) -> bool {
    let Some(token) = &shared.token else {
        return true;
    };
    let authorization = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    !key.starts_with("config/") || authorization == Some(&format!("Bearer {token}"))
}

fn expected_version(headers: &HeaderMap) -> Option<u64> {
    if headers.get(IF_NONE_MATCH).is_some_and(|value| value == "*") {
        return Some(0);
    }
    headers.get(IF_MATCH)?.to_str().ok()?.trim_matches('"').parse().ok()
}

async fn set_faults(State(shared): State<Arc<StoreShared>>, Json(faults): Json<StoreFaults>) {
    shared.lock().faults = faults;
    shared.changed.send_modify(|count| *count += 1);
}

async fn read_counts(State(shared): State<Arc<StoreShared>>) -> Json<StoreCounts> {
    Json(shared.lock().counts)
}
