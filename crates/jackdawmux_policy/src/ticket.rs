//! System-issued idempotency keys, bound to the process that issued them.
//!
//! A ticket names its home incarnation, a sequence number and an expiry on the home's own
//! monotonic clock, authenticated under a key that exists only in the home's memory. Only the
//! home ever runs it, so no store call and no agreement of clocks is needed.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::time::Duration;
use strum::Display;

use crate::clock::PolicyTime;
use crate::identity::IncarnationId;

/// First characters of every ticket.
pub const TICKET_PREFIX: &str = "jt1-";
/// Bytes of the authentication code kept in a ticket.
const CODE_BYTES: usize = 16;

/// Why a ticket was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum TicketError {
    /// Not of a ticket's shape.
    Malformed,
    /// Issued by another process.
    Foreign(IncarnationId),
    /// The authentication code does not match.
    Forged,
    /// Past its expiry.
    Expired,
}

/// A verified ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HomeTicket {
    /// The only process that may run it.
    pub home: IncarnationId,
    /// Number given by the home.
    pub sequence: u64,
    /// Expiry on the home's clock.
    pub expires: PolicyTime,
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
    /// An issuer with a secret that must come from a cryptographic generator.
    #[must_use]
    pub const fn new(home: IncarnationId, secret: [u8; 32], lifetime: Duration) -> Self {
        Self { home, secret, lifetime, next_sequence: 0 }
    }

    /// Issues the text of a new ticket.
    pub fn issue(&mut self, now: PolicyTime) -> String {
        let ticket = HomeTicket {
            home: self.home,
            sequence: self.next_sequence,
            expires: now + self.lifetime,
        };
        self.next_sequence += 1;
        let body = body_text(&ticket);
        let code = self.code(&body);
        format!("{body}-{code}")
    }

    /// Verifies a ticket issued by this process.
    ///
    /// # Errors
    /// When the text is malformed, of another process, forged or expired.
    pub fn verify(&self, now: PolicyTime, text: &str) -> Result<HomeTicket, TicketError> {
        let (body, code) = text.rsplit_once('-').ok_or(TicketError::Malformed)?;
        let ticket = parse_body(body).ok_or(TicketError::Malformed)?;
        if ticket.home != self.home {
            return Err(TicketError::Foreign(ticket.home));
        }
        if !is_equal_in_constant_time(self.code(body).as_bytes(), code.as_bytes()) {
            return Err(TicketError::Forged);
        }
        if ticket.expires <= now {
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

/// Whether `key` claims to be a ticket.
#[must_use]
pub fn is_ticket(key: &str) -> bool {
    key.starts_with(TICKET_PREFIX)
}

/// The home named by a ticket, without verifying it.
#[must_use]
pub fn claimed_home(key: &str) -> Option<IncarnationId> {
    let (body, _) = key.rsplit_once('-')?;
    parse_body(body).map(|ticket| ticket.home)
}

fn body_text(ticket: &HomeTicket) -> String {
    format!("{TICKET_PREFIX}{}-{:x}-{:x}", ticket.home, ticket.sequence, ticket.expires.0)
}

fn parse_body(body: &str) -> Option<HomeTicket> {
    let rest = body.strip_prefix(TICKET_PREFIX)?;
    let mut parts = rest.split('-');
    let home = IncarnationId::from_hex(parts.next()?)?;
    let sequence = u64::from_str_radix(parts.next()?, 16).ok()?;
    let expires = PolicyTime(u64::from_str_radix(parts.next()?, 16).ok()?);
    parts.next().is_none().then_some(HomeTicket { home, sequence, expires })
}

fn is_equal_in_constant_time(left: &[u8], right: &[u8]) -> bool {
    left.len() == right.len()
        && left.iter().zip(right).fold(0, |difference, (one, two)| difference | (one ^ two)) == 0
}
