//! One log line for each request that failed or needed several attempts, and for a sample of the
//! others.

use std::sync::Arc;

use axum::http::StatusCode;
use jackdawmux_policy::fleet::choice::EndpointChoice;
use smallvec::SmallVec;

use super::hop::HopRecord;
use super::plan::RequestPlan;
use super::team_access::AccessDenial;
use crate::process::FrontState;

/// One in this many routine requests is logged.
const ROUTINE_SAMPLE_DENOMINATOR: u32 = 200;

/// Attempts of a request, recorded for its log line.
#[derive(Debug, Default)]
pub(crate) struct AccessLogEntry {
    attempts: SmallVec<[AttemptEntry; 2]>,
}

/// One attempt with its outcome.
#[derive(Debug)]
struct AttemptEntry {
    endpoint: Arc<str>,
    rank: usize,
    outcome: &'static str,
}

/// Logs and counts a request that was refused before it had a plan.
pub(crate) fn write_denial(state: &FrontState, denial: &AccessDenial, hop: Option<&HopRecord>) {
    let AccessDenial { refusal, team } = denial;
    let team = team.as_ref().map_or("-", |team| &team.name);
    // A forwarded request is counted where it came from.
    if refusal.concerns_key() && hop.is_none() {
        state.metrics.count_team_request(team, refusal.status().as_str());
    }
    log::info!(
        "event=request-refused outcome=not-run reason={refusal} team={team} origin={}",
        hop.map_or("-", |hop| hop.origin.as_str())
    );
}

impl AccessLogEntry {
    /// Records the endpoint of a new attempt.
    pub(crate) fn record_attempt(&mut self, choice: &EndpointChoice) {
        let endpoint = Arc::clone(&choice.id);
        self.attempts.push(AttemptEntry { endpoint, rank: choice.rank, outcome: "open" });
    }

    /// Records the peer of a new attempt.
    pub(crate) fn record_peer(&mut self, peer: &str) {
        let endpoint = Arc::from(format!("peer:{peer}"));
        self.attempts.push(AttemptEntry { endpoint, rank: 0, outcome: "open" });
    }

    /// Records the outcome of the latest attempt.
    pub(crate) fn record_outcome(&mut self, outcome: &'static str) {
        if let Some(attempt) = self.attempts.last_mut() {
            attempt.outcome = outcome;
        }
    }

    /// Number of attempts so far.
    pub(crate) fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Counts the request in the metrics, and writes the log line unless the request is a routine
    /// one that is not sampled.
    pub(crate) fn write(
        &self,
        state: &FrontState,
        plan: &RequestPlan,
        status: StatusCode,
        reason: &str,
    ) {
        let elapsed = state.clock.now().since(plan.started);
        if plan.hop.is_some() {
            state.metrics.count_forwarded("received");
        } else {
            state.metrics.count_request(&plan.service, status.as_str(), elapsed);
            if plan.access.replaces_headers() {
                state.metrics.count_team_request(plan.team_text(), status.as_str());
            }
        }
        let is_routine = status.is_success() && self.attempts.len() == 1;
        if is_routine && !rand::random_ratio(1, ROUTINE_SAMPLE_DENOMINATOR) {
            return;
        }
        let attempts: Vec<String> = self
            .attempts
            .iter()
            .map(|attempt| format!("{}/{}/{}", attempt.endpoint, attempt.rank, attempt.outcome))
            .collect();
        log::info!(
            "event=request request={} route={} team={} priority={} object={} service={} config={} status={} reason={reason} \
             elapsed_ms={} allowed_ms={} stopping_ms={} sends={} origin={}",
            plan.attempt_text(),
            plan.route.name,
            plan.team_text(),
            plan.priority(),
            plan.object_text(),
            plan.service,
            plan.table.version(),
            status.as_u16(),
            elapsed.as_millis(),
            plan.deadline.since(plan.started).as_millis(),
            state
                .since_stop(plan.started)
                .map_or_else(|| "-".to_owned(), |since| since.as_millis().to_string()),
            if attempts.is_empty() { "none".to_owned() } else { attempts.join(",") },
            plan.hop.as_ref().map_or("-", |hop| hop.origin.as_str()),
        );
    }
}
