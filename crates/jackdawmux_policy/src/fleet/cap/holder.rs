//! Token buckets of the caps that this instance holds.

use std::collections::HashMap;
use std::time::Duration;

use super::members::{CapMember, CapMembers};
use super::message::{HolderId, TeamId};
use super::state::CapLimit;
use super::{MAX_PROOF_AGE, TAKEOVER_DELAY};
use crate::clock::PolicyTime;

/// Shortest time after which a holder wants to be asked again. It bounds the messages for a team
/// that sends far more than its cap.
const MIN_DENIAL: Duration = Duration::from_millis(20);
/// Time after which to ask an instance again that does not hold the cap now.
const UNABLE_TIME: Duration = Duration::from_millis(300);
/// Rounding error up to which a token counts as whole.
const TOKEN_EPSILON: f64 = 1e-6;

/// Why fewer tokens were granted than asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CapDenial {
    /// Whether the bucket is empty; otherwise this instance does not hold the cap now.
    pub(super) is_denied: bool,
    pub(super) retry_after: Duration,
}

impl CapDenial {
    const UNABLE: Self = Self { is_denied: false, retry_after: UNABLE_TIME };
}

/// Bucket of one team, also of teams that other instances hold.
#[derive(Clone, Copy, Debug)]
struct TeamBucket {
    limit: CapLimit,
    tokens: f64,
    /// Up to when the bucket is filled; in the future while it must not fill.
    filled_at: PolicyTime,
    /// Generation of the members for which `is_own` holds.
    generation: u64,
    is_own: bool,
}

impl TeamBucket {
    fn fill(&mut self, until: PolicyTime, divisor: u32) {
        if until <= self.filled_at {
            return;
        }
        let added = self.rate(divisor) * until.since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + added).min(self.capacity(divisor));
        self.filled_at = until;
    }

    fn rate(&self, divisor: u32) -> f64 {
        self.limit.rate / f64::from(divisor)
    }

    /// Whole tokens, because only these can be granted: a bucket for less than one would refuse for
    /// good, and the fractions in all buckets would be lost. The buckets of a team exceed its burst
    /// by less than one token per holder, which the slack of 20 requests per window covers for up
    /// to 20 regions.
    fn capacity(&self, divisor: u32) -> f64 {
        (self.limit.burst / f64::from(divisor)).ceil().max(1.0)
    }

    fn restart(&mut self, filled_at: PolicyTime) {
        self.tokens = 0.0;
        self.filled_at = self.filled_at.max(filled_at);
    }
}

/// Token buckets of the caps that this instance holds or may come to hold.
#[derive(Clone, Debug, Default)]
pub(super) struct CapHolder {
    buckets: HashMap<TeamId, TeamBucket>,
    /// Number of holders among which the caps are divided.
    divisor: u32,
    /// Smaller divisor, and when it applies. The holder that left may still fill its buckets.
    next_divisor: Option<(PolicyTime, u32)>,
    /// Before this time no bucket may fill that is created now.
    quiet_until: PolicyTime,
    is_stopped: bool,
}

impl CapHolder {
    /// Replaces the caps in force.
    pub(super) fn set_limits(&mut self, now: PolicyTime, limits: &HashMap<TeamId, CapLimit>) {
        self.settle(now);
        let divisor = self.divisor();
        let starts_at = now.max(self.quiet_until);
        self.buckets.retain(|team, _| limits.contains_key(team));
        for (team, limit) in limits {
            let bucket = self.buckets.entry(*team).or_insert(TeamBucket {
                limit: *limit,
                tokens: 0.0,
                filled_at: starts_at,
                generation: 0,
                is_own: false,
            });
            bucket.fill(now, divisor);
            bucket.limit = *limit;
            // A lowered cap drops what is above the new burst.
            bucket.tokens = bucket.tokens.min(bucket.capacity(divisor));
        }
    }

    /// This instance is listed from now on.
    pub(super) fn start(&mut self, now: PolicyTime) {
        self.restart_all(now + TAKEOVER_DELAY);
    }

    /// Another instance no longer holds caps. The buckets that it may have held start again, because
    /// it may fill its own for some time.
    pub(super) fn record_left(&mut self, now: PolicyTime, left: HolderId, own: HolderId) {
        let starts_at = now + TAKEOVER_DELAY;
        self.quiet_until = self.quiet_until.max(starts_at);
        for (team, bucket) in &mut self.buckets {
            if CapMember::score(left, *team) >= CapMember::score(own, *team) {
                bucket.restart(starts_at);
            }
        }
    }

    /// Empties all buckets, which fill from a time on.
    pub(super) fn restart_all(&mut self, starts_at: PolicyTime) {
        self.quiet_until = self.quiet_until.max(starts_at);
        for bucket in self.buckets.values_mut() {
            bucket.restart(starts_at);
        }
    }

    /// All buckets fill from now on, as they did in an earlier process of this instance.
    pub(super) fn resume(&mut self, now: PolicyTime) {
        self.quiet_until = self.quiet_until.min(now);
        for bucket in self.buckets.values_mut() {
            bucket.filled_at = bucket.filled_at.min(now);
        }
    }

    /// Sets the number of holders of a team. An increase applies at once, a decrease only when the
    /// holder that left cannot grant any more.
    pub(super) fn set_divisor(&mut self, now: PolicyTime, count: u32) {
        self.settle(now);
        let count = count.max(1);
        if count < self.divisor() {
            if self.next_divisor.is_none_or(|(_, next)| next != count) {
                self.next_divisor = Some((now + TAKEOVER_DELAY, count));
            }
            return;
        }
        self.next_divisor = None;
        self.change_divisor(now, count);
    }

    /// Grants nothing from now on.
    pub(super) const fn stop(&mut self) {
        self.is_stopped = true;
    }

    /// Takes up to `count` tokens of a team. `proven_at` is the start of the latest read that
    /// confirmed the list of instances.
    pub(super) fn take(
        &mut self,
        now: PolicyTime,
        members: &CapMembers,
        proven_at: Option<PolicyTime>,
        team: TeamId,
        count: u32,
    ) -> (u32, Option<CapDenial>) {
        self.settle(now);
        let divisor = self.divisor();
        let is_proven = proven_at.is_some_and(|at| now.since(at) < MAX_PROOF_AGE);
        if self.is_stopped || !is_proven {
            return (0, Some(CapDenial::UNABLE));
        }
        let Some(bucket) = self.buckets.get_mut(&team) else {
            return (0, Some(CapDenial::UNABLE));
        };
        if bucket.generation != members.generation {
            bucket.generation = members.generation;
            bucket.is_own = members.is_own(team);
        }
        if !bucket.is_own {
            return (0, Some(CapDenial::UNABLE));
        }
        bucket.fill(now, divisor);
        let granted = count.min(whole_tokens(bucket.tokens));
        bucket.tokens -= f64::from(granted);
        if granted == count {
            return (granted, None);
        }
        let missing = (1.0 - bucket.tokens).max(0.0) / bucket.rate(divisor);
        let until_token = Duration::try_from_secs_f64(missing).unwrap_or(TAKEOVER_DELAY);
        let until_start = bucket.filled_at.since(now);
        let retry_after = (until_start + until_token).max(MIN_DENIAL);
        (granted, Some(CapDenial { is_denied: until_start.is_zero(), retry_after }))
    }

    fn divisor(&self) -> u32 {
        self.divisor.max(1)
    }

    /// Applies a smaller divisor whose time has come.
    fn settle(&mut self, now: PolicyTime) {
        if let Some((at, next)) = self.next_divisor
            && at <= now
        {
            self.next_divisor = None;
            self.change_divisor(at, next);
        }
    }

    fn change_divisor(&mut self, at: PolicyTime, divisor: u32) {
        if self.divisor() == divisor {
            self.divisor = divisor;
            return;
        }
        let before = self.divisor();
        for bucket in self.buckets.values_mut() {
            bucket.fill(at, before);
            bucket.tokens = bucket.tokens.min(bucket.capacity(divisor));
        }
        self.divisor = divisor;
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "tokens are never negative, and a cast to an integer saturates"
)]
fn whole_tokens(tokens: f64) -> u32 {
    (tokens + TOKEN_EPSILON) as u32
}
