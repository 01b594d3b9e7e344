//! Estimates how long a request waits at an endpoint before its work begins.
//!
//! An instance learns the load of an endpoint only from responses to its own requests. A fresh report
//! is taken as it is; later the estimate returns to the average of the reports, because a queue changes
//! within a few hundred milliseconds and an instance may hear of an endpoint once in several seconds.

use std::time::Duration;

use crate::clock::PolicyTime;

/// Time after which a stated work factor has returned to the usual one. A machine works slower for
/// about this time, so a slow phase seen at a random moment has ended after `t` with probability
/// `t / SLOW_PHASE`.
const SLOW_PHASE: Duration = Duration::from_millis(600);
/// Upper bound of a stated work factor, so that a malformed statement does not exclude an endpoint.
const MAX_WORK_FACTOR: f64 = 10.0;
/// Weight of one report in the average load of an endpoint, which covers about the last ten.
const AVERAGE_WEIGHT: f64 = 0.1;
/// Quantile of the work times that counts as usual. It is below the median because some of them
/// include a wait that the instance does not know of.
const USUAL_QUANTILE: f64 = 0.4;
/// Smallest relative change of the usual work time by one response.
const MIN_WORK_STEP: f64 = 0.04;
/// Highest utilisation for which the average wait is computed; it grows without bound towards one.
const MAX_AVERAGE_UTILISATION: f64 = 0.95;

/// How many times its usual time work takes on an endpoint's machine, as last stated.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkFactor {
    excess: f64,
    stated_at: PolicyTime,
}

impl WorkFactor {
    /// Records a statement in percent of the usual time.
    pub fn record(&mut self, now: PolicyTime, percent: u32) {
        self.excess = (f64::from(percent) / 100.0).clamp(1.0, MAX_WORK_FACTOR) - 1.0;
        self.stated_at = now;
    }

    /// Returns the factor expected now; one is usual.
    #[must_use]
    pub fn at(&self, now: PolicyTime) -> f64 {
        let age = now.since(self.stated_at).as_secs_f64() / SLOW_PHASE.as_secs_f64();
        self.excess.mul_add((1.0 - age).max(0.0), 1.0)
    }
}

/// Average number of requests that an endpoint held when it reported its load.
#[derive(Clone, Copy, Debug, Default)]
pub struct AverageLoad {
    held: f64,
    reports: u32,
}

impl AverageLoad {
    /// Records the number of requests that a report states.
    pub fn record(&mut self, held: f64) {
        self.reports = self.reports.saturating_add(1);
        let weight = AVERAGE_WEIGHT.max(1.0 / f64::from(self.reports));
        self.held += weight * (held - self.held);
    }

    /// Returns the average; zero before the first report.
    #[must_use]
    pub const fn held(&self) -> f64 {
        self.held
    }
}

/// Usual work time of a service for an object that is warm at the endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkTime {
    usual_ms: f64,
    samples: u32,
}

impl WorkTime {
    /// Records a work time, divided by the work factor. Estimates a quantile, because a few requests
    /// take many times as long and would shift a mean.
    pub fn record(&mut self, sample_ms: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.usual_ms <= 0.0 {
            self.usual_ms = sample_ms;
            return;
        }
        let step = MIN_WORK_STEP.max(1.0 / f64::from(self.samples));
        let is_below = if sample_ms < self.usual_ms { 1.0 } else { 0.0 };
        self.usual_ms *= step.mul_add(USUAL_QUANTILE - is_below, 1.0);
    }

    /// Returns the usual work time in milliseconds; `None` before the first response.
    #[must_use]
    pub fn usual_ms(&self) -> Option<f64> {
        (self.usual_ms > 0.0).then_some(self.usual_ms)
    }
}

/// Load of an endpoint as an instance estimates it.
#[derive(Clone, Copy, Debug)]
pub struct LoadEstimate {
    /// Requests held according to the latest report and this instance's own requests.
    pub held: f64,
    /// Average number of requests that the reports state.
    pub average: f64,
    /// Weight of the latest report against the average: one if fresh, zero if old.
    pub freshness: f64,
    /// Number of requests that the endpoint processes concurrently.
    pub slots: f64,
}

impl LoadEstimate {
    /// Returns the expected wait as a multiple of the work time.
    #[must_use]
    pub fn wait(&self) -> f64 {
        let known = self.known_wait();
        let expected = self.average_wait();
        self.freshness.mul_add(known - expected, expected).max(known)
    }

    /// Returns the wait behind the requests that the endpoint is known to hold, as a multiple of the work
    /// time. It returns to zero without further reports.
    #[must_use]
    pub fn known_wait(&self) -> f64 {
        (self.held - self.slots + 1.0).max(0.0) / self.slots
    }

    /// Returns the mean wait in a queue with several servers (Sakasegawa's approximation), as a
    /// multiple of the work time.
    fn average_wait(&self) -> f64 {
        let utilisation = (self.average / self.slots).min(MAX_AVERAGE_UTILISATION);
        let exponent = (2.0 * (self.slots + 1.0)).sqrt() - 1.0;
        utilisation.powf(exponent) / (self.slots * (1.0 - utilisation))
    }
}
