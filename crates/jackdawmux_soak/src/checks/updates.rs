//! Checks that fronts act on updates from the operator and the endpoints.

use std::time::{Duration, Instant};

use jackdawmux_platform_standins::manifest::COLD_REQUESTS_PER_SECOND;

use super::{RunChecker, SoakPromise};
use crate::disturbance::STABILITY_WINDOW;
use crate::fleet::COLD_DURATION_MS;
use crate::inject::DRAIN_TIME;
use crate::record::RequestKind;

/// Time within which a configuration version must be active on every connected front.
const MAX_CONFIG_APPLY: Duration = Duration::from_secs(2);
/// Time within which fronts must stop sending to an evacuated domain.
const MAX_EVACUATION: Duration = Duration::from_secs(5);
/// Time for which a front may still route by an older version after it routed by a newer one.
const ROLLBACK_TOLERANCE: Duration = Duration::from_millis(250);
/// Multiple of its declared request rate that a cold endpoint may receive; the `coldMultiplier` of
/// the fronts' settings.
const COLD_MULTIPLIER: f64 = 1.5;
/// Requests that a cold endpoint may receive in addition in one second; the `coldSlack` of the
/// fronts' settings.
const COLD_SLACK: f64 = 5.0;

impl<'run> RunChecker<'_, 'run> {
    pub(super) fn check_exclusions(&mut self) {
        let drains = &self.observations.events.drains;
        let evacuations = &self.observations.events.evacuations;
        let mut violations = Vec::new();
        for arrival in &self.arrivals {
            let Some(request) = arrival.request else {
                continue;
            };
            let endpoint = arrival.endpoint;
            // It was sent to an earlier endpoint at the address; the rules do not count it.
            if arrival.arrival.is_misdirected(&endpoint.standin.id) {
                continue;
            }
            let at = arrival.arrival.at;
            let disturbances = self.observations.disturbances;
            let is_excused = |since: Instant| {
                !disturbances.is_connected(request.front, since, at)
                    || disturbances.is_endpoint_disturbed(&endpoint.standin.id, request.sent_at, at)
                    || self.is_held_up(request.front, at)
            };
            let detail = || {
                format!(
                    "{} from front {} reached {} in {}",
                    request.attempt_id, request.front, endpoint.standin.id, endpoint.domain
                )
            };
            let drain = drains.iter().find(|record| record.name == endpoint.standin.id);
            if let Some(record) = drain
                && at > record.acked_at + DRAIN_TIME
                && !is_excused(record.acked_at)
            {
                violations.push((SoakPromise::DrainIsKept, detail()));
            }
            let evacuation = evacuations.iter().find(|record| {
                record.name == endpoint.domain
                    && at > record.acked_at + MAX_EVACUATION
                    && record.revoked_at.is_none_or(|revoked_at| at < revoked_at)
            });
            if let Some(record) = evacuation
                && !is_excused(record.acked_at)
            {
                violations.push((SoakPromise::EvacuationIsKept, detail()));
            }
        }
        for (promise, detail) in violations {
            self.report(promise, detail);
        }
    }

    /// Whether the links from a front to the endpoints were cut within the stability window before a
    /// moment. What was sent into them arrives when the cut ends, however long ago the front gave it up.
    fn is_held_up(&self, front: usize, at: Instant) -> bool {
        self.observations.events.partitions.iter().any(|partition| {
            partition.fronts.contains(&front)
                && partition.started_at <= at
                && at <= partition.ended_at + STABILITY_WINDOW
        })
    }

    /// Versions, with their services, that may be active for a request that was sent at `sent_at`
    /// and observed at `seen_at`.
    fn active_versions(&self, sent_at: Instant, seen_at: Instant) -> Vec<(u64, &'static str)> {
        let versions = &self.observations.events.versions;
        let oldest =
            versions.iter().rposition(|record| record.acked_at + MAX_CONFIG_APPLY < sent_at);
        let from = oldest.unwrap_or(0);
        let newer = versions[from..].iter().filter(|record| record.write_started_at <= seen_at);
        newer.map(|record| (record.version, record.service)).collect()
    }

    pub(super) fn check_versions(&mut self) {
        let mut violations = Vec::new();
        for arrival in self.arrivals.iter().filter(|arrival| arrival.arrival.is_run) {
            let Some(request) = arrival.request else {
                continue;
            };
            let at = arrival.arrival.at;
            let since = request.sent_at.checked_sub(MAX_CONFIG_APPLY).unwrap_or(request.sent_at);
            if !self.observations.disturbances.is_connected(request.front, since, at) {
                continue;
            }
            let allowed = self.active_versions(request.sent_at, at);
            let is_allowed = match request.kind {
                RequestKind::Read | RequestKind::Payment => {
                    allowed.iter().any(|(_, service)| *service == arrival.endpoint.service)
                }
                RequestKind::Probe { version } => {
                    allowed.iter().any(|(other, _)| *other == version)
                }
            };
            if !is_allowed {
                violations.push(format!(
                    "{} {} at front {} ran at {} of {}, active: {allowed:?}",
                    request.attempt_id,
                    request.target,
                    request.front,
                    arrival.endpoint.standin.id,
                    arrival.endpoint.service
                ));
            }
        }
        for request in self.observations.requests.iter().filter(|request| request.status() == 404) {
            let RequestKind::Probe { version } = request.kind else {
                continue;
            };
            let since = request.sent_at.checked_sub(MAX_CONFIG_APPLY).unwrap_or(request.sent_at);
            let disturbances = self.observations.disturbances;
            let allowed = self.active_versions(request.sent_at, request.ended_at);
            let is_only = allowed.iter().all(|(other, _)| *other == version);
            if is_only && disturbances.is_connected(request.front, since, request.ended_at) {
                violations.push(format!(
                    "{} got 404 although the active version has its route",
                    request.attempt_id
                ));
            }
        }
        for detail in violations {
            self.report(SoakPromise::VersionIsInForce, detail);
        }
    }

    /// An executed probe shows that its version was active on the front. The same process must not
    /// route later probes by an older version.
    pub(super) fn check_rollback(&mut self) {
        let mut observed: Vec<(usize, u64, Instant, u64)> = Vec::new();
        for arrival in self.arrivals.iter().filter(|arrival| arrival.arrival.is_run) {
            let Some(request) = arrival.request else {
                continue;
            };
            if let RequestKind::Probe { version } = request.kind {
                observed.push((request.front, request.start_number, arrival.arrival.at, version));
            }
        }
        let mut violations = Vec::new();
        for arrival in self.arrivals.iter().filter(|arrival| arrival.arrival.is_run) {
            let Some((request, version)) = arrival.request.and_then(|request| match request.kind {
                RequestKind::Probe { version } => Some((request, version)),
                _ => None,
            }) else {
                continue;
            };
            let newer = observed.iter().find(|(front, start_number, at, newer)| {
                (*front, *start_number) == (request.front, request.start_number)
                    && *at + ROLLBACK_TOLERANCE < request.sent_at
                    && *newer > version
            });
            // A request can be in flight across a restart of its front. Only probes sent to the
            // same process are compared.
            if let Some((front, _, _, newer)) = newer {
                violations.push(format!(
                    "front {front} applied version {newer} before it routed {} by {version}",
                    request.attempt_id
                ));
            }
        }
        for detail in violations {
            self.report(SoakPromise::VersionStays, detail);
        }
    }

    pub(super) fn check_cold_rate(&mut self) {
        let max_per_second = COLD_REQUESTS_PER_SECOND * COLD_MULTIPLIER + COLD_SLACK;
        let cold_duration = Duration::from_millis(COLD_DURATION_MS);
        let mut violations = Vec::new();
        for endpoint in self.observations.endpoints {
            let Some(cold_since) = endpoint.cold_since else {
                continue;
            };
            let mut times: Vec<Instant> =
                endpoint.standin.arrivals().iter().map(|arrival| arrival.at).collect();
            times.retain(|at| *at < cold_since + cold_duration);
            times.sort();
            let within = |at: &Instant| {
                let until = *at + Duration::from_secs(1);
                times.iter().filter(|other| (*at..until).contains(*other)).count()
            };
            let peak = times.iter().map(within).max().unwrap_or(0);
            if peak as f64 > max_per_second {
                let name = &endpoint.standin.id;
                violations.push(format!(
                    "{name} got {peak} requests in one second, {max_per_second} allowed"
                ));
            }
        }
        for detail in violations {
            self.report(SoakPromise::ColdIsSpared, detail);
        }
    }
}
