//! Parsed rules and their compilation into a route table.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use jackdawmux_policy::fleet::record::{CallerLimits, RouteRecord, ServiceRecord};
use jackdawmux_policy::shift::ShiftPlan;
use jackdawmux_policy::table::{
    EndpointSpec, LinkSpec, OperationSpec, RegionSpec, RepeatRule, RequestPriority, RouteTable,
    ServiceSpec,
};
use smallvec::SmallVec;

/// Content of a rule.
#[derive(Clone, Debug, PartialEq)]
pub enum RuleKind {
    /// A region with its failure domains.
    Region {
        /// Name of the region.
        name: String,
        /// Names of its failure domains.
        domains: SmallVec<[String; 4]>,
    },
    /// A link between two regions.
    Link {
        /// Names of the two regions.
        regions: [String; 2],
        /// Bandwidth each way in bits per second.
        bits_per_second: u64,
        /// One-way delay.
        delay: Duration,
    },
    /// Endpoints of a service in one failure domain.
    Upstream {
        /// Name of the service.
        service: String,
        /// Addresses of the endpoints.
        addresses: Vec<SocketAddr>,
        /// Name of their failure domain.
        domain: String,
        /// Concurrent requests per endpoint.
        slots: u32,
        /// Open connections per endpoint.
        connections: u32,
    },
    /// An operation of a service.
    Operation {
        /// Name of the service.
        service: String,
        /// HTTP method.
        method: String,
        /// Path prefix.
        prefix: String,
        /// Priority of its requests.
        priority: RequestPriority,
        /// Whether its requests may be repeated.
        repeat: RepeatRule,
        /// Maximum time from the arrival of a request to the end of its processing.
        timeout: Duration,
    },
    /// A route that matches requests of callers by host and path.
    Route(RouteRecord),
    /// A service that routes may target.
    Service(ServiceRecord),
    /// Limits on requests and connections of callers.
    Limits(CallerLimits),
    /// A planned shift of traffic.
    Shift(ShiftPlan),
    /// Drained endpoints, which receive no new requests.
    DrainUpstream {
        /// Addresses of the endpoints.
        addresses: Vec<SocketAddr>,
    },
    /// A drained failure domain, whose endpoints receive no new requests.
    DrainDomain {
        /// Name of the failure domain.
        domain: String,
    },
}

/// A rule with its line and the comment naming who asked for it.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleLine {
    /// Line in the file, counted from 1.
    pub line: usize,
    /// Parsed content of the rule.
    pub kind: RuleKind,
    /// Text of the comment, trimmed.
    pub comment: String,
}

/// All rules of a checked file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RulesFile {
    /// Rules in the order of the file.
    pub lines: Vec<RuleLine>,
}

impl RulesFile {
    /// Compiles the rules into the route table of entries.
    #[must_use]
    pub fn compile(&self) -> RouteTable {
        let mut table = RouteTable::default();
        for rule in &self.lines {
            add_rule(&mut table, &rule.kind);
        }
        self.apply_drains(&mut table);
        table
    }

    fn apply_drains(&self, table: &mut RouteTable) {
        let mut addresses: BTreeSet<SocketAddr> = BTreeSet::new();
        let mut domains = BTreeSet::new();
        for rule in &self.lines {
            match &rule.kind {
                RuleKind::DrainUpstream { addresses: drained } => addresses.extend(drained),
                RuleKind::DrainDomain { domain } => {
                    domains.insert(domain.as_str());
                }
                RuleKind::Region { .. }
                | RuleKind::Link { .. }
                | RuleKind::Upstream { .. }
                | RuleKind::Operation { .. }
                | RuleKind::Route(_)
                | RuleKind::Service(_)
                | RuleKind::Limits(_)
                | RuleKind::Shift(_) => {}
            }
        }
        let endpoints = table.services.iter_mut().flat_map(|service| &mut service.endpoints);
        for endpoint in endpoints {
            endpoint.is_draining =
                addresses.contains(&endpoint.address) || domains.contains(endpoint.domain.as_str());
        }
    }
}

fn add_rule(table: &mut RouteTable, kind: &RuleKind) {
    match kind {
        RuleKind::Region { name, domains } => {
            table.regions.push(RegionSpec { name: name.clone(), domains: domains.clone() });
        }
        RuleKind::Link { regions, bits_per_second, delay } => table.links.push(LinkSpec {
            regions: regions.clone(),
            bits_per_second: *bits_per_second,
            delay: *delay,
        }),
        RuleKind::Upstream { service, addresses, domain, slots, connections } => {
            let endpoints = addresses.iter().map(|address| EndpointSpec {
                address: *address,
                domain: domain.clone(),
                slots: *slots,
                connections: *connections,
                is_draining: false,
            });
            service_spec_mut(table, service).endpoints.extend(endpoints);
        }
        RuleKind::Operation { service, method, prefix, priority, repeat, timeout } => {
            service_spec_mut(table, service).operations.push(OperationSpec {
                method: method.clone(),
                prefix: prefix.clone(),
                priority: *priority,
                repeat: *repeat,
                timeout: *timeout,
            });
        }
        RuleKind::Shift(plan) => table.shifts.push(plan.clone()),
        // Routes, services and limits apply to fronts, see `fleet`; drains are applied afterwards.
        RuleKind::Route(_)
        | RuleKind::Service(_)
        | RuleKind::Limits(_)
        | RuleKind::DrainUpstream { .. }
        | RuleKind::DrainDomain { .. } => {}
    }
}

fn service_spec_mut<'table>(table: &'table mut RouteTable, name: &str) -> &'table mut ServiceSpec {
    if let Some(index) = table.services.iter().position(|service| service.name == name) {
        return &mut table.services[index];
    }
    table.services.push(ServiceSpec {
        name: name.to_owned(),
        operations: Vec::new(),
        endpoints: Vec::new(),
    });
    let last = table.services.len() - 1;
    &mut table.services[last]
}
