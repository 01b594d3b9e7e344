//! Decides whether a request may wait for an endpoint or is refused, such that callers lose least.
//!
//! A response within the target latency has its full value and a late one a fraction of it, so under
//! overload the expected wait must stay below what the target latency leaves after the work. Each
//! less urgent kind of requests, and each team above its fair share, gets a lower limit on the wait.
//! The limits apply only to waiting: a request that finds a free slot is always admitted, unless it
//! cannot end before its deadline.

use std::time::Duration;

use smallvec::SmallVec;

use super::choice::ChoiceRefusalReason;
use super::fair_share::ShareStanding;
use crate::clock::PolicyTime;

/// Limit on the wait of a kind of requests as a multiple of that of the next more urgent kind. It
/// continues the ratio of the load limits for low and high priority without estimates,
/// (1.7 - 1) / (2.2 - 1) = 0.58.
const RANK_STEP: f64 = 0.58;
/// Share of the time that the target latency leaves after the work which a request may wait. The rest
/// covers work that takes longer than usual and requests of other instances that the latest report of
/// the endpoint does not contain. In simulated overload (`tests/admission.rs`), 1.0 let up to 15 % of
/// the most urgent requests end late.
const MAX_SPARE_SHARE: f64 = 0.6;
/// Multiple of its fair share at which a team has the reduced limit. Between one and this multiple
/// the limit falls evenly. No team may be served less than a quarter as often as the others.
const FULL_EXCESS: f64 = 4.0;
/// Wait that is allowed in any case, as a multiple of the work. Without a short queue, slots would be
/// idle from the end of a request until a front sends the next one.
const MIN_WAIT: f64 = 0.5;
/// Maximum wait as a multiple of the work. Endpoints queue 3 requests per slot and reject further
/// ones regardless of priority.
const MAX_WAIT: f64 = 2.5;
/// Share of the remaining time of a caller within which it honours a retry-after delay.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;
/// Time for which a kind of requests counts as active after its latest request. Bursts last 3 to
/// 7 s; small instances get a request of each kind about every second.
const KIND_WINDOW: Duration = Duration::from_secs(5);
/// Maximum number of kinds that are kept for a service; a further one replaces the oldest.
const MAX_KINDS: usize = 16;

/// What is known about a request and the endpoint that would be chosen for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionCase {
    /// Urgency of the request among the active kinds of the service.
    pub urgency: UrgencyView,
    /// Time until the endpoint is expected to start the request.
    pub wait: Duration,
    /// Time that the endpoint is expected to need for it.
    pub work: Duration,
    /// Remaining time until the deadline.
    pub time_left: Duration,
    /// Use of the service by the team of the request.
    pub standing: ShareStanding,
}

/// Refusal of a request with the range from which its retry-after delay is drawn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRefusal {
    /// Why the request is refused.
    pub reason: ChoiceRefusalReason,
    /// Limit that the expected wait exceeded.
    pub limit: Duration,
    /// Shortest retry-after delay.
    pub min_retry: Duration,
    /// Longest retry-after delay.
    pub max_retry: Duration,
}

/// Decides whether a request is admitted.
///
/// # Errors
/// Returns the refusal if the request cannot end before its deadline or the expected wait is above
/// its limit.
pub fn admit(case: &AdmissionCase) -> Result<(), AdmissionRefusal> {
    if case.wait + case.work > case.time_left {
        let limit = case.time_left.saturating_sub(case.work);
        return Err(refuse(case, ChoiceRefusalReason::Deadline, limit));
    }
    let top = wait_limit(case);
    let [share, next] = [0, 1].map(|step| rank_share(case.urgency.rank + step));
    let reduced = (share - excess_reduction(case.standing.excess) * (share - next)).max(next);
    let limit = if case.standing.is_underserved { top } else { top.mul_f64(reduced) };
    if case.wait <= limit {
        return Ok(());
    }
    let reason = match case.wait {
        wait if wait > top => ChoiceRefusalReason::Full,
        wait if wait > top.mul_f64(share) => ChoiceRefusalReason::LowPriority,
        _ => ChoiceRefusalReason::OverShare,
    };
    Err(refuse(case, reason, limit))
}

/// Returns the wait allowed for the most urgent kind: a part of what the shortest target latency
/// leaves after the work.
fn wait_limit(case: &AdmissionCase) -> Duration {
    let spare = case.urgency.target.saturating_sub(case.work).mul_f64(MAX_SPARE_SHARE);
    spare.clamp(case.work.mul_f64(MIN_WAIT), case.work.mul_f64(MAX_WAIT))
}

/// Returns the limit of a rank of urgency as a share of that of the most urgent kind.
fn rank_share(rank: usize) -> f64 {
    RANK_STEP.powi(i32::try_from(rank).unwrap_or(i32::MAX))
}

/// Returns how far the limit of a team is lowered towards that of the next rank; one is all the way.
fn excess_reduction(excess: f64) -> f64 {
    ((excess - 1.0) / (FULL_EXCESS - 1.0)).clamp(0.0, 1.0)
}

/// Creates a refusal. The shortest delay is the time until the wait is below its limit if the endpoint
/// gets no further requests, and at least half the wait, because it does get some. A caller whose
/// deadline is too close gains nothing by an early retry.
fn refuse(case: &AdmissionCase, reason: ChoiceRefusalReason, limit: Duration) -> AdmissionRefusal {
    let max_honoured = case.time_left.mul_f64(MAX_RETRY_SHARE);
    let min_retry = match reason {
        ChoiceRefusalReason::Deadline => max_honoured / 2,
        _ => (case.wait.saturating_sub(limit)).max(case.wait / 2).min(max_honoured / 2),
    };
    AdmissionRefusal { reason, limit, min_retry, max_retry: min_retry * 2 }
}

/// Urgency of a request among the active kinds of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UrgencyView {
    /// Number of active priorities that are more urgent; 0 if there is none.
    pub rank: usize,
    /// Shortest target latency of the active kinds that are at least as urgent.
    pub target: Duration,
}

/// Priority and target latency of requests that a service got recently.
#[derive(Clone, Copy, Debug)]
struct ActiveKind {
    priority: u32,
    target: Duration,
    seen_at: PolicyTime,
}

/// Kinds of requests that a service got recently.
///
/// A priority has a meaning only in comparison with the other requests of the service: in one
/// deployment the main requests of a service have the lowest priority of all.
#[derive(Clone, Debug, Default)]
pub struct ActiveKinds {
    kinds: SmallVec<[ActiveKind; 4]>,
}

impl ActiveKinds {
    /// Records a request.
    pub fn record(&mut self, now: PolicyTime, priority: u32, target: Duration) {
        let is_same = |kind: &ActiveKind| (kind.priority, kind.target) == (priority, target);
        if let Some(kind) = self.kinds.iter_mut().find(|kind| is_same(kind)) {
            kind.seen_at = now;
            return;
        }
        let kind = ActiveKind { priority, target, seen_at: now };
        if self.kinds.len() < MAX_KINDS {
            self.kinds.push(kind);
        } else if let Some(oldest) = self.kinds.iter_mut().min_by_key(|kind| kind.seen_at) {
            *oldest = kind;
        }
    }

    /// Returns the urgency of a request with a priority and a target latency.
    #[must_use]
    pub fn view(&self, now: PolicyTime, priority: u32, target: Duration) -> UrgencyView {
        let active = || self.kinds.iter().filter(|kind| now.since(kind.seen_at) <= KIND_WINDOW);
        let mut urgent: SmallVec<[u32; 4]> =
            active().map(|kind| kind.priority).filter(|other| *other < priority).collect();
        urgent.sort_unstable();
        urgent.dedup();
        let comparable = active().filter(|kind| kind.priority <= priority).map(|kind| kind.target);
        UrgencyView { rank: urgent.len(), target: comparable.fold(target, Duration::min) }
    }
}
