//! State that one instance keeps about an endpoint in addition to the endpoint's registration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use strum::Display;

use super::choice::{EndpointKey, LoadReport};
use super::cold_start::ColdRateLimiter;
use super::endpoint_limit::LimitPacer;
use super::endpoint_set::MAX_SET;
use super::expected_wait::{AverageLoad, LoadEstimate, WorkFactor};
use super::notices::{EndpointIncarnation, StatedNotice};
use super::outlier::{EjectionCause, OutlierState};
use super::record::{EndpointPhase, EndpointRecord};
use crate::clock::PolicyTime;

/// Margin added to the time for which an endpoint is cold, because the endpoint and this instance
/// count it from different moments.
const COLD_MARGIN: Duration = Duration::from_millis(400);
/// Time constant of the exponential decay of the load that an endpoint reported.
const REPORT_DECAY: Duration = Duration::from_millis(400);
/// Endpoints that fail some of their requests are ejected only while at most one in this many
/// eligible endpoints does so.
const ENDPOINTS_PER_FAILING: usize = 6;
/// Maximum number of objects whose latest endpoints are kept; a further object clears all of them.
const MAX_RECENT_OBJECTS: usize = 16_384;

/// Change of an endpoint in the fleet state, as written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum EndpointChange {
    /// The endpoint was added.
    Joined,
    /// It restarted under the same identity.
    Restarted,
    /// It accepts no new requests.
    Draining,
    /// It accepts requests again.
    Ready,
    /// Another field of its record changed.
    Updated,
    /// Its registration expired while the source was unreachable; it is kept for a grace period.
    Lapsed,
    /// It was removed.
    Left,
    /// The endpoint has made a later statement, which holds.
    Outdated,
    /// Nothing changed.
    Same,
}

/// What failures change, as it was before them.
#[derive(Clone, Debug)]
pub(super) struct FailureBaseline {
    pub(super) at: PolicyTime,
    pub(super) outlier: OutlierState,
    pub(super) cold_after_recovery: Option<Duration>,
}

#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    pub(super) record: EndpointRecord,
    pub(super) id: Arc<str>,
    pub(super) key: EndpointKey,
    /// Index of the endpoint's region; past the end if its failure domain is unknown.
    pub(super) region: usize,
    pub(super) cold_until: PolicyTime,
    pub(super) rate_limiter: ColdRateLimiter,
    pub(super) in_flight: u32,
    pub(super) other_requests: f64,
    pub(super) reported_at: PolicyTime,
    pub(super) average: AverageLoad,
    pub(super) work_factor: WorkFactor,
    pub(super) outlier: OutlierState,
    /// Set while the endpoint is unreachable: how long it counts as cold once it responds again.
    pub(super) cold_after_recovery: Option<Duration>,
    /// State before the first of the failures since the last response; none without failures.
    pub(super) before_failures: Option<FailureBaseline>,
    pub(super) lapses_at: Option<PolicyTime>,
    /// What this incarnation stated in its responses.
    pub(super) stated: StatedNotice,
    /// Paces the requests of this instance while the endpoint states a limit.
    pub(super) pacer: Option<LimitPacer>,
}

impl EndpointState {
    pub(super) fn new(record: EndpointRecord, region: usize, now: PolicyTime) -> Self {
        let key = EndpointKey::of(&record.id);
        let mut state = Self {
            id: Arc::from(record.id.as_str()),
            key,
            region,
            cold_until: PolicyTime::default(),
            rate_limiter: ColdRateLimiter::default(),
            in_flight: 0,
            other_requests: 0.0,
            reported_at: now,
            average: AverageLoad::default(),
            work_factor: WorkFactor::default(),
            outlier: OutlierState::default(),
            cold_after_recovery: None,
            before_failures: None,
            lapses_at: None,
            stated: StatedNotice::default(),
            pacer: None,
            record,
        };
        state.apply_cold_start(now);
        state
    }

    pub(super) const fn incarnation(&self) -> EndpointIncarnation {
        EndpointIncarnation { key: self.key, started_ms: self.record.started_ms }
    }

    /// Applies what the incarnation has stated; `own` is this instance, one of `instances`.
    pub(super) fn apply_notice(
        &mut self,
        now: PolicyTime,
        stated: StatedNotice,
        own: &str,
        instances: &[String],
    ) {
        self.stated = stated;
        match (stated.limit, &mut self.pacer) {
            (None, pacer) => *pacer = None,
            (Some(rate), Some(pacer)) => pacer.update(now, &self.id, own, instances, rate),
            (Some(rate), pacer) => {
                *pacer = Some(LimitPacer::new(now, &self.id, own, instances, rate));
            }
        }
    }

    /// Returns how long no request may be sent because the endpoint asked for a pause or states a
    /// limit; zero if one may be sent now.
    pub(super) fn hold_off(&self, now: PolicyTime) -> Duration {
        let limited = self.pacer.map_or(Duration::ZERO, |pacer| pacer.wait(now));
        self.stated.paused_until.since(now).max(limited)
    }

    pub(super) fn apply_cold_start(&mut self, now: PolicyTime) {
        if !self.record.cold_left.is_zero() {
            self.become_cold(now, self.record.cold_left);
        }
    }

    pub(super) fn become_cold(&mut self, now: PolicyTime, span: Duration) {
        self.cold_until = self.cold_until.max(now + span + COLD_MARGIN);
    }

    /// Keeps the state before the first of several failures.
    pub(super) fn record_baseline(&mut self, now: PolicyTime, is_failure: bool) {
        if !is_failure {
            self.before_failures = None;
        } else if self.before_failures.is_none() {
            self.before_failures = Some(FailureBaseline {
                at: now,
                outlier: self.outlier.clone(),
                cold_after_recovery: self.cold_after_recovery,
            });
        }
    }

    /// Returns whether new requests may be sent to this incarnation at all, as far as it and its
    /// registration say.
    pub(super) fn accepts_requests(&self, now: PolicyTime) -> bool {
        self.record.phase == EndpointPhase::Ready
            && !self.stated.is_leaving
            && self.lapses_at.is_none_or(|end| now < end)
    }

    /// Returns the estimated number of requests that the endpoint holds: those of this instance and
    /// those of others according to its latest report.
    pub(super) fn held_requests(&self, now: PolicyTime) -> f64 {
        f64::from(self.in_flight) + self.other_requests * self.freshness(now)
    }

    /// Returns the weight of the latest load report: one if it is fresh, close to zero if it is old.
    fn freshness(&self, now: PolicyTime) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64();
        (-age / REPORT_DECAY.as_secs_f64()).exp()
    }

    /// Records a load report of a response that is no longer in flight.
    pub(super) fn record_report(&mut self, now: PolicyTime, report: LoadReport) {
        let total = f64::from(report.running + report.waiting);
        self.other_requests = (total - f64::from(self.in_flight)).max(0.0);
        self.reported_at = now;
        self.average.record(total);
        if let Some(percent) = report.work_percent {
            self.work_factor.record(now, percent);
        }
    }

    /// Returns the wait expected at the endpoint as a multiple of the service's usual work time.
    pub(super) fn expected_wait(&self, now: PolicyTime) -> f64 {
        self.load_estimate(now).wait() * self.work_factor.at(now)
    }

    /// Returns the wait behind the requests that the endpoint is known to hold, as a multiple of the
    /// service's usual work time.
    pub(super) fn known_wait(&self, now: PolicyTime) -> f64 {
        self.load_estimate(now).known_wait() * self.work_factor.at(now)
    }

    fn load_estimate(&self, now: PolicyTime) -> LoadEstimate {
        LoadEstimate {
            held: self.held_requests(now),
            average: self.average.held(),
            freshness: self.freshness(now),
            slots: self.slots(),
        }
    }

    pub(super) fn slots(&self) -> f64 {
        f64::from(self.record.slots.max(1))
    }
}

/// Numbers of endpoints of one service by ejection cause.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EjectionCounts {
    pub(super) eligible: usize,
    pub(super) unusable: usize,
    pub(super) failing: usize,
}

impl EjectionCounts {
    pub(super) fn add(&mut self, ejection: Option<EjectionCause>) {
        self.eligible += 1;
        match ejection {
            Some(EjectionCause::Down | EjectionCause::Slow) => self.unusable += 1,
            Some(EjectionCause::Failing) => self.failing += 1,
            None => {}
        }
    }

    /// Returns whether an endpoint may be used. If most endpoints are down or slow, the cause is more
    /// likely in this instance or common to all of them. If many endpoints fail some of their
    /// requests, the others could not carry their load.
    pub(super) fn is_allowed(&self, ejection: Option<EjectionCause>) -> bool {
        match ejection {
            None => true,
            Some(EjectionCause::Down | EjectionCause::Slow) => self.unusable * 2 > self.eligible,
            Some(EjectionCause::Failing) => self.failing * ENDPOINTS_PER_FAILING > self.eligible,
        }
    }
}

/// Latest endpoints that this instance sent requests for each object to, the latest first.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentObjects {
    endpoints: HashMap<u64, SmallVec<[EndpointKey; MAX_SET]>>,
}

impl RecentObjects {
    /// Records an attempt. Returns whether the previous one for the object went to the same endpoint.
    pub(super) fn record(&mut self, object: u64, endpoint: EndpointKey) -> bool {
        if self.endpoints.len() >= MAX_RECENT_OBJECTS && !self.endpoints.contains_key(&object) {
            self.endpoints.clear();
        }
        let endpoints = self.endpoints.entry(object).or_default();
        if endpoints.first() == Some(&endpoint) {
            return true;
        }
        endpoints.retain(|known| *known != endpoint);
        endpoints.truncate(MAX_SET - 1);
        endpoints.insert(0, endpoint);
        false
    }

    /// Returns whether one of the latest requests for the object went to an endpoint.
    pub(super) fn contains(&self, object: u64, endpoint: EndpointKey) -> bool {
        self.endpoints.get(&object).is_some_and(|endpoints| endpoints.contains(&endpoint))
    }
}

pub(super) fn describe_change(old: &EndpointRecord, new: &EndpointRecord) -> EndpointChange {
    if old.states_same(new) {
        return EndpointChange::Same;
    }
    if old.started_ms != new.started_ms {
        return EndpointChange::Restarted;
    }
    match (old.phase, new.phase) {
        (EndpointPhase::Ready, EndpointPhase::Draining) => EndpointChange::Draining,
        (EndpointPhase::Draining, EndpointPhase::Ready) => EndpointChange::Ready,
        _ => EndpointChange::Updated,
    }
}

/// Returns the lower quartile of the endpoints' latencies in milliseconds, which slow endpoints do
/// not shift even if there are many of them.
pub(super) fn typical_latency(endpoints: &[EndpointState]) -> f64 {
    let mut latencies: Vec<f64> =
        endpoints.iter().map(|state| state.outlier.latency_ms()).filter(|ms| *ms > 0.0).collect();
    latencies.sort_by(f64::total_cmp);
    latencies.get(latencies.len() / 4).copied().unwrap_or(0.0)
}

/// Returns the mean of the average loads that endpoints reported, as a multiple of their slots; zero
/// without reports.
pub(super) fn mean_utilisation(endpoints: &[EndpointState]) -> f64 {
    let (mut held, mut slots) = (0.0, 0.0);
    for state in endpoints.iter().filter(|state| state.average.held() > 0.0) {
        held += state.average.held().min(state.slots());
        slots += state.slots();
    }
    if slots > 0.0 { held / slots } else { 0.0 }
}
