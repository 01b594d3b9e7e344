//! Retry budget: this instance's share of the retries that all instances together may make.
//!
//! A token bucket for each service. Requests and the passing of time add tokens, a retry takes one, and
//! an instance starts with none. A process that restarts, or that takes over the callers of another one,
//! therefore brings no share of its own for requests that were retried before.

use std::collections::VecDeque;
use std::time::Duration;

use super::record::FleetBounds;
use crate::clock::PolicyTime;
use crate::identity::{mix64, stable_hash};

/// Fraction of the limit that is used. The rest covers requests that are counted in another window
/// and instances that have just joined.
const LIMIT_MARGIN: f64 = 0.9;
/// Part of what is used that may be saved for the first moments of a failure. The saved tokens are
/// backed by the requests of the window before them and the rest by those of the same window, so both
/// together stay within the limit of the window with more requests.
const SAVED_PART: f64 = 0.5;
/// Number of slices that a window is divided into.
const SLICES: u32 = 20;

#[derive(Clone, Copy, Debug)]
struct WindowSlice {
    started_at: PolicyTime,
    requests: u32,
}

/// What the shares of all instances are computed from.
#[derive(Clone, Copy, Debug)]
pub struct RetryTerms<'terms> {
    /// Limits of the deployment.
    pub bounds: &'terms FleetBounds,
    /// Number of instances that the slack is divided by; none until their list has been read.
    pub instances: Option<usize>,
}

impl RetryTerms<'_> {
    fn tokens_per_request(&self) -> f64 {
        self.bounds.retry_ratio * LIMIT_MARGIN * (1.0 - SAVED_PART)
    }

    /// Tokens that each window adds, whether there are requests or not.
    fn tokens_per_window(&self) -> f64 {
        self.slack_share() * (1.0 - SAVED_PART)
    }

    /// Most tokens that may be saved after a window with some requests.
    fn capacity(&self, requests: u32) -> f64 {
        let for_requests = f64::from(requests) * self.bounds.retry_ratio * LIMIT_MARGIN;
        (for_requests + self.slack_share()) * SAVED_PART
    }

    fn slack_share(&self) -> f64 {
        self.instances.map_or(0.0, |instances| {
            let count = u32::try_from(instances.max(1)).unwrap_or(u32::MAX);
            self.bounds.retry_slack * LIMIT_MARGIN / f64::from(count)
        })
    }
}

/// State of the retry budget of one service, for metrics and logs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryFigures {
    /// Requests that the share was computed from, since the start of the process.
    pub requests: u64,
    /// Retries that were taken from the share, since the start of the process.
    pub retries: u64,
    /// Retries that the share did not allow, since the start of the process.
    pub refused: u64,
    /// Retries that the share allows now.
    pub allowance: f64,
    /// Number of instances that the slack is divided by; none until their list has been read.
    pub instances: Option<usize>,
}

/// Returns the part of a token that an instance needs for a retry while it cannot save a whole one;
/// uniform between zero and one over the instances.
#[must_use]
pub fn rounding_threshold(own: &str, service: &str) -> f64 {
    let draw = mix64(stable_hash(service.as_bytes()) ^ mix64(stable_hash(own.as_bytes())));
    f64::from(u32::try_from(draw >> 32).unwrap_or(u32::MAX)) / f64::from(u32::MAX)
}

/// Tokens for retries to one service.
///
/// Retries of all instances in a window are at most the tokens that were saved when it began and those
/// added in it, whatever restarts or moves meanwhile.
#[derive(Clone, Debug, Default)]
pub struct RetryShare {
    slices: VecDeque<WindowSlice>,
    tokens: f64,
    updated_at: Option<PolicyTime>,
    total: RetryFigures,
}

impl RetryShare {
    /// Counts a request.
    pub fn count_request(&mut self, now: PolicyTime, terms: &RetryTerms<'_>) {
        self.update(now, terms);
        self.tokens += terms.tokens_per_request();
        self.total.requests += 1;
        let width = terms.bounds.retry_window / SLICES;
        match self.slices.back_mut() {
            Some(slice) if now.since(slice.started_at) < width => slice.requests += 1,
            _ => self.slices.push_back(WindowSlice { started_at: now, requests: 1 }),
        }
    }

    /// Takes one retry from the share. `threshold` is [`rounding_threshold`] of this instance. Returns
    /// `false` if the share is used up.
    pub fn spend(&mut self, now: PolicyTime, terms: &RetryTerms<'_>, threshold: f64) -> bool {
        self.update(now, terms);
        // If each instance can save only a part of a token, those with the lowest thresholds make as
        // many retries as all parts add up to, and owe the rest.
        let can_save = terms.capacity(self.recent_requests()) >= 1.0;
        if self.tokens < if can_save { 1.0 } else { threshold } {
            self.total.refused += 1;
            return false;
        }
        self.tokens -= 1.0;
        self.total.retries += 1;
        true
    }

    /// Returns what was counted since the start of the process, and what the share allows now.
    pub fn figures(&mut self, now: PolicyTime, terms: &RetryTerms<'_>) -> RetryFigures {
        self.update(now, terms);
        RetryFigures { allowance: self.tokens, instances: terms.instances, ..self.total }
    }

    fn recent_requests(&self) -> u32 {
        self.slices.iter().map(|slice| slice.requests).sum()
    }

    fn update(&mut self, now: PolicyTime, terms: &RetryTerms<'_>) {
        let window = terms.bounds.retry_window;
        while self.slices.front().is_some_and(|slice| now.since(slice.started_at) > window) {
            self.slices.pop_front();
        }
        let elapsed = self.updated_at.map_or(Duration::ZERO, |at| now.since(at)).min(window);
        self.updated_at = Some(now);
        let windows = elapsed.as_secs_f64() / window.as_secs_f64().max(f64::EPSILON);
        let added = self.tokens + terms.tokens_per_window() * windows;
        self.tokens = added.min(terms.capacity(self.recent_requests()));
    }
}
