//! Steers requests by expected wait, for services whose endpoints state how long work takes.

use std::time::Duration;

use super::super::choice::{EndpointChoice, EndpointKey, EndpointQuery};
use super::super::endpoint_set::{EndpointSet, SetMember};
use super::super::endpoint_state::EndpointState;
use super::FleetSteering;
use crate::clock::PolicyTime;

impl FleetSteering {
    /// Returns whether requests to a service are steered by expected wait.
    #[must_use]
    pub fn is_steered_by_wait(&self, service: &str) -> bool {
        let service = self.services.get(service);
        let has_caps = self.bounds.teams.is_some_and(|teams| teams.has_caps);
        let is_on = self.bounds.has_pressure || has_caps;
        service.is_some_and(|service| is_on || service.states_work)
    }

    /// Returns the wait expected before the work of a new request begins at an endpoint, by its index
    /// in the service; zero if there is no estimate.
    #[must_use]
    pub fn expected_wait(&self, now: PolicyTime, service: &str, index: usize) -> Duration {
        let usual = self.usual_work(service).unwrap_or_default();
        let state = self.services.get(service).and_then(|service| service.endpoints.get(index));
        usual.mul_f64(state.map_or(0.0, |state| state.expected_wait(now)))
    }

    /// Returns the wait at an endpoint behind the requests that it is known to hold; zero if there is no
    /// estimate. Unlike [`FleetSteering::expected_wait`] it contains no average, which outlasts an
    /// overload: refusals that depend on it would prevent the reports that correct it.
    pub(super) fn known_wait(&self, now: PolicyTime, service: &str, index: usize) -> Duration {
        let usual = self.usual_work(service).unwrap_or_default();
        let state = self.services.get(service).and_then(|service| service.endpoints.get(index));
        usual.mul_f64(state.map_or(0.0, |state| state.known_wait(now)))
    }

    /// Returns the usual work time of a service for a warm object; `None` if there is no estimate.
    #[must_use]
    pub fn usual_work(&self, service: &str) -> Option<Duration> {
        let usual_ms = self.services.get(service)?.work.usual_ms()?;
        Some(Duration::from_secs_f64(usual_ms / 1e3))
    }

    /// Records how long a complete response took, after [`FleetSteering::finish`].
    pub fn record_answer(
        &mut self,
        now: PolicyTime,
        service: &str,
        choice: &EndpointChoice,
        latency: Duration,
    ) {
        let Some(service) = self.services.get_mut(service) else {
            return;
        };
        let Some(state) = service.endpoints.iter().find(|state| state.key == choice.key) else {
            return;
        };
        let work = latency.saturating_sub(choice.expected_wait);
        let work_ms = work.as_secs_f64() * 1e3 / state.work_factor.at(now);
        if let Some(usual_ms) = service.work.usual_ms() {
            service.cold_shares.record(choice.rank, choice.is_warm, work_ms / usual_ms);
        }
        if choice.is_warm {
            service.work.record(work_ms);
            service.work_sampled_at = now;
        }
    }

    /// Returns the endpoints that a request may be sent to with their expected times; `None` if the
    /// service is not steered by wait or the work time is not known yet. Cold endpoints are left out.
    pub(super) fn endpoint_set(
        &self,
        now: PolicyTime,
        query: &EndpointQuery<'_>,
        candidates: &[usize],
        has_idle: &dyn Fn(EndpointKey) -> bool,
    ) -> Option<EndpointSet> {
        let service = self.services.get(query.service)?;
        let is_on = service.states_work && self.bounds.has_endpoint_sets;
        service.work.usual_ms().filter(|_| is_on)?;
        let member = |rank: usize, index: usize, state: &EndpointState| {
            let wait = state.expected_wait(now);
            let is_known = self.recent.contains(query.object, state.key);
            // Requests of a route that is not sticky have no object that could be warm.
            let shares = &service.cold_shares;
            let work = if query.route.is_sticky {
                shares.expected_cost(rank, is_known, service.utilisation)
            } else {
                1.0
            };
            let time = work.mul_add(state.work_factor.at(now), wait);
            SetMember { rank, index, wait, time, is_connected: has_idle(state.key) }
        };
        let states = candidates
            .iter()
            .enumerate()
            .filter_map(|(rank, index)| Some((rank, *index, service.endpoints.get(*index)?)));
        let warm = states.filter(|(_, _, state)| now >= state.cold_until);
        Some(warm.map(|(rank, index, state)| member(rank, index, state)).collect())
    }
}
