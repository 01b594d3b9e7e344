//! Retry budget: this instance's share of the retries that all instances together may make.

use std::collections::VecDeque;
use std::time::Duration;

use super::record::FleetBounds;
use crate::clock::PolicyTime;

/// Fraction of the allowed ratio that is used; the rest covers requests that are counted in another
/// window.
const RATIO_MARGIN: f64 = 0.85;
/// Fraction of the allowed slack that is used. A restarted process does not know what its
/// predecessor spent in the same window.
const SLACK_MARGIN: f64 = 0.5;
/// Number of slices that a window is divided into.
const SLICES: u32 = 20;

#[derive(Clone, Copy, Debug)]
struct WindowSlice {
    started_at: PolicyTime,
    requests: u32,
    retries: u32,
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

/// First attempts and retries of one service in a sliding window.
///
/// The ratio applies to this instance's own requests, and the slack is divided by the number of
/// registered instances. The sum over all instances therefore stays within the limit when instances
/// join, crash or are cut off.
#[derive(Clone, Debug, Default)]
pub struct RetryShare {
    slices: VecDeque<WindowSlice>,
    total: RetryFigures,
}

impl RetryShare {
    /// Counts a request.
    pub fn count_request(&mut self, now: PolicyTime, window: Duration) {
        self.slice(now, window).requests += 1;
        self.total.requests += 1;
    }

    /// Takes one retry from this instance's share. Returns `false` if the share is used up.
    pub fn spend(
        &mut self,
        now: PolicyTime,
        bounds: &FleetBounds,
        instances: Option<usize>,
    ) -> bool {
        self.slice(now, bounds.retry_window);
        if self.allowance(bounds, instances) < 1.0 {
            self.total.refused += 1;
            return false;
        }
        self.slice(now, bounds.retry_window).retries += 1;
        self.total.retries += 1;
        true
    }

    /// Returns what was counted since the start of the process, and what the share allows now.
    pub fn figures(
        &mut self,
        now: PolicyTime,
        bounds: &FleetBounds,
        instances: Option<usize>,
    ) -> RetryFigures {
        self.slice(now, bounds.retry_window);
        RetryFigures { allowance: self.allowance(bounds, instances), instances, ..self.total }
    }

    fn allowance(&self, bounds: &FleetBounds, instances: Option<usize>) -> f64 {
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let slack = instances.map_or(0.0, |instances| {
            let count = u32::try_from(instances.max(1)).unwrap_or(u32::MAX);
            bounds.retry_slack * SLACK_MARGIN / f64::from(count)
        });
        f64::from(requests) * bounds.retry_ratio * RATIO_MARGIN + slack - f64::from(retries)
    }

    fn slice(&mut self, now: PolicyTime, window: Duration) -> &mut WindowSlice {
        let width = window / SLICES;
        // A slice counts until its last retry has left the window.
        while self.slices.front().is_some_and(|slice| now.since(slice.started_at) > window + width)
        {
            self.slices.pop_front();
        }
        let is_current =
            self.slices.back().is_some_and(|slice| now.since(slice.started_at) < width);
        if !is_current {
            self.slices.push_back(WindowSlice { started_at: now, requests: 0, retries: 0 });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
