//! Idempotency keys at this process: tickets, the register and those who wait for an answer.

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

use super::answer::StoredAnswer;
use super::claims::ClaimClient;

/// Time for which a ticket can be used.
const TICKET_LIFETIME: Duration = Duration::from_secs(600);
/// Time for which a caller's own key is remembered.
pub(crate) const KEY_RETENTION: Duration = Duration::from_secs(900);
/// Most keys remembered.
const KEY_LIMIT: usize = 60_000;
/// Most bytes of answers remembered.
const ANSWER_BYTES_LIMIT: usize = 8 * 1024 * 1024;

/// Time in which the successor of a leaving process becomes known.
const SUCCESSOR_EXPECTED: Duration = Duration::from_secs(3);
/// Successors remembered; without one, a ticket's outcome is unknown.
const SUCCESSOR_LIMIT: usize = 4_096;

/// What may be done with a genuine ticket.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TicketStanding {
    /// It may run here.
    Runnable(HomeTicket),
    /// Its former home had begun it.
    Begun,
}

/// How the request that others wait for ended.
#[derive(Clone, Debug)]
pub(crate) enum JoinEnd {
    Ran(Option<Arc<StoredAnswer>>),
    NotRun,
    Unknown,
}

#[derive(Debug)]
struct OnceState {
    register: IdempotencyRegister<Arc<StoredAnswer>>,
    issuer: TicketIssuer,
    joiners: HashMap<KeyDigest, Vec<oneshot::Sender<JoinEnd>>>,
    handovers: HashMap<IncarnationId, AdoptedTickets>,
    successors: HashMap<IncarnationId, IncarnationId>,
    leaving: HashMap<IncarnationId, PolicyTime>,
}

/// Keys of operations that run at most once.
#[derive(Debug)]
pub struct IdempotencyKeyTable {
    state: Mutex<OnceState>,
    pub(crate) claims: ClaimClient,
}

impl IdempotencyKeyTable {
    /// A scheduler with a fresh ticket secret, which never leaves this process.
    #[must_use]
    pub fn new(own: IncarnationId) -> Self {
        let settings = IdempotencySettings {
            retention: KEY_RETENTION,
            key_limit: KEY_LIMIT,
            answer_bytes_limit: ANSWER_BYTES_LIMIT,
        };
        let issuer = TicketIssuer::new(own, rand::random(), TICKET_LIFETIME);
        let register = IdempotencyRegister::new(settings);
        let state = Mutex::new(OnceState {
            register,
            issuer,
            joiners: HashMap::new(),
            handovers: HashMap::new(),
            successors: HashMap::new(),
            leaving: HashMap::new(),
        });
        Self { state, claims: ClaimClient::new(own) }
    }

    /// Issues tickets.
    pub(crate) fn issue(&self, now: PolicyTime, count: usize) -> Vec<String> {
        let mut state = self.lock();
        (0..count).map(|_| state.issuer.issue(now)).collect()
    }

    /// Verifies a ticket of this process, or of one whose handover it holds.
    pub(crate) fn verify(
        &self,
        now: PolicyTime,
        text: &str,
        key: KeyDigest,
    ) -> Result<TicketStanding, TicketError> {
        let state = self.lock();
        match state.issuer.verify(now, text) {
            Ok(ticket) => Ok(TicketStanding::Runnable(ticket)),
            Err(TicketError::Foreign(home)) => {
                let Some(handover) = state.handovers.get(&home) else {
                    let home = state.successors.get(&home).copied().unwrap_or(home);
                    return Err(TicketError::Foreign(home));
                };
                let ticket = handover.verify(now, text)?;
                let is_begun = handover.has_begun(&key);
                Ok(if is_begun { TicketStanding::Begun } else { TicketStanding::Runnable(ticket) })
            }
            Err(error) => Err(error),
        }
    }

    /// What this process passes on to its successor, once it has stopped and runs nothing more: its own
    /// tickets and those that it adopted.
    pub(crate) fn handovers(
        &self,
        home: IncarnationId,
        successor: IncarnationId,
        now: PolicyTime,
    ) -> Vec<TicketHandover> {
        let state = self.lock();
        let begun: Vec<KeyDigest> = state.register.keys().collect();
        let adopted = state.handovers.values().map(|held| held.handover_to(successor, now, &begun));
        let mut handovers: Vec<TicketHandover> = adopted.collect();
        let secret = state.issuer.secret();
        handovers.push(TicketHandover { home, successor, secret, stopped_at: now, begun });
        handovers
    }

    /// Takes over the tickets of a process that has stopped.
    pub(crate) fn adopt(&self, now: PolicyTime, handover: TicketHandover) {
        let home = handover.home;
        self.lock().handovers.entry(home).or_insert_with(|| AdoptedTickets::new(handover, now));
    }

    /// Notes who holds the tickets of a process that has stopped.
    pub(crate) fn record_successor(&self, home: IncarnationId, successor: IncarnationId) {
        let mut state = self.lock();
        if state.successors.len() >= SUCCESSOR_LIMIT {
            state.successors.clear();
        }
        state.successors.insert(home, successor);
    }

    /// A process says that it leaves; its tickets will pass to an successor.
    pub(crate) fn record_leaving(&self, now: PolicyTime, home: IncarnationId) {
        let mut state = self.lock();
        state.leaving.retain(|_, noted| now.since(*noted) < SUCCESSOR_EXPECTED);
        state.leaving.insert(home, now);
    }

    /// Whether an successor of a process may still come to be known: it said lately that it leaves, or
    /// this process is too young to have heard of what its peers hold.
    pub(crate) fn may_find_successor(&self, now: PolicyTime, home: IncarnationId) -> bool {
        let is_young = now < PolicyTime::default() + SUCCESSOR_EXPECTED;
        let state = self.lock();
        let noted = state.leaving.get(&home);
        is_young || noted.is_some_and(|noted| now.since(*noted) < SUCCESSOR_EXPECTED)
    }

    pub(crate) fn begin(
        &self,
        now: PolicyTime,
        key: KeyDigest,
        keep_until: PolicyTime,
    ) -> BeginDecision<Arc<StoredAnswer>> {
        self.lock().register.begin(now, key, keep_until)
    }

    /// A byte of the request is about to be sent; false when it must not be.
    pub(crate) fn mark_sent(&self, key: KeyDigest) -> bool {
        self.lock().register.mark_sent(key)
    }

    /// The upstream did not start the request.
    pub(crate) fn mark_refused(&self, key: KeyDigest) {
        self.lock().register.mark_refused(key);
    }

    /// Waits for the request of the same key that is under way.
    pub(crate) fn join(&self, key: KeyDigest) -> oneshot::Receiver<JoinEnd> {
        let (sender, receiver) = oneshot::channel();
        self.lock().joiners.entry(key).or_default().push(sender);
        receiver
    }

    /// Records how a request ended and tells those who wait for it.
    pub(crate) fn end(&self, now: PolicyTime, key: KeyDigest, end: JoinEnd) {
        let mut state = self.lock();
        let stored = match &end {
            JoinEnd::NotRun => ExecutionOutcome::NotRun,
            JoinEnd::Unknown => ExecutionOutcome::Unknown,
            JoinEnd::Ran(answer) => ExecutionOutcome::Ran(
                answer.clone().map(|answer| (Arc::clone(&answer), answer.size())),
            ),
        };
        state.register.end(now, key, stored);
        for joiner in state.joiners.remove(&key).unwrap_or_default() {
            // A joiner whose caller has gone needs no answer.
            let _gone = joiner.send(end.clone());
        }
    }

    fn lock(&self) -> MutexGuard<'_, OnceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
