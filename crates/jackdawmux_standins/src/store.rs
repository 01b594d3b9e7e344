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

/// Largest value, in bytes.
const VALUE_LIMIT: usize = 1_000_000;
/// Longest wait of a watch.
const WATCH_LONGEST: Duration = Duration::from_secs(30);

/// Faults of the store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Answer every call with 503.
    pub is_down: bool,
    /// Delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// Number of coming writes that take effect though their answer is lost.
    pub lost_answers: u32,
    /// Reads show the object as it was before its last update.
    pub shows_old: bool,
}

/// Calls counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounts {
    /// Plain reads.
    pub reads: u64,
    /// Watches.
    pub watches: u64,
    /// Updates that took effect.
    pub writes: u64,
    /// Updates refused because of another version.
    pub conflicts: u64,
    /// Calls that failed for a fault.
    pub failed: u64,
}

#[derive(Clone, Debug, Default)]
struct ObjectSlot {
    version: u64,
    content: Bytes,
    previous: Option<(u64, Bytes)>,
}

#[derive(Debug, Default)]
struct StoreState {
    objects: HashMap<String, ObjectSlot>,
    faults: StoreFaults,
    counts: StoreCounts,
}

#[derive(Debug)]
struct StoreShared {
    state: Mutex<StoreState>,
    changed: watch::Sender<u64>,
    token: Option<String>,
}

/// A running store.
#[derive(Debug)]
pub struct StoreStandin {
    /// Where it listens.
    pub address: SocketAddr,
    server: ServerHandle,
    shared: Arc<StoreShared>,
}

impl StoreStandin {
    /// Binds `listen`; with a token, updates of `config/` objects must carry it.
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
            .layer(DefaultBodyLimit::max(VALUE_LIMIT + 1))
            .with_state(Arc::clone(&shared));
        let server = ServerHandle::bind(listen, router).await?;
        Ok(Self { address: server.address, server, shared })
    }

    /// Base address for clients.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.lock().faults = faults;
        self.shared.changed.send_modify(|count| *count += 1);
    }

    /// Calls counted since the start.
    #[must_use]
    pub fn counts(&self) -> StoreCounts {
        self.shared.lock().counts
    }

    /// Version and content of an object.
    #[must_use]
    pub fn peek(&self, key: &str) -> Option<(u64, Bytes)> {
        let state = self.shared.lock();
        state.objects.get(key).map(|slot| (slot.version, slot.content.clone()))
    }

    /// Replaces an object without regard to its version, as a restored backup would.
    pub fn restore(&self, key: &str, version: u64, content: Bytes) {
        let slot = ObjectSlot { version, content, previous: None };
        self.shared.lock().objects.insert(key.to_owned(), slot);
        self.shared.changed.send_modify(|count| *count += 1);
    }

    /// Waits until the server ends.
    pub async fn wait(self) {
        self.server.wait().await;
    }
}

impl StoreShared {
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits out the delay fault, then refuses the call if the store is down.
    async fn pass_faults(&self) -> Result<(), StatusCode> {
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

    fn shown(&self, key: &str) -> Option<(u64, Bytes)> {
        let state = self.lock();
        let slot = state.objects.get(key)?;
        match (&slot.previous, state.faults.shows_old) {
            (Some(previous), true) => Some(previous.clone()),
            (Some(_), false) | (None, _) => Some((slot.version, slot.content.clone())),
        }
    }
}

#[derive(Debug, Deserialize)]
struct WatchQuery {
    after: Option<u64>,
    wait_ms: Option<u64>,
}

async fn read_object(
    State(shared): State<Arc<StoreShared>>,
    Path(key): Path<String>,
    Query(query): Query<WatchQuery>,
) -> Response {
    if let Err(status) = shared.pass_faults().await {
        return status.into_response();
    }
    match query.after {
        None => {
            shared.lock().counts.reads += 1;
            shared.shown(&key).map_or_else(|| StatusCode::NOT_FOUND.into_response(), object_answer)
        }
        Some(after) => {
            shared.lock().counts.watches += 1;
            let wait = Duration::from_millis(query.wait_ms.unwrap_or_default());
            wait_object(&shared, &key, after, wait.min(WATCH_LONGEST)).await
        }
    }
}

async fn wait_object(shared: &StoreShared, key: &str, after: u64, wait: Duration) -> Response {
    let deadline = Instant::now() + wait;
    let mut changed = shared.changed.subscribe();
    loop {
        changed.mark_unchanged();
        if shared.lock().faults.is_down {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        if let Some(object) = shared.shown(key).filter(|(version, _)| *version > after) {
            return object_answer(object);
        }
        if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
            return StatusCode::NOT_MODIFIED.into_response();
        }
    }
}

fn object_answer((version, content): (u64, Bytes)) -> Response {
    ([(ETAG, format!("\"{version}\""))], content).into_response()
}

async fn write_object(
    State(shared): State<Arc<StoreShared>>,
    Path(key): Path<String>,
    headers: HeaderMap,
    content: Bytes,
) -> Response {
    if let Err(status) = shared.pass_faults().await {
        return status.into_response();
    }
    if content.len() > VALUE_LIMIT {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    if !may_write(&shared, &key, &headers) {
        return StatusCode::UNAUTHORIZED.into_response();
    }
    let Some(expected) = expected_version(&headers) else {
        return StatusCode::PRECONDITION_REQUIRED.into_response();
    };
    let written = apply_write(&mut shared.lock(), &key, expected, content);
    let Ok((version, is_answer_lost)) = written else {
        return StatusCode::PRECONDITION_FAILED.into_response();
    };
    shared.changed.send_modify(|count| *count += 1);
    if is_answer_lost {
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
    let slot = state.objects.entry(key.to_owned()).or_default();
    if slot.version != expected {
        state.counts.conflicts += 1;
        return Err(());
    }
    let old = std::mem::replace(&mut slot.content, content);
    slot.previous = (slot.version > 0).then_some((slot.version, old));
    slot.version += 1;
    let version = slot.version;
    state.counts.writes += 1;
    let is_answer_lost = state.faults.lost_answers > 0;
    state.faults.lost_answers = state.faults.lost_answers.saturating_sub(1);
    Ok((version, is_answer_lost))
}

fn may_write(shared: &StoreShared, key: &str, headers: &HeaderMap) -> bool {
    let Some(token) = &shared.token else {
        return true;
    };
    let given = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    !key.starts_with("config/") || given == Some(&format!("Bearer {token}"))
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
