//! Outlier detection: ejects endpoints that fail or are slow although they report to be ready,
//! based on the outcomes of attempts.

use std::time::Duration;

use crate::clock::PolicyTime;

/// Weight of one outcome in the failure share, which covers about the last fifteen outcomes.
const FAILURE_WEIGHT: f64 = 0.07;
/// Failure share above which an endpoint is ejected.
const FAILURE_LIMIT: f64 = 0.25;
/// Weight of one response in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Number of responses from which on the latency is checked.
const MIN_LATENCY_SAMPLES: u32 = 5;
/// Multiple of the service's typical latency above which an endpoint counts as slow. With a full
/// queue of warm objects the latency stays below twice the typical one.
const SLOW_MULTIPLE: f64 = 2.5;
/// Duration of the first ejection; doubles with each further ejection.
const INITIAL_EJECTION_TIME: Duration = Duration::from_millis(700);
/// Maximum duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(5);
/// Time to wait for the response to a probe before another one may be sent.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the end of the last ejection from which on a response resets the ejection count.
const EJECTION_COUNT_RESET_AFTER: Duration = Duration::from_secs(10);

/// Outcome of one attempt at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete response that is not a failure, with its latency. The latency is `None` if the
    /// object was cold at the endpoint, because it then does not reflect the endpoint's health.
    Answered(Option<Duration>),
    /// A failure of the endpoint itself, or a malformed response.
    Failed,
    /// The endpoint refused the request without running it.
    Shed,
    /// The endpoint refused the connection: its process is down.
    Unreachable,
    /// The endpoint did not respond at all: its machine has no power or the network path is cut.
    Silent,
    /// The connection ended or became unresponsive while the request ran.
    Lost,
    /// Another endpoint now uses the address.
    Misdirected,
    /// The deadline passed while the endpoint processed the request, with the time it had taken
    /// until then; `None` if the object was cold at the endpoint.
    TimedOut(Option<Duration>),
    /// The caller disconnected; no conclusion about the endpoint is possible.
    Cancelled,
}

impl AttemptOutcome {
    /// Returns whether the cause may be the network path rather than the endpoint.
    #[must_use]
    pub const fn is_path_failure(self) -> bool {
        matches!(self, Self::Unreachable | Self::Silent | Self::Lost | Self::TimedOut(_))
    }
}

/// Why an endpoint is ejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EjectionCause {
    /// It cannot be reached, or another endpoint uses its address: no request is served there.
    #[default]
    Down,
    /// It takes several times as long as the other endpoints and wastes its slots.
    Slow,
    /// Some of the requests sent to it are lost or fail; the rest are served.
    Failing,
}

/// Outlier detection state of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct OutlierState {
    failure_share: f64,
    latency_ms: f64,
    samples: u32,
    ejected_until: PolicyTime,
    ejection_count: u32,
    is_probing: bool,
    cause: EjectionCause,
}

impl OutlierState {
    /// Returns whether requests may be sent to the endpoint.
    #[must_use]
    pub fn is_usable(&self, now: PolicyTime) -> bool {
        now >= self.ejected_until && !self.is_probing
    }

    /// Returns why the endpoint is ejected, or `None` if requests may be sent to it.
    #[must_use]
    pub fn ejection(&self, now: PolicyTime) -> Option<EjectionCause> {
        (!self.is_usable(now)).then_some(self.cause)
    }

    /// Returns whether the ejection time is over and one request may be sent to probe the endpoint.
    #[must_use]
    pub fn is_probe_due(&self, now: PolicyTime) -> bool {
        self.ejection_count > 0 && now >= self.ejected_until && self.is_probing
    }

    /// Records that a request is sent to the endpoint. If it is a probe, no other request is sent
    /// until it ends or `PROBE_TIMEOUT` has passed.
    pub fn start_probe(&mut self, now: PolicyTime) {
        if self.is_probing {
            self.ejected_until = self.ejected_until.max(now + PROBE_TIMEOUT);
        }
    }

    /// Returns the smoothed latency of the endpoint's responses; zero before the first one.
    #[must_use]
    pub const fn latency_ms(&self) -> f64 {
        self.latency_ms
    }

    /// Returns the share of the endpoint's recent attempts that failed.
    #[must_use]
    pub const fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Records the outcome of one attempt. `typical_latency_ms` is the typical latency of the service.
    /// Returns `true` if the outcome causes the endpoint to be ejected.
    pub fn record(
        &mut self,
        now: PolicyTime,
        outcome: AttemptOutcome,
        typical_latency_ms: f64,
    ) -> bool {
        match outcome {
            AttemptOutcome::Answered(latency) => {
                self.record_response(now, latency, typical_latency_ms)
            }
            AttemptOutcome::Failed => self.record_failure(now),
            AttemptOutcome::Unreachable | AttemptOutcome::Silent | AttemptOutcome::Misdirected => {
                self.eject(now, EjectionCause::Down);
                true
            }
            AttemptOutcome::Lost => {
                self.failure_share += 2.0 * FAILURE_WEIGHT * (1.0 - self.failure_share);
                self.record_failure(now)
            }
            AttemptOutcome::TimedOut(latency) => {
                self.record_latency(now, latency, typical_latency_ms)
            }
            AttemptOutcome::Shed | AttemptOutcome::Cancelled => false,
        }
    }

    fn record_response(
        &mut self,
        now: PolicyTime,
        latency: Option<Duration>,
        typical_latency_ms: f64,
    ) -> bool {
        self.failure_share -= FAILURE_WEIGHT * self.failure_share;
        if self.is_probing {
            self.is_probing = false;
            self.ejected_until = now;
            self.samples = 0;
            self.failure_share = 0.0;
            self.latency_ms = 0.0;
        }
        if now.since(self.ejected_until) > EJECTION_COUNT_RESET_AFTER {
            self.ejection_count = 0;
        }
        self.record_latency(now, latency, typical_latency_ms)
    }

    fn record_latency(
        &mut self,
        now: PolicyTime,
        latency: Option<Duration>,
        typical_latency_ms: f64,
    ) -> bool {
        let Some(latency) = latency else {
            return false;
        };
        let sample = latency.as_secs_f64() * 1e3;
        self.samples = self.samples.saturating_add(1);
        if self.latency_ms <= 0.0 {
            self.latency_ms = sample;
        } else {
            self.latency_ms += LATENCY_WEIGHT * (sample - self.latency_ms);
        }
        self.check_latency(now, typical_latency_ms)
    }

    fn check_latency(&mut self, now: PolicyTime, typical_latency_ms: f64) -> bool {
        let is_slow =
            typical_latency_ms > 0.0 && self.latency_ms > SLOW_MULTIPLE * typical_latency_ms;
        if is_slow && self.samples >= MIN_LATENCY_SAMPLES {
            self.eject(now, EjectionCause::Slow);
            return true;
        }
        false
    }

    fn record_failure(&mut self, now: PolicyTime) -> bool {
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share);
        if self.failure_share > FAILURE_LIMIT || self.is_probing {
            self.eject(now, EjectionCause::Failing);
            return true;
        }
        false
    }

    fn eject(&mut self, now: PolicyTime, cause: EjectionCause) {
        self.cause = cause;
        let doublings = self.ejection_count.min(4);
        let duration = (INITIAL_EJECTION_TIME * 2_u32.pow(doublings)).min(MAX_EJECTION_TIME);
        self.ejected_until = now + duration;
        self.ejection_count = self.ejection_count.saturating_add(1);
        self.is_probing = true;
        self.samples = 0;
    }
}
