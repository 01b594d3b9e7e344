//! Whether fronts live, stop, are named and recover as promised.

use std::time::Duration;

use jackdawmux_platform_standins::manifest::ROUTE_TIMEOUT;

use super::{RunChecker, SoakPromise};
use crate::disturbance::{DisturbedComponent, STABILITY_WINDOW};
use crate::plan::FaultKind;
use crate::record::{FrontProcessRecord, RequestOutcome, RequestRecord};

/// Time after a request's last byte within which it crosses a planned close.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time after its end until no look-up names a front.
const NAMED_LONGEST: Duration = Duration::from_secs(6);
/// Look-ups that may name a front that is gone.
const FEW_NAMED: usize = 3;
/// Share of requests that are served after everything has been in order for long enough.
const RECOVERED_SHARE: f64 = 0.25;

impl<'run> RunChecker<'_, 'run> {
    pub(super) fn check_stops(&mut self) {
        let disturbances = self.observations.disturbances;
        let mut found = Vec::new();
        for life in &self.observations.events.front_processes {
            let Some(asked) = life.stop_requested_at else {
                continue;
            };
            for request in self.cut_requests(life) {
                let is_crossing = request.elapsed() <= LOSS_SLACK;
                let is_late = request.elapsed() >= ROUTE_TIMEOUT.min(request.caller_timeout);
                let is_planned = request.ended_at > asked;
                let is_unplanned_near =
                    disturbances.any_overlaps(request.sent_at, request.ended_at, |span| {
                        span.kind != FaultKind::FrontStopped
                            || span.component != DisturbedComponent::Front(life.front)
                    });
                if is_planned && !is_crossing && !is_late && !is_unplanned_near {
                    let detail = format!("{} was cut by front {}", request.attempt_id, life.front);
                    found.push(detail);
                }
            }
        }
        for detail in found {
            self.report(SoakPromise::StopCutsNothing, detail);
        }
    }

    fn cut_requests(&self, life: &FrontProcessRecord) -> impl Iterator<Item = &'run RequestRecord> {
        let life = *life;
        self.observations.requests.iter().filter(move |request| {
            (request.front, request.start_number) == (life.front, life.start_number)
                && request.outcome == RequestOutcome::Cut
        })
    }

    pub(super) fn check_lookups(&mut self) {
        let mut stale = Vec::new();
        for lookup in self.observations.lookups {
            let since = lookup.at.checked_sub(STABILITY_WINDOW).unwrap_or(lookup.at);
            if !self.observations.disturbances.is_connected(lookup.front, since, lookup.at) {
                continue;
            }
            let is_gone = |front: &usize| {
                let lives = &self.observations.events.front_processes;
                let newest = lives
                    .iter()
                    .rfind(|process| process.front == *front && process.started_at <= lookup.at);
                newest
                    .and_then(|process| process.exited_at)
                    .is_some_and(|end| end + NAMED_LONGEST < lookup.at)
            };
            if lookup.listed_fronts.iter().any(is_gone) {
                stale.push(format!("front {} named {:?}", lookup.front, lookup.listed_fronts));
            }
        }
        if stale.len() > FEW_NAMED {
            self.report(SoakPromise::LookupIsFresh, stale.join(", "));
        }
    }

    pub(super) fn check_recovery(&mut self) {
        let calm: Vec<&RequestRecord> = self
            .observations
            .requests
            .iter()
            .filter(|request| request.sent_at >= self.observations.recovery_due_at)
            .collect();
        let served = calm.iter().filter(|request| request.status() == 200).count();
        let is_back = served as f64 >= RECOVERED_SHARE * calm.len() as f64;
        if calm.is_empty() || !is_back {
            let detail = format!("{served} of {} requests were served in the end", calm.len());
            self.report(SoakPromise::ServiceRecovers, detail);
        }
    }
}
