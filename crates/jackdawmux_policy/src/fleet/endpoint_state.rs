//! What one instance knows of an endpoint, beside what the endpoint says of itself.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use strum::Display;

use super::choice::EndpointKey;
use super::cold_start::ColdPacer;
use super::outlier::{EjectionCause, OutlierState};
use super::record::{EndpointPhase, EndpointRecord};
use crate::clock::PolicyTime;

/// Added to the time for which an endpoint is cold: its clock and ours count from other moments.
const COLD_MARGIN: Duration = Duration::from_millis(400);
/// Time in which the load that an endpoint reported loses its weight.
const REPORT_DECAY: Duration = Duration::from_millis(400);
/// Endpoints that fail in part are set aside only while they are at most one in so many.
const FAILING_PART: usize = 6;
/// Objects whose latest endpoint is remembered; beyond them all are forgotten.
const RECENT_LIMIT: usize = 16_384;

/// A change of what is believed, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum EndpointChange {
    /// Became known.
    Joined,
    /// Started anew under its old identity.
    Restarted,
    /// Takes nothing new.
    Draining,
    /// Takes requests again.
    Ready,
    /// Something else of the record changed.
    Updated,
    /// Its registration went while the store was away; kept for a moment.
    Lapsed,
    /// Gone.
    Left,
    /// Nothing changed.
    Same,
}

#[derive(Clone, Debug)]
pub(super) struct EndpointState {
    pub(super) record: EndpointRecord,
    pub(super) id: Arc<str>,
    pub(super) key: EndpointKey,
    /// Index of its region; past the end when its failure domain is unknown.
    pub(super) region: usize,
    pub(super) cold_until: PolicyTime,
    pub(super) pacer: ColdPacer,
    pub(super) in_flight: u32,
    pub(super) others: f64,
    pub(super) reported_at: PolicyTime,
    pub(super) outlier: OutlierState,
    /// Set while it cannot be reached: for how long it counts as cold once it answers again.
    pub(super) cold_on_return: Option<Duration>,
    pub(super) lapses_at: Option<PolicyTime>,
}

impl EndpointState {
    pub(super) fn new(record: EndpointRecord, region: usize, now: PolicyTime) -> Self {
        let key = EndpointKey::of(&record.id);
        let mut state = Self {
            id: Arc::from(record.id.as_str()),
            key,
            region,
            cold_until: PolicyTime::default(),
            pacer: ColdPacer::default(),
            in_flight: 0,
            others: 0.0,
            reported_at: now,
            outlier: OutlierState::default(),
            cold_on_return: None,
            lapses_at: None,
            record,
        };
        state.learn_cold(now);
        state
    }

    pub(super) fn learn_cold(&mut self, now: PolicyTime) {
        if !self.record.cold_left.is_zero() {
            self.become_cold(now, self.record.cold_left);
        }
    }

    pub(super) fn become_cold(&mut self, now: PolicyTime, span: Duration) {
        self.cold_until = self.cold_until.max(now + span + COLD_MARGIN);
    }

    /// Requests that it holds, as far as is known here.
    pub(super) fn held(&self, now: PolicyTime) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64();
        let others = self.others * (-age / REPORT_DECAY.as_secs_f64()).exp();
        f64::from(self.in_flight) + others
    }

    pub(super) fn slots(&self) -> f64 {
        f64::from(self.record.slots.max(1))
    }
}

/// Endpoints of one service by why they are set aside.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EjectionCounts {
    pub(super) eligible: usize,
    pub(super) unusable: usize,
    pub(super) failing: usize,
}

impl EjectionCounts {
    pub(super) fn add(&mut self, aside: Option<EjectionCause>) {
        self.eligible += 1;
        match aside {
            Some(EjectionCause::Down | EjectionCause::Slow) => self.unusable += 1,
            Some(EjectionCause::Failing) => self.failing += 1,
            None => {}
        }
    }

    /// Whether an endpoint may be used. When most look bad, the fault is more likely here or in
    /// all of them alike; when many fail in part, the others could not carry their load.
    pub(super) fn is_allowed(&self, aside: Option<EjectionCause>) -> bool {
        match aside {
            None => true,
            Some(EjectionCause::Down | EjectionCause::Slow) => self.unusable * 2 > self.eligible,
            Some(EjectionCause::Failing) => self.failing * FAILING_PART > self.eligible,
        }
    }
}

/// Where this instance's latest request for each object went.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentObjects {
    pub(super) endpoints: HashMap<u64, EndpointKey>,
}

impl RecentObjects {
    /// Notes a send; returns whether the one before went to the same endpoint.
    pub(super) fn learn(&mut self, object: u64, endpoint: EndpointKey) -> bool {
        if self.endpoints.len() >= RECENT_LIMIT && !self.endpoints.contains_key(&object) {
            self.endpoints.clear();
        }
        self.endpoints.insert(object, endpoint) == Some(endpoint)
    }
}

pub(super) fn describe_change(old: &EndpointRecord, new: &EndpointRecord) -> EndpointChange {
    if old == new {
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

/// Lower quartile of the endpoints' latencies: slow ones, even many, do not move it.
pub(super) fn usual_latency(endpoints: &[EndpointState]) -> f64 {
    let mut known: Vec<f64> =
        endpoints.iter().map(|state| state.outlier.latency_ms()).filter(|ms| *ms > 0.0).collect();
    known.sort_by(f64::total_cmp);
    known.get(known.len() / 4).copied().unwrap_or(0.0)
}
