//! Endpoints that fail or slow down while they claim to be well, found from outcomes.

use std::time::Duration;

use crate::clock::PolicyTime;

/// Weight of one outcome in the failure share; about the last fifteen count.
const FAILURE_WEIGHT: f64 = 0.07;
/// Failure share above which an endpoint is set aside.
const FAILURE_LIMIT: f64 = 0.25;
/// Weight of one answer in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Answers before the latency is judged.
const LATENCY_SAMPLES: u32 = 5;
/// Multiple of the service's usual latency above which an endpoint counts as slow; a full queue of
/// known objects stays under two.
const SLOW_MULTIPLE: f64 = 2.5;
/// First time aside; doubles with each further one.
const ASIDE_FIRST: Duration = Duration::from_millis(700);
/// Longest time aside.
const ASIDE_LONGEST: Duration = Duration::from_secs(5);
/// Time for the answer of a probe before another one may be sent.
const PROBE_LONGEST: Duration = Duration::from_secs(1);
/// Time after which an endpoint that behaved is judged afresh.
const FORGIVE_AFTER: Duration = Duration::from_secs(10);

/// How one exchange with an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer that is no failure, after this time; none where the object was new to the
    /// endpoint, which makes the time say nothing about the endpoint.
    Answered(Option<Duration>),
    /// The endpoint's own failure, or an answer that is broken.
    Failed,
    /// It refused without running the request.
    Shed,
    /// It refused a connection: its process is down.
    Unreachable,
    /// Nothing of it answered: it is without power, or the way there is cut.
    Silent,
    /// The connection ended or went silent while the request ran.
    Lost,
    /// Another endpoint has the address.
    Misdirected,
    /// The deadline passed while it was at work, after this time.
    TimedOut(Option<Duration>),
    /// The caller left; says nothing about the endpoint.
    Cancelled,
}

/// Why an endpoint is set aside.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EjectionCause {
    /// It cannot be reached, or something else has its address: nothing sent there is served.
    #[default]
    Down,
    /// It takes several times as long as the others and wastes its slots.
    Slow,
    /// Part of what is sent there is lost or fails; the rest is served.
    Failing,
}

/// What is known of one endpoint's behaviour.
#[derive(Clone, Debug, Default)]
pub struct OutlierState {
    failure_share: f64,
    latency_ms: f64,
    samples: u32,
    aside_until: PolicyTime,
    times_aside: u32,
    is_probing: bool,
    cause: EjectionCause,
}

impl OutlierState {
    /// Whether requests may go there.
    #[must_use]
    pub fn is_usable(&self, now: PolicyTime) -> bool {
        now >= self.aside_until && !self.is_probing
    }

    /// Why it is set aside; none when requests may go there.
    #[must_use]
    pub fn aside(&self, now: PolicyTime) -> Option<EjectionCause> {
        (!self.is_usable(now)).then_some(self.cause)
    }

    /// Whether it was set aside and one request may now find out how it is.
    #[must_use]
    pub fn wants_probe(&self, now: PolicyTime) -> bool {
        self.times_aside > 0 && now >= self.aside_until && self.is_probing
    }

    /// A request is sent. When it is a probe, no other goes there until its end or some time has
    /// passed.
    pub fn begin_probe(&mut self, now: PolicyTime) {
        if self.is_probing {
            self.aside_until = self.aside_until.max(now + PROBE_LONGEST);
        }
    }

    /// Smoothed latency of its answers; zero before the first.
    #[must_use]
    pub const fn latency_ms(&self) -> f64 {
        self.latency_ms
    }

    /// Share of its recent exchanges that failed.
    #[must_use]
    pub const fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Learns from one exchange; `usual_ms` is the usual latency of the service. Returns true when
    /// the endpoint is set aside by it.
    pub fn learn(&mut self, now: PolicyTime, outcome: AttemptOutcome, usual_ms: f64) -> bool {
        match outcome {
            AttemptOutcome::Answered(latency) => self.learn_answer(now, latency, usual_ms),
            AttemptOutcome::Failed => self.learn_failure(now),
            AttemptOutcome::Unreachable | AttemptOutcome::Silent | AttemptOutcome::Misdirected => {
                self.set_aside(now, EjectionCause::Down);
                true
            }
            AttemptOutcome::Lost => {
                self.failure_share += 2.0 * FAILURE_WEIGHT * (1.0 - self.failure_share);
                self.learn_failure(now)
            }
            AttemptOutcome::TimedOut(latency) => self.learn_latency(now, latency, usual_ms),
            AttemptOutcome::Shed | AttemptOutcome::Cancelled => false,
        }
    }

    fn learn_answer(&mut self, now: PolicyTime, latency: Option<Duration>, usual_ms: f64) -> bool {
        self.failure_share -= FAILURE_WEIGHT * self.failure_share;
        if self.is_probing {
            self.is_probing = false;
            self.aside_until = now;
            self.samples = 0;
            self.failure_share = 0.0;
            self.latency_ms = 0.0;
        }
        if now.since(self.aside_until) > FORGIVE_AFTER {
            self.times_aside = 0;
        }
        self.learn_latency(now, latency, usual_ms)
    }

    fn learn_latency(&mut self, now: PolicyTime, latency: Option<Duration>, usual_ms: f64) -> bool {
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
        self.judge_latency(now, usual_ms)
    }

    fn judge_latency(&mut self, now: PolicyTime, usual_ms: f64) -> bool {
        let is_slow = usual_ms > 0.0 && self.latency_ms > SLOW_MULTIPLE * usual_ms;
        if is_slow && self.samples >= LATENCY_SAMPLES {
            self.set_aside(now, EjectionCause::Slow);
            return true;
        }
        false
    }

    fn learn_failure(&mut self, now: PolicyTime) -> bool {
        self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share);
        if self.failure_share > FAILURE_LIMIT || self.is_probing {
            self.set_aside(now, EjectionCause::Failing);
            return true;
        }
        false
    }

    fn set_aside(&mut self, now: PolicyTime, cause: EjectionCause) {
        self.cause = cause;
        let doublings = self.times_aside.min(4);
        let pause = (ASIDE_FIRST * 2_u32.pow(doublings)).min(ASIDE_LONGEST);
        self.aside_until = now + pause;
        self.times_aside = self.times_aside.saturating_add(1);
        self.is_probing = true;
        self.samples = 0;
    }
}
