//! Checks of planned stops, lookups and recovery.

use std::time::Duration;

use jackdawmux_platform_standins::manifest::ROUTE_TIMEOUT;

use super::{RunChecker, SoakPromise};
use crate::disturbance::{DisturbedComponent, STABILITY_WINDOW};
use crate::plan::FaultKind;
use crate::record::{FrontProcessRecord, RequestOutcome, RequestRecord};

/// Time after a request's last byte in which the front may still close the connection without
/// having received the request. A cut within this time is no violation.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(200);
/// Time after the exit of a front for which lookups may still return it.
const MAX_LISTED_AFTER_EXIT: Duration = Duration::from_secs(6);
/// Number of lookups that may return an exited front beyond that time.
const MAX_STALE_LOOKUPS: usize = 3;
/// Minimum share of requests that must succeed once service had to be recovered.
const MIN_RECOVERED_SHARE: f64 = 0.25;

impl<'run> RunChecker<'_, 'run> {
    pub(super) fn check_stops(&mut self) {
        let disturbances = self.observations.disturbances;
        let mut violations = Vec::new();
        for process in &self.observations.events.front_processes {
            let Some(stop_requested_at) = process.stop_requested_at else {
                continue;
            };
            for request in self.cut_requests(process) {
                let is_close_race = request.elapsed() <= CLOSE_RACE_WINDOW;
                let is_timed_out = request.elapsed() >= ROUTE_TIMEOUT.min(request.caller_timeout);
                let is_after_stop_request = request.ended_at > stop_requested_at;
                let is_otherwise_disturbed =
                    disturbances.any_overlaps(request.sent_at, request.ended_at, |span| {
                        span.kind != FaultKind::FrontStopped
                            || span.component != DisturbedComponent::Front(process.front)
                    });
                if is_after_stop_request
                    && !is_close_race
                    && !is_timed_out
                    && !is_otherwise_disturbed
                {
                    let detail =
                        format!("{} was cut by front {}", request.attempt_id, process.front);
                    violations.push(detail);
                }
            }
        }
        for detail in violations {
            self.report(SoakPromise::StopCutsNothing, detail);
        }
    }

    fn cut_requests(
        &self,
        process: &FrontProcessRecord,
    ) -> impl Iterator<Item = &'run RequestRecord> {
        let process = *process;
        self.observations.requests.iter().filter(move |request| {
            (request.front, request.start_number) == (process.front, process.start_number)
                && request.outcome == RequestOutcome::Cut
        })
    }

    pub(super) fn check_lookups(&mut self) {
        let mut stale_lookups = Vec::new();
        for lookup in self.observations.lookups {
            let since = lookup.at.checked_sub(STABILITY_WINDOW).unwrap_or(lookup.at);
            if !self.observations.disturbances.is_connected(lookup.front, since, lookup.at) {
                continue;
            }
            let has_exited = |front: &usize| {
                let processes = &self.observations.events.front_processes;
                let newest_process = processes
                    .iter()
                    .rfind(|process| process.front == *front && process.started_at <= lookup.at);
                newest_process
                    .and_then(|process| process.exited_at)
                    .is_some_and(|exited_at| exited_at + MAX_LISTED_AFTER_EXIT < lookup.at)
            };
            if lookup.listed_fronts.iter().any(has_exited) {
                stale_lookups.push(format!(
                    "lookup at front {} returned {:?}",
                    lookup.front, lookup.listed_fronts
                ));
            }
        }
        if stale_lookups.len() > MAX_STALE_LOOKUPS {
            self.report(SoakPromise::LookupIsFresh, stale_lookups.join(", "));
        }
    }

    pub(super) fn check_recovery(&mut self) {
        let checked_requests: Vec<&RequestRecord> = self
            .observations
            .requests
            .iter()
            .filter(|request| request.sent_at >= self.observations.recovery_due_at)
            .collect();
        let served = checked_requests.iter().filter(|request| request.status() == 200).count();
        let has_recovered = served as f64 >= MIN_RECOVERED_SHARE * checked_requests.len() as f64;
        if checked_requests.is_empty() || !has_recovered {
            let detail = format!(
                "{served} of {} requests succeeded after the faults",
                checked_requests.len()
            );
            self.report(SoakPromise::ServiceRecovers, detail);
        }
    }
}
