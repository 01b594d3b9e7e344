//! Keeps requests to an endpoint within the rate that it states as its limit over all instances.
//!
//! The rate is divided among a few senders, selected by rendezvous hashing as for cold endpoints.
//! Their number follows from the rate, so that the sum stays within the limit at any fleet size
//! although each sender may send one request early. All other instances only probe: each sends a
//! request at long intervals and learns from the response whether the limit still holds.

use std::time::Duration;

use super::affinity::sender_rank;
use crate::clock::PolicyTime;
use crate::identity::{mix64, stable_hash};

/// Highest rate that is told apart, in requests per second.
const MAX_RATE: f64 = 1e6;
/// Lowest rate that is sent, in requests per second over all instances. An endpoint that gets no
/// request at all could not state that its limit has changed.
const MIN_RATE: f64 = 0.2;
/// Fraction of the stated rate that the senders use.
const SENDER_MARGIN: f64 = 0.75;
/// Fraction of the stated rate that all probes together use.
const PROBE_SHARE: f64 = 0.1;
/// Number of senders in addition to one for each request per second of the rate.
const MIN_SENDERS: usize = 4;
/// How long requests are held off at a time while no list of instances has been read.
const UNKNOWN_SHARE_WAIT: Duration = Duration::from_millis(400);
/// Time for which a probe that is due may be sent. Without it, all probes that fell due while there
/// was no demand would be sent at the same moment.
const PROBE_WINDOW: Duration = Duration::from_secs(4);

/// Rate of an endpoint's limit, in thousandths of a request per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LimitRate(u64);

impl LimitRate {
    /// Creates a rate from a number of requests per second; none if it is negative or not finite.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is clamped to the range of the type"
    )]
    pub fn per_second(rate: f64) -> Option<Self> {
        let is_valid = rate.is_finite() && rate >= 0.0;
        is_valid.then(|| Self((rate.min(MAX_RATE) * 1e3).round() as u64))
    }

    /// Returns the requests per second.
    #[must_use]
    pub fn as_per_second(self) -> f64 {
        Duration::from_millis(self.0).as_secs_f64()
    }
}

/// When an instance may send to a limited endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LimitShare {
    /// Minimum time between two requests.
    interval: Duration,
    is_sender: bool,
}

impl LimitShare {
    /// Returns the share of the instance `own`; `None` while no list of instances has been read.
    fn new(endpoint: &str, own: &str, instances: &[String], rate: LimitRate) -> Option<Self> {
        let rate = rate.as_per_second().max(MIN_RATE);
        let total = instances.len();
        if total == 0 {
            return None;
        }
        let whole_rate = Duration::from_secs_f64(rate).as_secs();
        let senders = usize::try_from(whole_rate).unwrap_or(usize::MAX).saturating_add(MIN_SENDERS);
        let senders = senders.min(total);
        let is_sender = sender_rank(endpoint, own, instances) < senders;
        let (group, group_rate) = if is_sender {
            (senders, rate * SENDER_MARGIN)
        } else {
            (total - senders, rate * PROBE_SHARE)
        };
        let group = f64::from(u32::try_from(group.max(1)).unwrap_or(u32::MAX));
        Some(Self { interval: Duration::from_secs_f64(group / group_rate), is_sender })
    }
}

/// Paces the requests of this instance to one limited endpoint.
#[derive(Clone, Copy, Debug)]
pub struct LimitPacer {
    rate: LimitRate,
    /// `None` while no list of instances has been read.
    share: Option<LimitShare>,
    next_at: PolicyTime,
}

impl LimitPacer {
    /// Creates the pacer of the instance `own`. The first request is due after a part of the
    /// interval that differs between instances.
    #[must_use]
    pub fn new(
        now: PolicyTime,
        endpoint: &str,
        own: &str,
        instances: &[String],
        rate: LimitRate,
    ) -> Self {
        let share = LimitShare::new(endpoint, own, instances, rate);
        Self { rate, share, next_at: first_due(now, endpoint, own, share) }
    }

    /// Returns the rate that the endpoint states.
    #[must_use]
    pub const fn rate(&self) -> LimitRate {
        self.rate
    }

    /// Adapts the pace to the rate that the endpoint states and to the registered instances.
    pub fn update(
        &mut self,
        now: PolicyTime,
        endpoint: &str,
        own: &str,
        instances: &[String],
        rate: LimitRate,
    ) {
        let share = LimitShare::new(endpoint, own, instances, rate);
        match (self.share, share) {
            (None, share) => self.next_at = first_due(now, endpoint, own, share),
            (before, Some(share)) if before != Some(share) => {
                self.next_at = self.next_at.min(now + share.interval);
            }
            _ => {}
        }
        (self.rate, self.share) = (rate, share);
    }

    /// Returns how long no request may be sent; zero if one may be sent now.
    #[must_use]
    pub fn wait(&self, now: PolicyTime) -> Duration {
        let Some(share) = self.share else {
            return UNKNOWN_SHARE_WAIT;
        };
        if now < self.next_at {
            return self.next_at.since(now);
        }
        if share.is_sender {
            return Duration::ZERO;
        }
        let overdue = now.since(self.next_at).as_secs_f64();
        let interval = share.interval.as_secs_f64();
        let into_turn = overdue % interval;
        if into_turn < PROBE_WINDOW.as_secs_f64() {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(interval - into_turn)
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: PolicyTime) {
        self.next_at = now + self.share.map_or(UNKNOWN_SHARE_WAIT, |share| share.interval);
    }
}

/// Returns when the first request is due: after a part of the interval that differs between
/// instances.
fn first_due(now: PolicyTime, endpoint: &str, own: &str, share: Option<LimitShare>) -> PolicyTime {
    let draw = mix64(stable_hash(endpoint.as_bytes()) ^ mix64(stable_hash(own.as_bytes())));
    let phase = f64::from(u32::try_from(draw >> 32).unwrap_or(u32::MAX)) / f64::from(u32::MAX);
    now + share.map_or(Duration::ZERO, |share| share.interval.mul_f64(phase))
}
