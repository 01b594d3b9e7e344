//! What the rules say to fronts: routes, services, endpoints and domains that are left alone.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use jackdawmux_policy::fleet::record::{CallerLimits, ConfigRecord, EndpointPhase, EndpointRecord};

use crate::rule::{RuleKind, RulesFile};

/// Bounds on callers while no rule states others; the entries have the same.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    max_header_bytes: 32 * 1024,
    max_body_bytes: 64 * 1024 * 1024,
    header_timeout: Duration::from_secs(15),
    idle_timeout: Duration::from_secs(15),
};

/// The rules of one version as fronts read them.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetRules {
    /// Routes, services and limits.
    pub config: ConfigRecord,
    /// Endpoints of every service.
    pub endpoints: Vec<EndpointRecord>,
    /// Failure domains that are left alone.
    pub drained_domains: BTreeSet<String>,
}

impl RulesFile {
    /// What the rules say to fronts, as version `version`.
    #[must_use]
    pub fn fleet_rules(&self, version: u64) -> FleetRules {
        let mut config = ConfigRecord {
            version,
            routes: Vec::new(),
            services: Vec::new(),
            limits: DEFAULT_LIMITS,
        };
        let mut drained_domains = BTreeSet::new();
        for rule in &self.lines {
            match &rule.kind {
                RuleKind::Route(route) => config.routes.push(route.clone()),
                RuleKind::Service(service) => config.services.push(service.clone()),
                RuleKind::Limits(limits) => config.limits = *limits,
                RuleKind::DrainDomain { domain } => {
                    drained_domains.insert(domain.clone());
                }
                RuleKind::Region { .. }
                | RuleKind::Link { .. }
                | RuleKind::Upstream { .. }
                | RuleKind::Operation { .. }
                | RuleKind::Shift(_)
                | RuleKind::DrainUpstream { .. } => {}
            }
        }
        FleetRules { config, endpoints: self.fleet_endpoints(), drained_domains }
    }

    fn fleet_endpoints(&self) -> Vec<EndpointRecord> {
        let drained: BTreeSet<SocketAddr> = self
            .lines
            .iter()
            .filter_map(|rule| match &rule.kind {
                RuleKind::DrainUpstream { addresses } => Some(addresses),
                _ => None,
            })
            .flatten()
            .copied()
            .collect();
        let mut endpoints = Vec::new();
        for rule in &self.lines {
            let RuleKind::Upstream { service, addresses, domain, slots, .. } = &rule.kind else {
                continue;
            };
            endpoints.extend(addresses.iter().map(|address| EndpointRecord {
                id: format!("{service}@{address}"),
                service: service.clone(),
                address: *address,
                domain: domain.clone(),
                slots: *slots,
                phase: if drained.contains(address) {
                    EndpointPhase::Draining
                } else {
                    EndpointPhase::Ready
                },
                cold_left: Duration::ZERO,
                started_ms: 0,
            }));
        }
        endpoints
    }
}
