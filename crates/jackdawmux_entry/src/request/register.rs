//! Idempotency keys at this process: tickets, the register and those who wait for an answer.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::identity::IncarnationId;
use jackdawmux_policy::once::{BeginVerdict, KeyDigest, OnceEnd, OnceRegister, OnceSettings};
use jackdawmux_policy::ticket::{HomeTicket, TicketError, TicketIssuer};
use tokio::sync::oneshot;

use super::answer::StoredAnswer;
use super::claims::ClaimDesk;

/// Time for which a ticket can be used.
const TICKET_LIFETIME: Duration = Duration::from_secs(600);
/// Time for which a caller's own key is remembered.
pub(crate) const KEY_RETENTION: Duration = Duration::from_secs(900);
/// Most keys remembered.
const KEY_LIMIT: usize = 60_000;
/// Most bytes of answers remembered.
const ANSWER_BYTES_LIMIT: usize = 8 * 1024 * 1024;

/// How the request that others wait for ended.
#[derive(Clone, Debug)]
pub(crate) enum JoinEnd {
    Ran(Option<Arc<StoredAnswer>>),
    NotRun,
    Unknown,
}

#[derive(Debug)]
struct OnceState {
    register: OnceRegister<Arc<StoredAnswer>>,
    issuer: TicketIssuer,
    joiners: HashMap<KeyDigest, Vec<oneshot::Sender<JoinEnd>>>,
}

/// Keys of operations that run at most once.
#[derive(Debug)]
pub struct OnceDesk {
    state: Mutex<OnceState>,
    pub(crate) claims: ClaimDesk,
}

impl OnceDesk {
    /// A desk with a fresh ticket secret, which never leaves this process.
    #[must_use]
    pub fn new(own: IncarnationId) -> Self {
        let settings = OnceSettings {
            retention: KEY_RETENTION,
            key_limit: KEY_LIMIT,
            answer_bytes_limit: ANSWER_BYTES_LIMIT,
        };
        let issuer = TicketIssuer::new(own, rand::random(), TICKET_LIFETIME);
        let register = OnceRegister::new(settings);
        let state = Mutex::new(OnceState { register, issuer, joiners: HashMap::new() });
        Self { state, claims: ClaimDesk::new(own) }
    }

    /// Issues tickets.
    pub(crate) fn issue(&self, now: PolicyTime, count: usize) -> Vec<String> {
        let mut state = self.lock();
        (0..count).map(|_| state.issuer.issue(now)).collect()
    }

    /// Verifies a ticket of this process.
    pub(crate) fn verify(&self, now: PolicyTime, text: &str) -> Result<HomeTicket, TicketError> {
        self.lock().issuer.verify(now, text)
    }

    pub(crate) fn begin(
        &self,
        now: PolicyTime,
        key: KeyDigest,
        keep_until: PolicyTime,
    ) -> BeginVerdict<Arc<StoredAnswer>> {
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
            JoinEnd::NotRun => OnceEnd::NotRun,
            JoinEnd::Unknown => OnceEnd::Unknown,
            JoinEnd::Ran(answer) => {
                OnceEnd::Ran(answer.clone().map(|answer| (Arc::clone(&answer), answer.size())))
            }
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
