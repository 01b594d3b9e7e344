//! Look-ups: which entries a caller should use, and tickets.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Json;
use axum::body::Body;
use axum::extract::{ConnectInfo, Query, State};
use axum::http::Response;
use axum::response::IntoResponse;
use jackdawmux_policy::identity::{mix64, stable_hash};
use jackdawmux_policy::outcome::{RefusalReason, RequestRefusal, RunOutcome};
use serde::{Deserialize, Serialize};
use std::time::Duration;

use super::refusal::refusal_response;
use crate::process::{DirectoryEntry, EntryContext};
use crate::version::ActiveConfig;

/// Most entries that a look-up names.
const ENTRIES_NAMED: usize = 4;
/// Most tickets given at once.
const TICKETS_MOST: usize = 1_000;
/// Pause suggested while nothing can be named.
const LOOKUP_PAUSE: Duration = Duration::from_secs(1);

#[derive(Debug, Deserialize)]
pub(crate) struct EntriesQuery {
    service: String,
}

#[derive(Debug, Deserialize)]
pub(crate) struct TicketsQuery {
    service: String,
    count: Option<usize>,
}

#[derive(Debug, Serialize)]
struct NamedEntry {
    address: SocketAddr,
    failure_domain: String,
}

#[derive(Debug, Serialize)]
struct EntriesAnswer {
    entries: Vec<NamedEntry>,
    ttl_ms: u128,
}

#[derive(Debug, Serialize)]
struct TicketsAnswer {
    tickets: Vec<String>,
}

/// `GET /v1/entries?service=NAME`
pub(crate) async fn name_entries(
    State(context): State<Arc<EntryContext>>,
    ConnectInfo(caller): ConnectInfo<SocketAddr>,
    Query(query): Query<EntriesQuery>,
) -> Response<Body> {
    let force = match force_of(&context, &query.service) {
        Ok(force) => force,
        Err(refusal) => return refusal_response(RunOutcome::NotRun, refusal),
    };
    let entries = order_entries(&context, &force, caller);
    if entries.is_empty() {
        let refusal = RequestRefusal::retryable(RefusalReason::Leaving, LOOKUP_PAUSE);
        return refusal_response(RunOutcome::NotRun, refusal);
    }
    let ttl_ms = context.settings.lookup_ttl.as_millis();
    Json(EntriesAnswer { entries, ttl_ms }).into_response()
}

/// `POST /v1/tickets?service=NAME&count=N`
pub(crate) async fn give_tickets(
    State(context): State<Arc<EntryContext>>,
    Query(query): Query<TicketsQuery>,
) -> Response<Body> {
    if let Err(refusal) = force_of(&context, &query.service) {
        return refusal_response(RunOutcome::NotRun, refusal);
    }
    let is_leaving = !is_usable_here(&context);
    if is_leaving {
        // A ticket of this process could soon not be run by anyone.
        let refusal = RequestRefusal::retryable(RefusalReason::Leaving, LOOKUP_PAUSE);
        return refusal_response(RunOutcome::NotRun, refusal);
    }
    let count = query.count.unwrap_or(1).clamp(1, TICKETS_MOST);
    let tickets = context.idempotency_keys.issue(context.clock.now(), count);
    Json(TicketsAnswer { tickets }).into_response()
}

pub(crate) fn is_usable_here(context: &EntryContext) -> bool {
    let directory = context.directory.borrow();
    directory.find(context.incarnation).is_none_or(|entry| entry.is_usable)
}

fn force_of(context: &EntryContext, service: &str) -> Result<Arc<ActiveConfig>, RequestRefusal> {
    let force =
        context.active_config.borrow().clone().ok_or_else(|| {
            RequestRefusal::retryable(RefusalReason::NoConfiguration, LOOKUP_PAUSE)
        })?;
    if force.table.service(service).is_none() {
        return Err(RequestRefusal::permanent(RefusalReason::NoRoute));
    }
    Ok(force)
}

/// Usable entries: those of this region first, then in an order that spreads callers evenly.
fn order_entries(
    context: &EntryContext,
    force: &ActiveConfig,
    caller: SocketAddr,
) -> Vec<NamedEntry> {
    let directory = context.directory.borrow().clone();
    let local = force.table.region_of(&context.settings.failure_domain);
    let hash = stable_hash(caller.to_string().as_bytes());
    let mut usable: Vec<&DirectoryEntry> =
        directory.entries.iter().filter(|entry| entry.is_usable).collect();
    usable.sort_by_key(|entry| {
        let is_foreign = force.table.region_of(&entry.domain) != local;
        (is_foreign, mix64(hash ^ entry.incarnation.0))
    });
    usable
        .into_iter()
        .take(ENTRIES_NAMED)
        .map(|entry| NamedEntry { address: entry.address, failure_domain: entry.domain.clone() })
        .collect()
}
