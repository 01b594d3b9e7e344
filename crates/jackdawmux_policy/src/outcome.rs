//! Outcome of a request, as reported to its caller.

use std::time::Duration;

use strum::{AsRefStr, Display, EnumString};

/// Whether a request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, AsRefStr, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum RunOutcome {
    /// No byte of the request reached an upstream, or the upstream stated that it did not start it.
    NotRun,
    /// The request was executed and its response is known.
    Ran,
    /// The request may have been executed; the system does not repeat it.
    Unknown,
}

/// Reason for which a request was refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, AsRefStr, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// No configuration is active yet.
    NoConfiguration,
    /// No service, or no operation of the service, matches the request.
    NoRoute,
    /// The request is malformed or exceeds a documented limit.
    BadRequest,
    /// The body is larger than the size limit.
    BodyTooLarge,
    /// A part of the body did not arrive within the time limit.
    BodyTooSlow,
    /// The operation runs at most once and the request has no idempotency key.
    KeyMissing,
    /// The idempotency key is forged, or older than the retention period.
    KeyExpired,
    /// A request with the same key is running, was executed or may have been executed elsewhere.
    KeyInUse,
    /// The key could not be claimed in time.
    ClaimUnavailable,
    /// No endpoint of the service is usable now.
    NoUpstream,
    /// All capacity is in use and the wait would exceed the deadline.
    Overloaded,
    /// The deadline passed before the request was sent.
    DeadlinePassed,
    /// The request has crashed upstreams and is blocked.
    Poisonous,
    /// The upstream refused the request and no retry was allowed.
    UpstreamRefused,
    /// The exchange with the upstream failed after the request was sent.
    UpstreamLost,
    /// The instance is leaving the group and accepts no new requests.
    Leaving,
}

/// Final response to a request that was refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestRefusal {
    /// Reason reported to the caller.
    pub reason: RefusalReason,
    /// Retry-after delay suggested to the caller; `None` when a retry of the same request cannot
    /// succeed.
    pub retry_after: Option<Duration>,
}

impl RequestRefusal {
    /// A refusal with a retry-after delay.
    #[must_use]
    pub const fn retryable(reason: RefusalReason, retry_after: Duration) -> Self {
        Self { reason, retry_after: Some(retry_after) }
    }

    /// A refusal without a retry-after delay, because the same request would be refused again.
    #[must_use]
    pub const fn permanent(reason: RefusalReason) -> Self {
        Self { reason, retry_after: None }
    }
}
