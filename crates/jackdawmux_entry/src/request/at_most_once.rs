//! Operations that run at most once: finds the home of an idempotency key, claims the key and runs
//! the request there.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::http::Response;
use jackdawmux_policy::claim::ClaimDecision;
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::idempotency::{BeginDecision, KeyDigest};
use jackdawmux_policy::identity::{IncarnationId, mix64, stable_hash};
use jackdawmux_policy::outcome::{RefusalReason, RequestRefusal, RunOutcome};
use jackdawmux_policy::ticket::{TicketError, is_ticket};
use sha2::{Digest, Sha256};
use tokio::time::timeout_at;

use super::body::RequestBody;
use super::claims::shard_of;
use super::forward::forward;
use super::key_table::{JoinOutcome, KEY_RETENTION, TicketStatus};
use super::peer_forward::{PeerForwardOutcome, PeerForwardReason, forward_to_peer};
use super::plan::RequestPlan;
use super::refusal::refusal_response;
use super::response::FinalResponse;
use crate::process::{DirectoryEntry, EntryContext, EntryDirectory};

/// Length of the longest idempotency key accepted.
const MAX_KEY_BYTES: usize = 256;
/// A claim may take the time left to the deadline, divided by this number.
const CLAIM_TIME_DIVISOR: u32 = 2;
/// Retry-after delay when a key could not be claimed or the key table is full.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry-after delay while the outcome of a request with the same key is not known.
const JOIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Interval between checks for the successor of a leaving home.
const SUCCESSOR_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Clock skew tolerated in a key that carries a timestamp.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// A request with its idempotency key.
#[derive(Debug)]
pub(crate) struct AtMostOnceRequest {
    pub(crate) plan: RequestPlan,
    pub(crate) body: RequestBody,
    pub(crate) key: String,
    /// Whether a peer forwarded the request to this instance as the home of its key.
    pub(crate) is_peer_forward: bool,
}

/// Where the request of a key may run.
enum KeyHome {
    /// At this instance, which keeps the key until the given time. With `needs_claim`, the key must
    /// first be claimed in the store.
    Local { keep_until: PolicyTime, needs_claim: bool },
    /// At another instance, to which the request is forwarded.
    Remote(DirectoryEntry),
    /// At a process that cannot be reached.
    Unavailable(IncarnationId),
    /// Nowhere: a former home of the ticket has already started the request.
    Started,
    /// Nowhere: the key is forged or too old.
    Rejected,
}

/// Returns the preferred instance for a key that a caller chose itself. Rendezvous hashing over the
/// usable instances selects the same one for all keys of a shard, so that the updates of a shard
/// come from one instance.
#[must_use]
pub fn home_of_key(directory: &EntryDirectory, key: KeyDigest) -> Option<&DirectoryEntry> {
    let hash = stable_hash(&shard_of(key).to_be_bytes());
    directory
        .entries
        .iter()
        .filter(|entry| entry.is_usable)
        .max_by_key(|entry| mix64(hash ^ entry.incarnation.0))
}

/// Runs a request at most once and returns its final response.
pub(crate) async fn run_at_most_once(
    context: &Arc<EntryContext>,
    request: AtMostOnceRequest,
) -> Response<Body> {
    if request.key.is_empty() || request.key.len() > MAX_KEY_BYTES {
        let refusal = RequestRefusal::permanent(RefusalReason::KeyMissing);
        return refusal_response(RunOutcome::NotRun, refusal);
    }
    let digest = key_digest(&request.plan.service, &request.key);
    let mut request = request;
    loop {
        let (home, returned) = match find_home(context, &request, digest) {
            KeyHome::Local { keep_until, needs_claim } => {
                return run_local(context, request, digest, keep_until, needs_claim).await;
            }
            KeyHome::Remote(home) => match run_remote(context, request, digest, &home).await {
                RemoteOutcome::Final(response) => return response,
                RemoteOutcome::Unsent(request) => (home.incarnation, *request),
            },
            KeyHome::Unavailable(home) => (home, request),
            KeyHome::Started => return refuse(RunOutcome::Unknown, RefusalReason::KeyInUse),
            KeyHome::Rejected => return refuse(RunOutcome::NotRun, RefusalReason::KeyExpired),
        };
        request = returned;
        let now = context.clock.now();
        let is_wait_over =
            !context.idempotency_keys.may_find_successor(now, home) || now >= request.plan.deadline;
        if is_wait_over {
            // The home may have run the request before it became unreachable.
            return refuse(RunOutcome::Unknown, RefusalReason::KeyInUse);
        }
        tokio::time::sleep(SUCCESSOR_POLL_INTERVAL).await;
    }
}

fn refuse(outcome: RunOutcome, reason: RefusalReason) -> Response<Body> {
    refusal_response(outcome, RequestRefusal::permanent(reason))
}

fn key_digest(service: &str, key: &str) -> KeyDigest {
    let mut hash = Sha256::new();
    hash.update(service.as_bytes());
    hash.update([0]);
    hash.update(key.as_bytes());
    let mut digest = [0; 16];
    digest.copy_from_slice(&hash.finalize()[..16]);
    KeyDigest(digest)
}

fn find_home(context: &EntryContext, request: &AtMostOnceRequest, digest: KeyDigest) -> KeyHome {
    let now = context.clock.now();
    if is_ticket(&request.key) {
        return find_ticket_home(context, now, request, digest);
    }
    if is_past_retention(&request.key, context.clock.wall_ms()) {
        return KeyHome::Rejected;
    }
    let local = KeyHome::Local { keep_until: now + KEY_RETENTION, needs_claim: true };
    if request.is_peer_forward {
        return local;
    }
    let directory = context.directory.borrow().clone();
    match home_of_key(&directory, digest) {
        Some(home) if home.incarnation != context.incarnation => KeyHome::Remote(home.clone()),
        Some(_) | None => local,
    }
}

fn find_ticket_home(
    context: &EntryContext,
    now: PolicyTime,
    request: &AtMostOnceRequest,
    digest: KeyDigest,
) -> KeyHome {
    match context.idempotency_keys.verify(now, &request.key, digest) {
        Ok(TicketStatus::Runnable(ticket)) => {
            KeyHome::Local { keep_until: ticket.expires_at, needs_claim: false }
        }
        Ok(TicketStatus::Started) => KeyHome::Started,
        Err(TicketError::Foreign(home)) => find_foreign_home(context, request, home),
        Err(TicketError::Malformed | TicketError::Forged | TicketError::Expired) => {
            KeyHome::Rejected
        }
    }
}

fn find_foreign_home(
    context: &EntryContext,
    request: &AtMostOnceRequest,
    home: IncarnationId,
) -> KeyHome {
    let directory = context.directory.borrow().clone();
    match directory.find(home) {
        Some(entry) if !request.is_peer_forward => KeyHome::Remote(entry.clone()),
        Some(_) | None => KeyHome::Unavailable(home),
    }
}

/// Whether the key is a version 7 UUID, which carries its creation time, older than the retention
/// time. Such a key is refused, because the outcome of its request may have been removed.
fn is_past_retention(key: &str, wall_ms: u64) -> bool {
    let hex: String = key.chars().filter(|c| *c != '-').collect();
    let is_uuid7 = key.len() == 36
        && hex.len() == 32
        && hex.as_bytes()[12] == b'7'
        && hex.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_uuid7 {
        return false;
    }
    let created_ms = u64::from_str_radix(&hex[..12], 16).unwrap_or(0);
    let retention = KEY_RETENTION.saturating_sub(MAX_CLOCK_SKEW);
    let retention_ms = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
    wall_ms > created_ms.saturating_add(retention_ms)
}

/// Outcome of forwarding a request to the home of its key.
enum RemoteOutcome {
    /// The final response.
    Final(Response<Body>),
    /// The home of a ticket could not be reached; no byte was sent.
    Unsent(Box<AtMostOnceRequest>),
}

async fn run_remote(
    context: &Arc<EntryContext>,
    request: AtMostOnceRequest,
    digest: KeyDigest,
    home: &DirectoryEntry,
) -> RemoteOutcome {
    let AtMostOnceRequest { plan, body, key, is_peer_forward } = request;
    match forward_to_peer(context, &plan, body, PeerForwardReason::Home, home.address).await {
        PeerForwardOutcome::Answered(response) => RemoteOutcome::Final(response),
        PeerForwardOutcome::Lost => {
            let refusal = RequestRefusal::retryable(RefusalReason::UpstreamLost, JOIN_RETRY_AFTER);
            RemoteOutcome::Final(refusal_response(RunOutcome::Unknown, refusal))
        }
        PeerForwardOutcome::Unsent(body) if is_ticket(&key) => {
            RemoteOutcome::Unsent(Box::new(AtMostOnceRequest { plan, body, key, is_peer_forward }))
        }
        PeerForwardOutcome::Unsent(body) => {
            // Running it here is safe: the preferred instance only reduces conflicts, and the claim
            // decides which instance runs the request.
            let request = AtMostOnceRequest { plan, body, key, is_peer_forward: true };
            let keep_until = context.clock.now() + KEY_RETENTION;
            RemoteOutcome::Final(run_local(context, request, digest, keep_until, true).await)
        }
    }
}

async fn run_local(
    context: &Arc<EntryContext>,
    request: AtMostOnceRequest,
    digest: KeyDigest,
    keep_until: PolicyTime,
    needs_claim: bool,
) -> Response<Body> {
    let now = context.clock.now();
    match context.idempotency_keys.begin(now, digest, keep_until) {
        BeginDecision::Run => {
            // A separate task lets the request continue after its caller disconnects, so that its
            // outcome is known when the caller repeats the request.
            let context = Arc::clone(context);
            let task = tokio::spawn(async move {
                let mut guard = CompletionGuard { context: &context, digest, is_complete: false };
                let response = claim_and_run(&context, request, digest, needs_claim).await;
                guard.complete(&response);
                response
            });
            match task.await {
                Ok(response) => response.into_response(),
                Err(_) => refuse(RunOutcome::Unknown, RefusalReason::UpstreamLost),
            }
        }
        BeginDecision::Join => join(context, &request.plan, digest).await,
        BeginDecision::Replay(stored) => stored.replayed_response(),
        BeginDecision::ResponseDropped => refuse(RunOutcome::Ran, RefusalReason::KeyInUse),
        BeginDecision::Unknown => refuse(RunOutcome::Unknown, RefusalReason::KeyInUse),
        BeginDecision::Full => {
            let refusal = RequestRefusal::retryable(RefusalReason::Overloaded, CLAIM_RETRY_AFTER);
            refusal_response(RunOutcome::NotRun, refusal)
        }
    }
}

/// Completes the key with an unknown outcome if the task panics or is dropped before its end.
struct CompletionGuard<'task> {
    context: &'task Arc<EntryContext>,
    digest: KeyDigest,
    is_complete: bool,
}

impl CompletionGuard<'_> {
    fn complete(&mut self, response: &FinalResponse) {
        self.is_complete = true;
        let outcome = match response {
            FinalResponse::Buffered(stored) => JoinOutcome::Ran(Some(Arc::clone(stored))),
            FinalResponse::Streaming(_) => JoinOutcome::Ran(None),
            FinalResponse::Refused(RunOutcome::NotRun, _) => JoinOutcome::NotRun,
            FinalResponse::Refused(RunOutcome::Ran, _) => JoinOutcome::Ran(None),
            FinalResponse::Refused(RunOutcome::Unknown, _) => JoinOutcome::Unknown,
        };
        self.context.idempotency_keys.complete(self.context.clock.now(), self.digest, outcome);
    }
}

impl Drop for CompletionGuard<'_> {
    fn drop(&mut self) {
        if !self.is_complete {
            self.context.idempotency_keys.complete(
                self.context.clock.now(),
                self.digest,
                JoinOutcome::Unknown,
            );
        }
    }
}

async fn claim_and_run(
    context: &Arc<EntryContext>,
    request: AtMostOnceRequest,
    digest: KeyDigest,
    needs_claim: bool,
) -> FinalResponse {
    if needs_claim {
        match claim(context, &request.plan, digest).await {
            Some(ClaimDecision::Won) => {}
            Some(ClaimDecision::Held(claimant)) => {
                return forward_to_claimant(context, request, claimant).await;
            }
            Some(ClaimDecision::Full) | None => {
                let refusal =
                    RequestRefusal::retryable(RefusalReason::ClaimUnavailable, CLAIM_RETRY_AFTER);
                return FinalResponse::Refused(RunOutcome::NotRun, refusal);
            }
        }
    }
    forward(context, &request.plan, request.body, Some(digest), true).await
}

async fn claim(
    context: &Arc<EntryContext>,
    plan: &RequestPlan,
    digest: KeyDigest,
) -> Option<ClaimDecision> {
    let time_left = plan.deadline.since(context.clock.now());
    let deadline = context.clock.instant(context.clock.now() + time_left / CLAIM_TIME_DIVISOR);
    let decision = context.idempotency_keys.claims.claim(&context.store, context.clock, digest);
    timeout_at(deadline, decision).await.ok()?.ok()
}

/// Forwards the request to the process that claimed the key first, the only one that can know the
/// outcome.
async fn forward_to_claimant(
    context: &Arc<EntryContext>,
    request: AtMostOnceRequest,
    claimant: IncarnationId,
) -> FinalResponse {
    let unknown = FinalResponse::Refused(
        RunOutcome::Unknown,
        RequestRefusal::permanent(RefusalReason::KeyInUse),
    );
    let directory = context.directory.borrow().clone();
    let Some(home) = directory.find(claimant).cloned() else {
        return unknown;
    };
    let AtMostOnceRequest { plan, body, .. } = request;
    match forward_to_peer(context, &plan, body, PeerForwardReason::Home, home.address).await {
        PeerForwardOutcome::Answered(response) => FinalResponse::Streaming(response),
        PeerForwardOutcome::Lost | PeerForwardOutcome::Unsent(_) => unknown,
    }
}

async fn join(
    context: &Arc<EntryContext>,
    plan: &RequestPlan,
    digest: KeyDigest,
) -> Response<Body> {
    let outcome = context.idempotency_keys.join(digest);
    let deadline = context.clock.instant(plan.deadline);
    let pending = RequestRefusal::retryable(RefusalReason::KeyInUse, JOIN_RETRY_AFTER);
    match timeout_at(deadline, outcome).await {
        Ok(Ok(JoinOutcome::Ran(Some(stored)))) => stored.replayed_response(),
        Ok(Ok(JoinOutcome::Ran(None))) => refuse(RunOutcome::Ran, RefusalReason::KeyInUse),
        Ok(Ok(JoinOutcome::NotRun)) => refusal_response(RunOutcome::NotRun, pending),
        Ok(Ok(JoinOutcome::Unknown) | Err(_)) | Err(_) => {
            refusal_response(RunOutcome::Unknown, pending)
        }
    }
}
