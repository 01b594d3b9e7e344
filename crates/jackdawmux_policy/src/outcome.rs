//! What became of a request, as told to its caller.

use std::time::Duration;

use strum::{AsRefStr, Display, EnumString};

/// Whether a request took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, AsRefStr, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum RunOutcome {
    /// No byte of the request reached an upstream, or the upstream itself said so.
    NotRun,
    /// The request ran and its answer is known.
    Ran,
    /// The request may have run; the system never repeats it.
    Unknown,
}

/// Why a request was given up on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, AsRefStr, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// No configuration is in force yet.
    NoConfiguration,
    /// The service, or no operation of it, matches the request.
    NoRoute,
    /// The request is malformed or breaks a stated limit.
    BadRequest,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body came too slowly.
    BodyTooSlow,
    /// An operation that runs at most once came without an idempotency key.
    KeyMissing,
    /// The idempotency key is forged, or older than the stated retention.
    KeyExpired,
    /// The same key already runs, ran, or may have run elsewhere.
    KeyInUse,
    /// The claim of the key could not be made in time.
    ClaimUnavailable,
    /// No endpoint of the service may be used now.
    NoUpstream,
    /// All capacity is in use and the wait would exceed the deadline.
    Overloaded,
    /// The deadline passed before the request was sent.
    DeadlinePassed,
    /// The request has brought down upstreams and is no longer run.
    Poisonous,
    /// The upstream refused and no retry was allowed.
    UpstreamRefused,
    /// The exchange with the upstream failed after the request was sent.
    UpstreamLost,
    /// The instance is leaving and takes no new requests.
    Leaving,
}

/// The final answer for a request that was given up on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Why the request was given up on.
    pub reason: RefusalReason,
    /// Earliest time at which coming back makes sense, counted from now.
    pub retry_after: Option<Duration>,
}

impl RequestRefusal {
    /// A refusal that tells the caller when to return.
    #[must_use]
    pub const fn retryable(reason: RefusalReason, retry_after: Duration) -> Self {
        Self { reason, retry_after: Some(retry_after) }
    }

    /// A refusal that repeating the same request cannot mend.
    #[must_use]
    pub const fn permanent(reason: RefusalReason) -> Self {
        Self { reason, retry_after: None }
    }
}
