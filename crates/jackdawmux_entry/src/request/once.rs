//! Operations that run at most once: finding a key's home, claiming it and running it there.

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

use super::answer::FinalAnswer;
use super::body::RequestBody;
use super::claims::shard_of;
use super::forward::forward;
use super::key_table::{JoinEnd, KEY_RETENTION, TicketStanding};
use super::pass_on::{PassEnd, PassReason, pass_on};
use super::plan::RequestPlan;
use super::refusal::refusal_response;
use crate::process::{DirectoryEntry, EntryContext, EntryDirectory};

/// Longest idempotency key.
const KEY_LONGEST: usize = 256;
/// Part of the time to the deadline that a claim may take.
const CLAIM_SHARE: u32 = 2;
/// Pause suggested when a claim could not be made.
const CLAIM_PAUSE: Duration = Duration::from_secs(1);
/// Pause suggested while a request of the same key runs.
const JOIN_PAUSE: Duration = Duration::from_millis(500);
/// Pause between looks for the successor of a leaving home.
const SUCCESSOR_PAUSE: Duration = Duration::from_millis(50);
/// Clock error allowed in a key that carries its time.
const KEY_CLOCK_ERROR: Duration = Duration::from_secs(60);

/// A request with its key.
#[derive(Debug)]
pub(crate) struct OnceRequest {
    pub(crate) plan: RequestPlan,
    pub(crate) body: RequestBody,
    pub(crate) key: String,
    /// Whether another instance passed it on.
    pub(crate) is_passed_on: bool,
}

/// Where a key may run.
enum KeyHome {
    /// Here, remembered until the given time; `claims` when the store must agree.
    Here { keep_until: PolicyTime, claims: bool },
    /// At another instance.
    There(DirectoryEntry),
    /// At a process that is gone.
    Gone(IncarnationId),
    /// Its former home had begun it.
    Begun,
    /// Nowhere: the key is forged or too old.
    Refused,
}

/// The instance that a caller's own key prefers: the same for all keys of a shard, by rendezvous
/// hashing over usable instances, so that a shard's updates come from one place.
#[must_use]
pub fn home_of_key(directory: &EntryDirectory, key: KeyDigest) -> Option<&DirectoryEntry> {
    let hash = stable_hash(&shard_of(key).to_be_bytes());
    directory
        .entries
        .iter()
        .filter(|entry| entry.is_usable)
        .max_by_key(|entry| mix64(hash ^ entry.incarnation.0))
}

/// Runs a request at most once and returns its final answer.
pub(crate) async fn run_once(context: &Arc<EntryContext>, request: OnceRequest) -> Response<Body> {
    if request.key.is_empty() || request.key.len() > KEY_LONGEST {
        let refusal = RequestRefusal::permanent(RefusalReason::KeyMissing);
        return refusal_response(RunOutcome::NotRun, refusal);
    }
    let digest = digest_of_key(&request.plan.service, &request.key);
    let mut request = request;
    loop {
        let (gone, back) = match find_home(context, &request, digest) {
            KeyHome::Here { keep_until, claims } => {
                return run_here(context, request, digest, keep_until, claims).await;
            }
            KeyHome::There(home) => match run_there(context, request, digest, &home).await {
                ThereEnd::Final(response) => return response,
                ThereEnd::Unsent(request) => (home.incarnation, *request),
            },
            KeyHome::Gone(home) => (home, request),
            KeyHome::Begun => return refuse(RunOutcome::Unknown, RefusalReason::KeyInUse),
            KeyHome::Refused => return refuse(RunOutcome::NotRun, RefusalReason::KeyExpired),
        };
        request = back;
        let now = context.clock.now();
        let is_hopeless =
            !context.idempotency_keys.may_find_successor(now, gone) || now >= request.plan.deadline;
        if is_hopeless {
            // The home may have run it before it went away.
            return refuse(RunOutcome::Unknown, RefusalReason::KeyInUse);
        }
        tokio::time::sleep(SUCCESSOR_PAUSE).await;
    }
}

fn refuse(outcome: RunOutcome, reason: RefusalReason) -> Response<Body> {
    refusal_response(outcome, RequestRefusal::permanent(reason))
}

fn digest_of_key(service: &str, key: &str) -> KeyDigest {
    let mut hash = Sha256::new();
    hash.update(service.as_bytes());
    hash.update([0]);
    hash.update(key.as_bytes());
    let mut digest = [0; 16];
    digest.copy_from_slice(&hash.finalize()[..16]);
    KeyDigest(digest)
}

fn find_home(context: &EntryContext, request: &OnceRequest, digest: KeyDigest) -> KeyHome {
    let now = context.clock.now();
    if is_ticket(&request.key) {
        return ticket_home(context, now, request, digest);
    }
    if is_too_old(&request.key, context.clock.wall_ms()) {
        return KeyHome::Refused;
    }
    let here = KeyHome::Here { keep_until: now + KEY_RETENTION, claims: true };
    if request.is_passed_on {
        return here;
    }
    let directory = context.directory.borrow().clone();
    match home_of_key(&directory, digest) {
        Some(home) if home.incarnation != context.incarnation => KeyHome::There(home.clone()),
        Some(_) | None => here,
    }
}

fn ticket_home(
    context: &EntryContext,
    now: PolicyTime,
    request: &OnceRequest,
    digest: KeyDigest,
) -> KeyHome {
    match context.idempotency_keys.verify(now, &request.key, digest) {
        Ok(TicketStanding::Runnable(ticket)) => {
            KeyHome::Here { keep_until: ticket.expires, claims: false }
        }
        Ok(TicketStanding::Begun) => KeyHome::Begun,
        Err(TicketError::Foreign(home)) => foreign_home(context, request, home),
        Err(TicketError::Malformed | TicketError::Forged | TicketError::Expired) => {
            KeyHome::Refused
        }
    }
}

fn foreign_home(context: &EntryContext, request: &OnceRequest, home: IncarnationId) -> KeyHome {
    let directory = context.directory.borrow().clone();
    match directory.find(home) {
        Some(entry) if !request.is_passed_on => KeyHome::There(entry.clone()),
        Some(_) | None => KeyHome::Gone(home),
    }
}

/// A version 7 UUID carries the time of its making; one older than the retention is refused,
/// because what became of it may have been forgotten.
fn is_too_old(key: &str, wall_ms: u64) -> bool {
    let hex: String = key.chars().filter(|c| *c != '-').collect();
    let is_uuid7 = key.len() == 36
        && hex.len() == 32
        && hex.as_bytes()[12] == b'7'
        && hex.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_uuid7 {
        return false;
    }
    let made_ms = u64::from_str_radix(&hex[..12], 16).unwrap_or(0);
    let kept = KEY_RETENTION.saturating_sub(KEY_CLOCK_ERROR);
    let kept_ms = u64::try_from(kept.as_millis()).unwrap_or(u64::MAX);
    wall_ms > made_ms.saturating_add(kept_ms)
}

/// How a request that was passed on to its home ended.
enum ThereEnd {
    /// With a final answer.
    Final(Response<Body>),
    /// A ticket whose home could not be reached; nothing was sent.
    Unsent(Box<OnceRequest>),
}

async fn run_there(
    context: &Arc<EntryContext>,
    request: OnceRequest,
    digest: KeyDigest,
    home: &DirectoryEntry,
) -> ThereEnd {
    let OnceRequest { plan, body, key, is_passed_on } = request;
    match pass_on(context, &plan, body, PassReason::Home, home.address).await {
        PassEnd::Answered(response) => ThereEnd::Final(response),
        PassEnd::Lost => {
            let refusal = RequestRefusal::retryable(RefusalReason::UpstreamLost, JOIN_PAUSE);
            ThereEnd::Final(refusal_response(RunOutcome::Unknown, refusal))
        }
        PassEnd::Unsent(body) if is_ticket(&key) => {
            ThereEnd::Unsent(Box::new(OnceRequest { plan, body, key, is_passed_on }))
        }
        PassEnd::Unsent(body) => {
            // The preference only saves conflicts; the claim decides.
            let request = OnceRequest { plan, body, key, is_passed_on: true };
            let keep_until = context.clock.now() + KEY_RETENTION;
            ThereEnd::Final(run_here(context, request, digest, keep_until, true).await)
        }
    }
}

async fn run_here(
    context: &Arc<EntryContext>,
    request: OnceRequest,
    digest: KeyDigest,
    keep_until: PolicyTime,
    claims: bool,
) -> Response<Body> {
    let now = context.clock.now();
    match context.idempotency_keys.begin(now, digest, keep_until) {
        BeginDecision::Run => {
            // A task of its own: the request goes on when its caller leaves, so that its outcome
            // is known to the repeat that is sure to come.
            let context = Arc::clone(context);
            let task = tokio::spawn(async move {
                let mut guard = EndGuard { context: &context, digest, is_ended: false };
                let answer = claim_and_run(&context, request, digest, claims).await;
                guard.end(&answer);
                answer
            });
            match task.await {
                Ok(response) => response.into_response(),
                Err(_) => refuse(RunOutcome::Unknown, RefusalReason::UpstreamLost),
            }
        }
        BeginDecision::Join => join(context, &request.plan, digest).await,
        BeginDecision::Replay(answer) => answer.replayed(),
        BeginDecision::AnswerDropped => refuse(RunOutcome::Ran, RefusalReason::KeyInUse),
        BeginDecision::Unknown => refuse(RunOutcome::Unknown, RefusalReason::KeyInUse),
        BeginDecision::Full => {
            let refusal = RequestRefusal::retryable(RefusalReason::Overloaded, CLAIM_PAUSE);
            refusal_response(RunOutcome::NotRun, refusal)
        }
    }
}

/// Ends the key even if the task fails in between.
struct EndGuard<'task> {
    context: &'task Arc<EntryContext>,
    digest: KeyDigest,
    is_ended: bool,
}

impl EndGuard<'_> {
    fn end(&mut self, answer: &FinalAnswer) {
        self.is_ended = true;
        let end = match answer {
            FinalAnswer::Held(answer) => JoinEnd::Ran(Some(Arc::clone(answer))),
            FinalAnswer::Streaming(_) => JoinEnd::Ran(None),
            FinalAnswer::Refused(RunOutcome::NotRun, _) => JoinEnd::NotRun,
            FinalAnswer::Refused(RunOutcome::Ran, _) => JoinEnd::Ran(None),
            FinalAnswer::Refused(RunOutcome::Unknown, _) => JoinEnd::Unknown,
        };
        self.context.idempotency_keys.end(self.context.clock.now(), self.digest, end);
    }
}

impl Drop for EndGuard<'_> {
    fn drop(&mut self) {
        if !self.is_ended {
            self.context.idempotency_keys.end(
                self.context.clock.now(),
                self.digest,
                JoinEnd::Unknown,
            );
        }
    }
}

async fn claim_and_run(
    context: &Arc<EntryContext>,
    request: OnceRequest,
    digest: KeyDigest,
    claims: bool,
) -> FinalAnswer {
    if claims {
        match claim(context, &request.plan, digest).await {
            Some(ClaimDecision::Won) => {}
            Some(ClaimDecision::Held(holder)) => {
                return held_elsewhere(context, request, holder).await;
            }
            Some(ClaimDecision::Full) | None => {
                let refusal =
                    RequestRefusal::retryable(RefusalReason::ClaimUnavailable, CLAIM_PAUSE);
                return FinalAnswer::Refused(RunOutcome::NotRun, refusal);
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
    let left = plan.deadline.since(context.clock.now());
    let until = context.clock.instant(context.clock.now() + left / CLAIM_SHARE);
    let verdict = context.idempotency_keys.claims.claim(&context.store, context.clock, digest);
    timeout_at(until, verdict).await.ok()?.ok()
}

/// Another process claimed the key first: it knows the answer, or nobody does.
async fn held_elsewhere(
    context: &Arc<EntryContext>,
    request: OnceRequest,
    holder: IncarnationId,
) -> FinalAnswer {
    let unknown = FinalAnswer::Refused(
        RunOutcome::Unknown,
        RequestRefusal::permanent(RefusalReason::KeyInUse),
    );
    let directory = context.directory.borrow().clone();
    let Some(home) = directory.find(holder).cloned() else {
        return unknown;
    };
    let OnceRequest { plan, body, .. } = request;
    match pass_on(context, &plan, body, PassReason::Home, home.address).await {
        PassEnd::Answered(response) => FinalAnswer::Streaming(response),
        PassEnd::Lost | PassEnd::Unsent(_) => unknown,
    }
}

async fn join(
    context: &Arc<EntryContext>,
    plan: &RequestPlan,
    digest: KeyDigest,
) -> Response<Body> {
    let ended = context.idempotency_keys.join(digest);
    let until = context.clock.instant(plan.deadline);
    let pending = RequestRefusal::retryable(RefusalReason::KeyInUse, JOIN_PAUSE);
    match timeout_at(until, ended).await {
        Ok(Ok(JoinEnd::Ran(Some(answer)))) => answer.replayed(),
        Ok(Ok(JoinEnd::Ran(None))) => refuse(RunOutcome::Ran, RefusalReason::KeyInUse),
        Ok(Ok(JoinEnd::NotRun)) => refusal_response(RunOutcome::NotRun, pending),
        Ok(Ok(JoinEnd::Unknown) | Err(_)) | Err(_) => {
            refusal_response(RunOutcome::Unknown, pending)
        }
    }
}
