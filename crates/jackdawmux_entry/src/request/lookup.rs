//! Lookups of entries that a caller can use, and issue of tickets.

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

/// Maximum number of entries that a lookup returns.
const MAX_LISTED_ENTRIES: usize = 4;
/// Maximum number of tickets issued in one call.
const MAX_TICKETS: usize = 1_000;
/// Retry-after delay while there is no configuration, no usable entry or no ticket to issue.
const LOOKUP_RETRY_AFTER: Duration = Duration::from_secs(1);

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
struct ListedEntry {
    address: SocketAddr,
    failure_domain: String,
}

#[derive(Debug, Serialize)]
struct EntriesResponse {
    entries: Vec<ListedEntry>,
    ttl_ms: u128,
}

#[derive(Debug, Serialize)]
struct TicketsResponse {
    tickets: Vec<String>,
}

/// `GET /v1/entries?service=NAME`
pub(crate) async fn list_entries(
    State(context): State<Arc<EntryContext>>,
    ConnectInfo(caller): ConnectInfo<SocketAddr>,
    Query(query): Query<EntriesQuery>,
) -> Response<Body> {
    let config = match config_for_service(&context, &query.service) {
        Ok(config) => config,
        Err(refusal) => return refusal_response(RunOutcome::NotRun, refusal),
    };
    let entries = order_entries(&context, &config, caller);
    if entries.is_empty() {
        let refusal = RequestRefusal::retryable(RefusalReason::Leaving, LOOKUP_RETRY_AFTER);
        return refusal_response(RunOutcome::NotRun, refusal);
    }
    let ttl_ms = context.settings.lookup_ttl.as_millis();
    Json(EntriesResponse { entries, ttl_ms }).into_response()
}

/// `POST /v1/tickets?service=NAME&count=N`
pub(crate) async fn issue_tickets(
    State(context): State<Arc<EntryContext>>,
    Query(query): Query<TicketsQuery>,
) -> Response<Body> {
    if let Err(refusal) = config_for_service(&context, &query.service) {
        return refusal_response(RunOutcome::NotRun, refusal);
    }
    let is_leaving = !is_own_instance_usable(&context);
    if is_leaving {
        // This process is about to stop; without a successor, no process could run the ticket.
        let refusal = RequestRefusal::retryable(RefusalReason::Leaving, LOOKUP_RETRY_AFTER);
        return refusal_response(RunOutcome::NotRun, refusal);
    }
    let count = query.count.unwrap_or(1).clamp(1, MAX_TICKETS);
    let tickets = context.idempotency_keys.issue(context.clock.now(), count);
    Json(TicketsResponse { tickets }).into_response()
}

/// Whether callers may use this instance: its directory entry is usable, or it has no entry yet.
pub(crate) fn is_own_instance_usable(context: &EntryContext) -> bool {
    let directory = context.directory.borrow();
    directory.find(context.incarnation).is_none_or(|entry| entry.is_usable)
}

fn config_for_service(
    context: &EntryContext,
    service: &str,
) -> Result<Arc<ActiveConfig>, RequestRefusal> {
    let config = context.active_config.borrow().clone().ok_or_else(|| {
        RequestRefusal::retryable(RefusalReason::NoConfiguration, LOOKUP_RETRY_AFTER)
    })?;
    if config.table.service(service).is_none() {
        return Err(RequestRefusal::permanent(RefusalReason::NoRoute));
    }
    Ok(config)
}

/// Lists usable entries, those of this region first. Within each group the order follows a hash of
/// the caller address and the entry, which spreads callers evenly over the entries.
fn order_entries(
    context: &EntryContext,
    config: &ActiveConfig,
    caller: SocketAddr,
) -> Vec<ListedEntry> {
    let directory = context.directory.borrow().clone();
    let local = config.table.region_of(&context.settings.failure_domain);
    let hash = stable_hash(caller.to_string().as_bytes());
    let mut usable: Vec<&DirectoryEntry> =
        directory.entries.iter().filter(|entry| entry.is_usable).collect();
    usable.sort_by_key(|entry| {
        let is_other_region = config.table.region_of(&entry.domain) != local;
        (is_other_region, mix64(hash ^ entry.incarnation.0))
    });
    usable
        .into_iter()
        .take(MAX_LISTED_ENTRIES)
        .map(|entry| ListedEntry { address: entry.address, failure_domain: entry.domain.clone() })
        .collect()
}
