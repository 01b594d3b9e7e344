//! State of one upstream endpoint at the instance that owns its slots.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::PolicyTime;

/// Consecutive failures that suspend an endpoint.
const SUSPENSION_THRESHOLD: u32 = 3;
/// Duration of the first suspension; doubles with each further failure.
const INITIAL_SUSPENSION: Duration = Duration::from_millis(500);
/// Upper bound on the duration of a suspension.
const MAX_SUSPENSION: Duration = Duration::from_secs(8);
/// Time without new requests after the endpoint shed one.
const SHED_BACKOFF: Duration = Duration::from_millis(50);
/// Initial concurrency limit of a cold endpoint.
const COLD_CONCURRENCY: f64 = 2.0;
/// Weight of a new sample in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// Result of one exchange with an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeResult {
    /// The endpoint sent a complete response.
    Answered,
    /// Refused without running the request: the endpoint sheds load or drains.
    Shed,
    /// The connection could not be opened or broke, or the exchange timed out.
    Failed,
    /// Cancelled by the caller; does not count for or against the endpoint.
    Cancelled,
}

/// Whether an endpoint may take new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts new requests.
    Open,
    /// Accepts no new requests; running requests may finish.
    Draining,
    /// Failed repeatedly; after the given time a single request probes it.
    Suspended(PolicyTime),
}

/// Slots of one endpoint, all owned by this instance.
///
/// No slot is given out while `used >= hard_limit`. The adaptive limit only lowers the number of
/// slots that may be used.
#[derive(Clone, Debug)]
pub struct EndpointSlots {
    /// Address on which the upstream listens.
    pub address: SocketAddr,
    /// Failure domain of the upstream.
    pub domain: String,
    /// Region of the upstream.
    pub region: String,
    /// Slots that the active rules allow.
    pub hard_limit: u32,
    /// Slots in use.
    pub used: u32,
    /// Whether the endpoint accepts new requests.
    pub state: EndpointState,
    /// Earliest time of use; until then, work of the previous owner may still run.
    pub usable_at: PolicyTime,
    /// Set while no slot is given out because the endpoint is about to be handed over.
    pub is_releasing: bool,
    /// Set while a suspect request has the endpoint to itself.
    pub is_exclusive: bool,
    adaptive_limit: f64,
    failures: u32,
    backoff_until: PolicyTime,
    latency_us: f64,
}

impl EndpointSlots {
    /// Creates a cold endpoint that may be used from `usable_at`.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        domain: &str,
        region: &str,
        hard_limit: u32,
        usable_at: PolicyTime,
    ) -> Self {
        Self {
            address,
            domain: domain.to_owned(),
            region: region.to_owned(),
            hard_limit,
            used: 0,
            state: EndpointState::Open,
            usable_at,
            is_releasing: false,
            is_exclusive: false,
            adaptive_limit: COLD_CONCURRENCY.min(f64::from(hard_limit)),
            failures: 0,
            backoff_until: PolicyTime::default(),
            latency_us: 0.0,
        }
    }

    /// Number of slots that may be given out at `now`.
    #[must_use]
    pub fn free(&self, now: PolicyTime) -> u32 {
        if self.is_exclusive
            || self.is_releasing
            || now < self.usable_at
            || now < self.backoff_until
        {
            return 0;
        }
        match self.state {
            EndpointState::Draining => 0,
            EndpointState::Suspended(until) if now < until => 0,
            EndpointState::Suspended(_) => 1_u32.saturating_sub(self.used),
            EndpointState::Open => self.current_limit().saturating_sub(self.used),
        }
    }

    /// Whether the next request would be a probe of a suspended endpoint.
    #[must_use]
    pub const fn is_probing(&self) -> bool {
        matches!(self.state, EndpointState::Suspended(_))
    }

    /// Slots in use relative to the current limit, in thousandths.
    #[must_use]
    pub fn load_permille(&self) -> u32 {
        self.used * 1_000 / self.current_limit().max(1)
    }

    /// Moving average of the latency of complete responses; zero before the first one.
    #[must_use]
    pub fn latency(&self) -> Duration {
        Duration::from_secs_f64(self.latency_us.max(0.0) / 1e6)
    }

    /// Updates limit, latency and state after one exchange. The caller of this method releases
    /// the slot.
    pub fn record_result(&mut self, now: PolicyTime, result: ExchangeResult, latency: Duration) {
        match result {
            ExchangeResult::Answered => self.record_response(latency),
            ExchangeResult::Shed => self.record_shed(now),
            ExchangeResult::Failed => self.record_failure(now),
            ExchangeResult::Cancelled => {}
        }
    }

    /// Resets the adaptive limit and the failure count, as for an endpoint that has just
    /// restarted.
    pub fn reset_cold(&mut self) {
        self.adaptive_limit = COLD_CONCURRENCY.min(f64::from(self.hard_limit));
        self.failures = 0;
    }

    fn current_limit(&self) -> u32 {
        // The adaptive limit stays within 1..=hard_limit, so the conversion cannot wrap.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "stays within 1..=hard_limit"
        )]
        let limit = self.adaptive_limit as u32;
        limit.clamp(1, self.hard_limit.max(1)).min(self.hard_limit)
    }

    fn record_response(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64() * 1e6;
        if self.latency_us <= 0.0 {
            self.latency_us = sample;
        } else {
            self.latency_us += LATENCY_WEIGHT * (sample - self.latency_us);
        }
        self.failures = 0;
        if let EndpointState::Suspended(_) = self.state {
            self.state = EndpointState::Open;
            self.adaptive_limit = COLD_CONCURRENCY;
        }
        self.adaptive_limit = (self.adaptive_limit + 1.0).min(f64::from(self.hard_limit));
    }

    fn record_shed(&mut self, now: PolicyTime) {
        self.adaptive_limit = (self.adaptive_limit / 2.0).max(1.0);
        self.backoff_until = now + SHED_BACKOFF;
    }

    fn record_failure(&mut self, now: PolicyTime) {
        self.failures += 1;
        self.adaptive_limit = (self.adaptive_limit / 2.0).max(1.0);
        let is_probe = self.is_probing();
        if self.state == EndpointState::Draining {
            return;
        }
        if self.failures >= SUSPENSION_THRESHOLD || is_probe {
            let doublings = self.failures.saturating_sub(SUSPENSION_THRESHOLD).min(5);
            let suspension = (INITIAL_SUSPENSION * 2_u32.pow(doublings)).min(MAX_SUSPENSION);
            self.state = EndpointState::Suspended(now + suspension);
        }
    }
}
