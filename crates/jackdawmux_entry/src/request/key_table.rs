//! Idempotency keys at this process: tickets, the register of keys, and requests that wait for the
//! outcome of another request with the same key.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::idempotency::{
    BeginDecision, ExecutionOutcome, IdempotencyRegister, IdempotencySettings, KeyDigest,
};
use jackdawmux_policy::identity::IncarnationId;
use jackdawmux_policy::ticket::{
    AdoptedTickets, HomeTicket, TicketError, TicketHandover, TicketIssuer,
};
use tokio::sync::oneshot;

use super::claims::ClaimClient;
use super::response::StoredResponse;

const TICKET_LIFETIME: Duration = Duration::from_secs(600);
/// Retention time of keys that callers chose themselves.
pub(crate) const KEY_RETENTION: Duration = Duration::from_secs(900);
/// Maximum number of keys in the register.
const MAX_KEYS: usize = 60_000;
/// Maximum total size of stored responses, headers included.
const MAX_STORED_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Time within which the successor of a leaving process is expected to be announced.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of recorded successors. Without the successor of its issuer, the outcome of a
/// ticket is unknown.
const MAX_SUCCESSORS: usize = 4_096;

/// Status of a ticket that verified.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TicketStatus {
    /// Its request may run here.
    Runnable(HomeTicket),
    /// A former holder of the ticket has already started its request.
    Started,
}

/// Outcome of a request, as sent to waiting requests with the same key.
#[derive(Clone, Debug)]
pub(crate) enum JoinOutcome {
    Ran(Option<Arc<StoredResponse>>),
    NotRun,
    Unknown,
}

#[derive(Debug)]
struct TableState {
    register: IdempotencyRegister<Arc<StoredResponse>>,
    issuer: TicketIssuer,
    waiters: HashMap<KeyDigest, Vec<oneshot::Sender<JoinOutcome>>>,
    handovers: HashMap<IncarnationId, AdoptedTickets>,
    successors: HashMap<IncarnationId, IncarnationId>,
    leaving: HashMap<IncarnationId, PolicyTime>,
}

/// Idempotency keys of operations that run at most once.
#[derive(Debug)]
pub struct IdempotencyKeyTable {
    state: Mutex<TableState>,
    pub(crate) claims: ClaimClient,
}

impl IdempotencyKeyTable {
    /// Creates an empty table with a random ticket secret. The secret leaves this process only in
    /// the handover to its successor.
    #[must_use]
    pub fn new(own: IncarnationId) -> Self {
        let settings = IdempotencySettings {
            retention: KEY_RETENTION,
            key_limit: MAX_KEYS,
            response_bytes_limit: MAX_STORED_RESPONSE_BYTES,
        };
        let issuer = TicketIssuer::new(own, rand::random(), TICKET_LIFETIME);
        let register = IdempotencyRegister::new(settings);
        let state = Mutex::new(TableState {
            register,
            issuer,
            waiters: HashMap::new(),
            handovers: HashMap::new(),
            successors: HashMap::new(),
            leaving: HashMap::new(),
        });
        Self { state, claims: ClaimClient::new(own) }
    }

    pub(crate) fn issue(&self, now: PolicyTime, count: usize) -> Vec<String> {
        let mut state = self.lock();
        (0..count).map(|_| state.issuer.issue(now)).collect()
    }

    /// Verifies a ticket issued by this process or by one whose tickets it has taken over.
    pub(crate) fn verify(
        &self,
        now: PolicyTime,
        text: &str,
        key: KeyDigest,
    ) -> Result<TicketStatus, TicketError> {
        let state = self.lock();
        match state.issuer.verify(now, text) {
            Ok(ticket) => Ok(TicketStatus::Runnable(ticket)),
            Err(TicketError::Foreign(home)) => {
                let Some(handover) = state.handovers.get(&home) else {
                    let home = state.successors.get(&home).copied().unwrap_or(home);
                    return Err(TicketError::Foreign(home));
                };
                let ticket = handover.verify(now, text)?;
                let has_started = handover.has_started(&key);
                Ok(if has_started { TicketStatus::Started } else { TicketStatus::Runnable(ticket) })
            }
            Err(error) => Err(error),
        }
    }

    /// Handovers to the successor of this process: its own tickets and those that it adopted. Must
    /// be called after this process has stopped and runs no more requests.
    pub(crate) fn handovers(
        &self,
        home: IncarnationId,
        successor: IncarnationId,
        now: PolicyTime,
    ) -> Vec<TicketHandover> {
        let state = self.lock();
        let started: Vec<KeyDigest> = state.register.keys().collect();
        let adopted =
            state.handovers.values().map(|tickets| tickets.handover_to(successor, now, &started));
        let mut handovers: Vec<TicketHandover> = adopted.collect();
        let secret = state.issuer.secret();
        handovers.push(TicketHandover { home, successor, secret, stopped_at: now, started });
        handovers
    }

    /// Adopts the tickets of a process that has stopped.
    pub(crate) fn adopt(&self, now: PolicyTime, handover: TicketHandover) {
        let home = handover.home;
        self.lock().handovers.entry(home).or_insert_with(|| AdoptedTickets::new(handover, now));
    }

    /// Records which process holds the tickets of a process that has stopped.
    pub(crate) fn record_successor(&self, home: IncarnationId, successor: IncarnationId) {
        let mut state = self.lock();
        if state.successors.len() >= MAX_SUCCESSORS {
            state.successors.clear();
        }
        state.successors.insert(home, successor);
    }

    /// Records that a process announced its leave, after which its tickets go to a successor.
    pub(crate) fn record_leaving(&self, now: PolicyTime, home: IncarnationId) {
        let mut state = self.lock();
        state.leaving.retain(|_, recorded| now.since(*recorded) < SUCCESSOR_TIMEOUT);
        state.leaving.insert(home, now);
    }

    /// Whether the successor of a process may still be announced: either the process announced its
    /// leave within the successor timeout, or this process started too recently to have received
    /// heartbeats that list what its peers hold.
    pub(crate) fn may_find_successor(&self, now: PolicyTime, home: IncarnationId) -> bool {
        let is_recently_started = now < PolicyTime::default() + SUCCESSOR_TIMEOUT;
        let state = self.lock();
        let recorded = state.leaving.get(&home);
        is_recently_started
            || recorded.is_some_and(|recorded| now.since(*recorded) < SUCCESSOR_TIMEOUT)
    }

    pub(crate) fn begin(
        &self,
        now: PolicyTime,
        key: KeyDigest,
        keep_until: PolicyTime,
    ) -> BeginDecision<Arc<StoredResponse>> {
        self.lock().register.begin(now, key, keep_until)
    }

    /// Marks the key as sent, before the first byte of its request. Returns false when the request
    /// must not be sent.
    pub(crate) fn mark_sent(&self, key: KeyDigest) -> bool {
        self.lock().register.mark_sent(key)
    }

    /// Marks the key as not started by the upstream, so that another attempt may be made.
    pub(crate) fn mark_refused(&self, key: KeyDigest) {
        self.lock().register.mark_refused(key);
    }

    /// Returns a receiver for the outcome of the running request with the same key.
    pub(crate) fn join(&self, key: KeyDigest) -> oneshot::Receiver<JoinOutcome> {
        let (sender, receiver) = oneshot::channel();
        self.lock().waiters.entry(key).or_default().push(sender);
        receiver
    }

    /// Records the outcome of a request and sends it to the requests that wait for it.
    pub(crate) fn complete(&self, now: PolicyTime, key: KeyDigest, outcome: JoinOutcome) {
        let mut state = self.lock();
        let stored = match &outcome {
            JoinOutcome::NotRun => ExecutionOutcome::NotRun,
            JoinOutcome::Unknown => ExecutionOutcome::Unknown,
            JoinOutcome::Ran(response) => ExecutionOutcome::Ran(
                response.clone().map(|response| (Arc::clone(&response), response.size())),
            ),
        };
        state.register.end(now, key, stored);
        for waiter in state.waiters.remove(&key).unwrap_or_default() {
            // The caller of a waiting request may have disconnected.
            let _dropped = waiter.send(outcome.clone());
        }
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
