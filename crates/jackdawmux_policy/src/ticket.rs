//! Tickets: idempotency keys issued by this system and bound to the process that issued them.
//!
//! A ticket contains the incarnation of the process that issued it (its home), a sequence number
//! and an expiry on the home's monotonic clock. It is authenticated with a secret that exists only
//! in the home's memory. Only the home executes requests with it, or the successor to which a
//! leaving home hands its tickets over. Therefore neither a store call nor synchronized clocks are
//! needed.

use std::collections::HashSet;
use std::fmt;
use std::time::Duration;

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use strum::Display;

use crate::clock::PolicyTime;
use crate::idempotency::KeyDigest;
use crate::identity::IncarnationId;

/// Prefix of every ticket.
pub const TICKET_PREFIX: &str = "jt1-";
/// Bytes of the authentication code that a ticket contains; the rest is truncated.
const CODE_BYTES: usize = 16;

/// Reason for which a ticket was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum TicketError {
    /// The text does not have the format of a ticket.
    Malformed,
    /// The ticket was issued by this other process.
    Foreign(IncarnationId),
    /// The authentication code does not match.
    Forged,
    /// The ticket has expired.
    Expired,
}

/// A verified ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HomeTicket {
    /// The process that issued it; only this process, or its successor, may execute the request.
    pub home: IncarnationId,
    /// Sequence number assigned by the home.
    pub sequence: u64,
    /// Expiry on the home's clock.
    pub expires_at: PolicyTime,
}

/// Issues and verifies the tickets of one process.
#[derive(Debug)]
pub struct TicketIssuer {
    home: IncarnationId,
    secret: [u8; 32],
    lifetime: Duration,
    next_sequence: u64,
}

impl TicketIssuer {
    /// Creates an issuer. The secret must come from a cryptographic random generator.
    #[must_use]
    pub const fn new(home: IncarnationId, secret: [u8; 32], lifetime: Duration) -> Self {
        Self { home, secret, lifetime, next_sequence: 0 }
    }

    /// Issues a new ticket that is valid for the issuer's lifetime setting.
    pub fn issue(&mut self, now: PolicyTime) -> String {
        let ticket = HomeTicket {
            home: self.home,
            sequence: self.next_sequence,
            expires_at: now + self.lifetime,
        };
        self.next_sequence += 1;
        let body = body_text(&ticket);
        let code = self.code(&body);
        format!("{body}-{code}")
    }

    /// The secret under which tickets are authenticated, for the handover when this process leaves.
    #[must_use]
    pub const fn secret(&self) -> [u8; 32] {
        self.secret
    }

    /// Verifies a ticket issued by this process.
    ///
    /// # Errors
    /// When the text is malformed, or the ticket is of another process, forged or expired.
    pub fn verify(&self, now: PolicyTime, text: &str) -> Result<HomeTicket, TicketError> {
        let (body, code) = text.rsplit_once('-').ok_or(TicketError::Malformed)?;
        let ticket = parse_body(body).ok_or(TicketError::Malformed)?;
        if ticket.home != self.home {
            return Err(TicketError::Foreign(ticket.home));
        }
        if !is_equal_in_constant_time(self.code(body).as_bytes(), code.as_bytes()) {
            return Err(TicketError::Forged);
        }
        if ticket.expires_at <= now {
            return Err(TicketError::Expired);
        }
        Ok(ticket)
    }

    fn code(&self, body: &str) -> String {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.secret).expect("HMAC takes keys of any length");
        mac.update(body.as_bytes());
        let digest = mac.finalize().into_bytes();
        digest[..CODE_BYTES].iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

/// State that a leaving home sends to one successor after it has stopped: enough to verify its
/// tickets and to know for which of them a request must not be executed.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketHandover {
    /// The process that issued the tickets.
    pub home: IncarnationId,
    /// The only process that may execute requests with them from now on.
    pub successor: IncarnationId,
    /// Secret under which the home authenticated its tickets.
    pub secret: [u8; 32],
    /// The home's clock when it stopped.
    pub stopped_at: PolicyTime,
    /// Digests of the keys for which the home has started a request.
    #[serde(rename = "begun")]
    pub started: Vec<KeyDigest>,
}

impl fmt::Debug for TicketHandover {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { home, successor, started, .. } = self;
        write!(
            formatter,
            "TicketHandover({home} to {successor}, {} started, secret hidden)",
            started.len()
        )
    }
}

/// Tickets of a former home, at the successor that received the handover.
#[derive(Debug)]
pub struct AdoptedTickets {
    issuer: TicketIssuer,
    stopped_at: PolicyTime,
    received_at: PolicyTime,
    started: HashSet<KeyDigest>,
}

impl AdoptedTickets {
    /// Adopts the tickets of a handover received at `now`.
    #[must_use]
    pub fn new(handover: TicketHandover, now: PolicyTime) -> Self {
        let issuer = TicketIssuer::new(handover.home, handover.secret, Duration::ZERO);
        let started = handover.started.into_iter().collect();
        Self { issuer, stopped_at: handover.stopped_at, received_at: now, started }
    }

    /// Verifies a ticket of the former home and converts its expiry to this process's clock.
    ///
    /// # Errors
    /// When the text is malformed, or the ticket is of another process, forged or expired.
    pub fn verify(&self, now: PolicyTime, text: &str) -> Result<HomeTicket, TicketError> {
        let home_now = self.stopped_at + now.since(self.received_at);
        let ticket = self.issuer.verify(home_now, text)?;
        let expires_at = now + ticket.expires_at.since(home_now);
        Ok(HomeTicket { expires_at, ..ticket })
    }

    /// Makes a handover of the adopted tickets to the next successor, when this process leaves in
    /// turn. `started_here` are the keys for which this process has started a request.
    #[must_use]
    pub fn handover_to(
        &self,
        successor: IncarnationId,
        now: PolicyTime,
        started_here: &[KeyDigest],
    ) -> TicketHandover {
        TicketHandover {
            home: self.issuer.home,
            successor,
            secret: self.issuer.secret,
            stopped_at: self.stopped_at + now.since(self.received_at),
            started: self.started.iter().chain(started_here).copied().collect(),
        }
    }

    /// Whether the former home had started a request with the key.
    #[must_use]
    pub fn has_started(&self, key: &KeyDigest) -> bool {
        self.started.contains(key)
    }
}

/// Whether `key` has the prefix of a ticket; the ticket is not verified.
#[must_use]
pub fn is_ticket(key: &str) -> bool {
    key.starts_with(TICKET_PREFIX)
}

fn body_text(ticket: &HomeTicket) -> String {
    format!("{TICKET_PREFIX}{}-{:x}-{:x}", ticket.home, ticket.sequence, ticket.expires_at.0)
}

fn parse_body(body: &str) -> Option<HomeTicket> {
    let rest = body.strip_prefix(TICKET_PREFIX)?;
    let mut parts = rest.split('-');
    let home = IncarnationId::from_hex(parts.next()?)?;
    let sequence = u64::from_str_radix(parts.next()?, 16).ok()?;
    let expires_at = PolicyTime(u64::from_str_radix(parts.next()?, 16).ok()?);
    parts.next().is_none().then_some(HomeTicket { home, sequence, expires_at })
}

fn is_equal_in_constant_time(left: &[u8], right: &[u8]) -> bool {
    left.len() == right.len()
        && left.iter().zip(right).fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
}
