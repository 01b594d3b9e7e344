//! Use of one upstream endpoint by the instance that owns its slots.

use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::PolicyTime;

/// Consecutive failures after which an endpoint is suspended.
const SUSPEND_AFTER: u32 = 3;
/// First suspension; doubles with each further failure.
const SUSPEND_FIRST: Duration = Duration::from_millis(500);
/// Longest suspension.
const SUSPEND_LONGEST: Duration = Duration::from_secs(8);
/// Pause after the endpoint shed a request.
const SHED_PAUSE: Duration = Duration::from_millis(50);
/// Concurrency given to a cold endpoint.
const COLD_LIMIT: f64 = 2.0;
/// Weight of a new latency sample.
const LATENCY_WEIGHT: f64 = 0.2;

/// How one exchange with an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeResult {
    /// Answered in full.
    Answered,
    /// Refused without running; the endpoint sheds load or drains.
    Shed,
    /// Could not connect, broke off, or timed out.
    Failed,
    /// Ended by the caller; says nothing about the endpoint.
    Cancelled,
}

/// Whether an endpoint may take new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    Open,
    /// Takes no new request; running ones end.
    Draining,
    /// Failed repeatedly; a single request probes it after the given time.
    Suspended(PolicyTime),
}

/// Slots of one endpoint, all of them owned by this instance.
///
/// `used <= hard` holds at every instant: the adaptive limit only lowers what is used.
#[derive(Clone, Debug)]
pub struct EndpointSlots {
    /// Where the upstream listens.
    pub address: SocketAddr,
    /// Failure domain of the upstream.
    pub domain: String,
    /// Region of the upstream.
    pub region: String,
    /// Slots that the accepted rules allow.
    pub hard_limit: u32,
    /// Slots in use.
    pub used: u32,
    /// Whether it takes new requests.
    pub state: EndpointState,
    /// Not used before this time; covers work that an earlier owner may still have running.
    pub usable_at: PolicyTime,
    /// Set while nothing more is given out, so that the endpoint can be handed over.
    pub is_releasing: bool,
    /// Set while a suspect request runs here alone.
    pub is_exclusive: bool,
    limit: f64,
    failures: u32,
    paused_until: PolicyTime,
    latency_us: f64,
}

impl EndpointSlots {
    /// A cold endpoint that may be used from `usable_at`.
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
            limit: COLD_LIMIT.min(f64::from(hard_limit)),
            failures: 0,
            paused_until: PolicyTime::default(),
            latency_us: 0.0,
        }
    }

    /// Slots that may be given out now.
    #[must_use]
    pub fn free(&self, now: PolicyTime) -> u32 {
        if self.is_exclusive || self.is_releasing || now < self.usable_at || now < self.paused_until
        {
            return 0;
        }
        match self.state {
            EndpointState::Draining => 0,
            EndpointState::Suspended(until) if now < until => 0,
            EndpointState::Suspended(_) => 1_u32.saturating_sub(self.used),
            EndpointState::Open => self.allowed().saturating_sub(self.used),
        }
    }

    /// Whether the next request would be a probe of a suspended endpoint.
    #[must_use]
    pub const fn is_probing(&self) -> bool {
        matches!(self.state, EndpointState::Suspended(_))
    }

    /// Share of the allowed slots in use, in thousandths.
    #[must_use]
    pub fn load_permille(&self) -> u32 {
        self.used * 1_000 / self.allowed().max(1)
    }

    /// Smoothed latency of whole answers.
    #[must_use]
    pub fn latency(&self) -> Duration {
        Duration::from_secs_f64(self.latency_us.max(0.0) / 1e6)
    }

    /// Learns from one ended exchange. The slot itself is released by the caller.
    pub fn record_result(&mut self, now: PolicyTime, result: ExchangeResult, latency: Duration) {
        match result {
            ExchangeResult::Answered => self.learn_answer(latency),
            ExchangeResult::Shed => self.learn_shed(now),
            ExchangeResult::Failed => self.learn_failure(now),
            ExchangeResult::Cancelled => {}
        }
    }

    /// Forgets what was learnt, as for an endpoint that has just come back.
    pub fn reset_cold(&mut self) {
        self.limit = COLD_LIMIT.min(f64::from(self.hard_limit));
        self.failures = 0;
    }

    fn allowed(&self) -> u32 {
        // The limit is kept within 1..=hard_limit, so the conversion cannot wrap.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "kept within 1..=hard_limit"
        )]
        let limit = self.limit as u32;
        limit.clamp(1, self.hard_limit.max(1)).min(self.hard_limit)
    }

    fn learn_answer(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64() * 1e6;
        if self.latency_us <= 0.0 {
            self.latency_us = sample;
        } else {
            self.latency_us += LATENCY_WEIGHT * (sample - self.latency_us);
        }
        self.failures = 0;
        if let EndpointState::Suspended(_) = self.state {
            self.state = EndpointState::Open;
            self.limit = COLD_LIMIT;
        }
        self.limit = (self.limit + 1.0).min(f64::from(self.hard_limit));
    }

    fn learn_shed(&mut self, now: PolicyTime) {
        self.limit = (self.limit / 2.0).max(1.0);
        self.paused_until = now + SHED_PAUSE;
    }

    fn learn_failure(&mut self, now: PolicyTime) {
        self.failures += 1;
        self.limit = (self.limit / 2.0).max(1.0);
        let is_probe = self.is_probing();
        if self.state == EndpointState::Draining {
            return;
        }
        if self.failures >= SUSPEND_AFTER || is_probe {
            let doublings = self.failures.saturating_sub(SUSPEND_AFTER).min(5);
            let pause = (SUSPEND_FIRST * 2_u32.pow(doublings)).min(SUSPEND_LONGEST);
            self.state = EndpointState::Suspended(now + pause);
        }
    }
}
