//! Follows the demand of each region for services that are steered by expected wait.

use std::time::Duration;

use super::super::region_demand::{DemandStatements, MAX_STATEMENTS, service_hash};
use super::super::region_share::{RegionShares, demand_shares, region_shares};
use super::{FleetSteering, ServiceState};
use crate::clock::PolicyTime;

impl FleetSteering {
    /// Returns whether the shares of the regions follow the demand for a service.
    pub(super) fn follows_demand(&self, service: &str) -> bool {
        self.bounds.has_demand_shares && self.is_steered_by_wait(service)
    }

    /// Sets the failure domains of all registered instances, one entry for each instance.
    pub fn set_instance_domains<'domain>(
        &mut self,
        domains: impl IntoIterator<Item = &'domain str>,
    ) {
        let mut members: Vec<usize> = vec![0; self.region_names.len()];
        for domain in domains {
            if let Some(count) = members.get_mut(self.region_index(domain)) {
                *count += 1;
            }
        }
        self.region_members = members;
    }

    /// Returns the demand that this instance states in its heartbeats; empty if no service is steered
    /// by expected wait.
    #[must_use]
    pub fn demand_statements(&self, now: PolicyTime) -> DemandStatements {
        let members = self.region_members.get(self.own_region).copied().unwrap_or_default();
        let steered = self.services.iter().filter(|(name, _)| self.follows_demand(name));
        let mut statements: Vec<_> = steered
            .map(|(name, service)| service.demand.statement(now, name, self.own_region, members))
            .collect();
        statements.sort_by_key(|statement| std::cmp::Reverse(statement.own));
        statements.into_iter().take(MAX_STATEMENTS).collect()
    }

    /// Records the demand that a registered instance in a failure domain states.
    pub fn record_demands(
        &mut self,
        now: PolicyTime,
        instance: &str,
        domain: &str,
        statements: &DemandStatements,
    ) {
        let region = self.region_index(domain);
        for (name, service) in &mut self.services {
            let hash = service_hash(name);
            if let Some(stated) = statements.iter().find(|stated| stated.service == hash) {
                service.demand.record(now, instance, region, *stated);
            }
        }
    }

    /// Returns the services that are steered by expected wait, each with the share of this region's
    /// demand that each region serves and its usual work time, for logs.
    #[must_use]
    pub fn steered_services(&self, now: PolicyTime) -> Vec<(&str, RegionShares, Option<Duration>)> {
        let steered = self.services.iter().filter(|(name, _)| self.follows_demand(name));
        let described = steered.map(|(name, service)| {
            let capacity = self.region_capacity(now, service);
            let even = region_shares(self.own_region, &capacity);
            (name.as_str(), service.shift.apply(&even, &capacity), self.usual_work(name))
        });
        described.collect()
    }

    /// Updates the demand for each service and moves its shares.
    pub(super) fn update_demand(&mut self, now: PolicyTime) {
        let steered: Vec<String> =
            self.services.keys().filter(|name| self.follows_demand(name)).cloned().collect();
        for name in steered {
            let Some(service) = self.services.get(&name) else {
                continue;
            };
            let capacity = self.region_capacity(now, service);
            let free = service.homed.free_capacity(&capacity, capacity.iter().sum());
            let even = region_shares(self.own_region, &free);
            let Some(service) = self.services.get_mut(&name) else {
                continue;
            };
            let in_flight: u32 = service.endpoints.iter().map(|state| state.in_flight).sum();
            service.demand.update_own(now, f64::from(in_flight));
            let demand = service.demand.by_region(now, self.own_region, &self.region_members);
            let target = demand.map_or_else(
                || even.clone(),
                |demand| {
                    // Bound requests are served in their homes, whatever the shares are.
                    let free = service.homed.free_capacity(&capacity, demand.iter().sum());
                    let unbound = 1.0 - service.homed.total_share();
                    let demand: RegionShares = demand.iter().map(|sum| sum * unbound).collect();
                    demand_shares(self.own_region, &free, &demand)
                },
            );
            service.shift.move_towards(now, &even, &target, &capacity);
        }
    }

    /// Returns the slots of a service by region.
    fn region_capacity(&self, now: PolicyTime, service: &ServiceState) -> RegionShares {
        let mut capacity: RegionShares = self.region_names.iter().map(|_| 0.0).collect();
        for state in &service.endpoints {
            let is_usable =
                state.accepts_requests(now) && !self.evacuated.contains(&state.record.domain);
            if let Some(slots) = capacity.get_mut(state.region).filter(|_| is_usable) {
                *slots += state.slots();
            }
        }
        capacity
    }
}
