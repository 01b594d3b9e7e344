//! Serves reads of other instances of the group.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::{Query, State};
use axum::http::{HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::permission::ConfigProof;
use jackdawmux_policy::fleet::position::WatchTopic;
use jackdawmux_policy::fleet::relay::{KeptUpdates, ReadPath, RelayTimes, RelayedChanges};
use strum::IntoEnumIterator;
use tokio::time::{Instant, timeout_at};

use super::wire::{
    CONFIG_PATH, PROOF_HEADER, RESTORE_PATH, RelayQuery, RelayedBatch, UPDATES_PATH, encode,
    encode_batch, format_proof,
};
use crate::process::{FrontPhase, FrontState};
use crate::request::serve_forwarded;

/// Longest time for which a read is held.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Router of the address for other instances.
pub(crate) fn relay_router(state: Arc<FrontState>) -> Router {
    Router::new()
        .route(UPDATES_PATH, get(read_updates))
        .route(CONFIG_PATH, get(read_config))
        .route(RESTORE_PATH, get(read_restore_facts))
        .fallback(serve_forwarded)
        .with_state(state)
}

/// Replies with updates, with 204 if there are none, with 410 if they are no longer kept, or with
/// 409 if this instance must not be used as a relay.
async fn read_updates(
    State(state): State<Arc<FrontState>>,
    Query(query): Query<RelayQuery>,
) -> Response {
    let arrived = state.permission.now();
    let Some(topic) = WatchTopic::iter().find(|topic| topic.to_string() == query.topic) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    state.relay.record_read();
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
    let deadline = Instant::now() + wait;
    let mut changes = state.relay.changes();
    let first_proof = state.permission.proof(topic);
    let has_bounds = state.permission.max_wait(topic).is_some();
    loop {
        // Read before the updates, which are therefore at least as new as the proof.
        let proof = state.permission.proof(topic);
        if !is_relay(&state) || (has_bounds && !state.permission.is_useful_proof(proof)) {
            return StatusCode::CONFLICT.into_response();
        }
        let Some(current_until) = current_until(&state, topic) else {
            return StatusCode::CONFLICT.into_response();
        };
        let is_renewed = has_bounds && proof != first_proof;
        let is_due = is_renewed || Instant::now() >= deadline;
        if let Some(response) = reply(&state, topic, &query, is_due) {
            return with_proof(response, proof, arrived);
        }
        let _changed_or_elapsed = timeout_at(deadline.min(current_until), changes.changed()).await;
    }
}

/// Replies with the configuration in force, with 404 if there is none. Any instance may answer:
/// versions only rise, so a reader never takes an older one.
async fn read_config(State(state): State<Arc<FrontState>>) -> Response {
    let arrived = state.permission.now();
    let proof = state.permission.proof(WatchTopic::Config);
    let table = state.steering().table().cloned();
    let Some(table) = table else {
        return StatusCode::NOT_FOUND.into_response();
    };
    with_proof(encoded_response("config", encode(table.config())), proof, arrived)
}

/// Adds the header that states how old the data of a response is.
fn with_proof(mut response: Response, proof: Option<ConfigProof>, arrived: PolicyTime) -> Response {
    if let Ok(value) = HeaderValue::from_str(&format_proof(proof, arrived)) {
        response.headers_mut().insert(PROOF_HEADER, value);
    }
    response
}

/// Replies with what this instance knows from before a restore of the source, with 204 if objects are
/// not being written again.
async fn read_restore_facts(State(state): State<Arc<FrontState>>) -> Response {
    let facts = state.steering().restore_facts(state.clock.now());
    match facts {
        Some(facts) => encoded_response("restore-facts", encode(&facts)),
        None => StatusCode::NO_CONTENT.into_response(),
    }
}

fn encoded_response(object: &str, encoded: io::Result<Vec<u8>>) -> Response {
    match encoded {
        Ok(bytes) => Bytes::from(bytes).into_response(),
        Err(error) => {
            log::error!("event=relay-unsent object={object} error={error:?}");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}

/// Whether this instance reads the source itself and knows that the source answers.
fn is_relay(state: &FrontState) -> bool {
    let times = RelayTimes::new(state.settings.bounds.update_deadline);
    let is_direct = matches!(state.read_path(), ReadPath::Direct);
    let is_fresh = state.connectivity.reply_age().is_some_and(|age| age <= times.max_age);
    is_direct && is_fresh && state.phase() != FrontPhase::Leaving
}

/// Until when this instance may answer reads of a topic, as far as the source's replies for this
/// topic show; none if it may not. A reply for another topic shows nothing.
fn current_until(state: &FrontState, topic: WatchTopic) -> Option<Instant> {
    let until = state.relay.replied_at(topic)? + state.read_times(topic).max_topic_age;
    (Instant::now() < until).then_some(until)
}

fn reply(
    state: &FrontState,
    topic: WatchTopic,
    query: &RelayQuery,
    is_due: bool,
) -> Option<Response> {
    let log = state.relay.log(topic);
    let kept = match query.position() {
        None => match log.list() {
            Some(list) => list,
            None => return Some(StatusCode::CONFLICT.into_response()),
        },
        Some(after) => match log.changes_after(after) {
            RelayedChanges::HistoryGone => return Some(StatusCode::GONE.into_response()),
            RelayedChanges::Unchanged => {
                return is_due.then(|| StatusCode::NO_CONTENT.into_response());
            }
            RelayedChanges::Updates(kept) => kept,
        },
    };
    drop(log);
    let KeptUpdates { position, newest_revision, updates } = kept;
    let (era, revision) = (position.era, position.revision);
    let batch = RelayedBatch { era, revision, newest_revision, updates };
    Some(match encode_batch(&batch) {
        Ok(bytes) => Bytes::from(bytes).into_response(),
        Err(error) => {
            log::error!("event=relay-unsent topic={topic} error={error:?}");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    })
}
