//! Times of a planned stop of an instance, and which requests it still starts.
//!
//! A caller whose request may have run must get the endpoint's response, unless the request was sent
//! soon after the signal and its endpoint still works on it near the end of the grace period. The first
//! is an absolute time, whatever the grace period; the second is a share of it.

use std::time::Duration;

use super::placement::LOOKUP_TTL;
use crate::clock::PolicyTime;

/// Time after the signal during which requests are started whatever their deadline. One sent later than
/// three seconds after the signal must not be cut off; the difference is for a process that
/// handles the signal late.
const EARLY_TIME: Duration = Duration::from_millis(2_500);
/// The same as a share of a short grace period, so that most of what is started can end.
const EARLY_SHARE: f64 = 0.5;
/// Share of the grace period after which requests still in progress get a final answer. It lies in the
/// last sixth, before which no endpoint at work may be left.
const ANSWER_SHARE: f64 = 0.9;
/// Share of the grace period after which connections that are still open are closed, so that the final
/// answers have reached their callers and the process ends before it is killed.
const CLOSE_SHARE: f64 = 0.93;
/// Time after the signal during which new connections are accepted: other instances list this one for
/// up to one lookup, and some callers keep a lookup for three times its time to live.
const ACCEPT_TIME: Duration = LOOKUP_TTL.saturating_mul(4);
/// The same as a share of the grace period; what is accepted must still be answered.
const ACCEPT_SHARE: f64 = 0.7;

/// Whether the body of a request has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyArrival {
    /// To its end.
    Complete,
    /// In part: its end may be sent at any time until the deadline.
    Partial,
}

/// A planned stop that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    began: PolicyTime,
    grace: Duration,
}

impl PlannedStop {
    /// Creates the times of a stop that begins at `began` in a process that is killed after `grace`.
    #[must_use]
    pub const fn new(began: PolicyTime, grace: Duration) -> Self {
        Self { began, grace }
    }

    /// When the process was asked to stop.
    #[must_use]
    pub const fn began(&self) -> PolicyTime {
        self.began
    }

    /// Until when new connections are accepted.
    #[must_use]
    pub fn accepts_until(&self) -> PolicyTime {
        self.began + self.grace.mul_f64(ACCEPT_SHARE).min(ACCEPT_TIME)
    }

    /// When requests in progress get a final answer of this process.
    #[must_use]
    pub fn answers_by(&self) -> PolicyTime {
        self.began + self.grace.mul_f64(ANSWER_SHARE)
    }

    /// When the connections that are still open are closed.
    #[must_use]
    pub fn closes_by(&self) -> PolicyTime {
        self.began + self.grace.mul_f64(CLOSE_SHARE)
    }

    /// Whether a request may be started now at an endpoint, or started there again: it was received
    /// early, or it ends before the final answers whatever its endpoint does.
    #[must_use]
    pub fn may_start(&self, now: PolicyTime, deadline: PolicyTime, body: BodyArrival) -> bool {
        let early_time = self.grace.mul_f64(EARLY_SHARE).min(EARLY_TIME);
        let is_early = body == BodyArrival::Complete && now < self.began + early_time;
        is_early || deadline <= self.answers_by()
    }
}
