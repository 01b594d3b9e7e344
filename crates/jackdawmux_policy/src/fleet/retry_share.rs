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

/// First attempts and retries of one service in a sliding window.
///
/// The ratio applies to this instance's own requests, and the slack is divided by the number of
/// registered instances. The sum over all instances therefore stays within the limit when instances
/// join, crash or are cut off.
#[derive(Clone, Debug, Default)]
pub struct RetryShare {
    slices: VecDeque<WindowSlice>,
}

impl RetryShare {
    /// Counts the first attempt of a request.
    pub fn count_request(&mut self, now: PolicyTime, window: Duration) {
        self.slice(now, window).requests += 1;
    }

    /// Takes one retry from this instance's share. Returns `false` if the share is used up.
    pub fn spend(&mut self, now: PolicyTime, bounds: &FleetBounds, instances: usize) -> bool {
        self.slice(now, bounds.retry_window);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let instance_count = f64::from(u32::try_from(instances.max(1)).unwrap_or(u32::MAX));
        let allowed = f64::from(requests) * bounds.retry_ratio * RATIO_MARGIN
            + bounds.retry_slack * SLACK_MARGIN / instance_count;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.slice(now, bounds.retry_window).retries += 1;
        true
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
