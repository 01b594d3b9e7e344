//! Configuration that fronts derive from the rules: routes, services, limits, endpoints and drained
//! failure domains.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use jackdawmux_policy::fleet::record::{CallerLimits, ConfigRecord, EndpointPhase, EndpointRecord};

use crate::rule::{RuleKind, RulesFile};

/// Limits on callers when no `limits` rule sets others. The header size and the idle timeout are
/// those of the entries.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    max_header_bytes: 32 * 1024,
    max_body_bytes: 64 * 1024 * 1024,
    header_timeout: Duration::from_secs(15),
    idle_timeout: Duration::from_secs(15),
};

/// Configuration of fronts, derived from one version of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetRules {
    /// Routes, services and limits.
    pub config: ConfigRecord,
    /// Endpoints of every service.
    pub endpoints: Vec<EndpointRecord>,
    /// Drained failure domains.
    pub drained_domains: BTreeSet<String>,
}

impl RulesFile {
    /// Derives the configuration of fronts, numbered `version`.
    #[must_use]
    pub fn fleet_rules(&self, version: u64) -> FleetRules {
        let mut config = ConfigRecord {
            version,
            routes: Vec::new(),
            services: Vec::new(),
            limits: DEFAULT_LIMITS,
            teams: None,
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
                sequence: None,
            }));
        }
        endpoints
    }
}
