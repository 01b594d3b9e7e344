//! Checks across lines: undefined names and duplicate definitions.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use crate::diagnostic::DiagnosticSink;
use crate::rule::{RuleKind, RuleLine, RulesFile};

/// Names and addresses defined in the file.
struct DefinedNames<'file> {
    regions: HashSet<&'file str>,
    domains: HashSet<&'file str>,
    services: HashSet<&'file str>,
    /// Services that routes may target.
    route_services: HashSet<&'file str>,
    addresses: HashSet<SocketAddr>,
}

/// Reports undefined names and duplicate definitions in the whole file.
pub(crate) fn check_rules(file: &RulesFile, text: &str, sink: &mut DiagnosticSink) {
    if file.lines.is_empty() && sink.is_empty() {
        sink.enter_line(1, "");
        sink.report(
            0..0,
            "the file contains no rules; accepting it would remove every service",
            "add rules, or keep the currently accepted file",
        );
    }
    let source: Vec<&str> = text.lines().collect();
    let names = collect_names(file);
    let mut seen: HashMap<String, usize> = HashMap::new();
    for rule in &file.lines {
        let line = source.get(rule.line - 1).copied().unwrap_or_default();
        sink.enter_line(rule.line, line);
        check_duplicates(rule, line, &mut seen, sink);
        check_names(rule, line, &names, sink);
    }
}

fn collect_names(file: &RulesFile) -> DefinedNames<'_> {
    let mut names = DefinedNames {
        regions: HashSet::new(),
        domains: HashSet::new(),
        services: HashSet::new(),
        route_services: HashSet::new(),
        addresses: HashSet::new(),
    };
    for rule in &file.lines {
        match &rule.kind {
            RuleKind::Region { name, domains } => {
                names.regions.insert(name);
                names.domains.extend(domains.iter().map(String::as_str));
            }
            RuleKind::Upstream { service, addresses, .. } => {
                names.services.insert(service);
                names.addresses.extend(addresses);
            }
            RuleKind::Service(service) => {
                names.route_services.insert(&service.name);
            }
            RuleKind::Link { .. }
            | RuleKind::Operation { .. }
            | RuleKind::Route(_)
            | RuleKind::Limits(_)
            | RuleKind::Shift(_)
            | RuleKind::DrainUpstream { .. }
            | RuleKind::DrainDomain { .. } => {}
        }
    }
    names
}

/// Returns what a rule defines and no other rule may define: each key with the word of the line to
/// mark when it is a duplicate.
fn unique_keys(kind: &RuleKind) -> Vec<(String, String)> {
    let keyed = |key: String, word: &str| (key, word.to_owned());
    match kind {
        RuleKind::Region { name, domains } => {
            let regions = std::iter::once(keyed(format!("region `{name}`"), name));
            let domains =
                domains.iter().map(|domain| keyed(format!("failure domain `{domain}`"), domain));
            regions.chain(domains).collect()
        }
        RuleKind::Link { regions, .. } => {
            let mut sorted = regions.clone();
            sorted.sort();
            vec![keyed(format!("link `{} {}`", sorted[0], sorted[1]), &regions[0])]
        }
        RuleKind::Upstream { service, addresses, .. } => addresses
            .iter()
            .map(|address| keyed(format!("upstream `{address}`"), service))
            .collect(),
        RuleKind::Operation { service, method, prefix, .. } => {
            vec![keyed(format!("operation `{service} {method} {prefix}`"), method)]
        }
        RuleKind::Route(route) => vec![
            keyed(format!("route `{}`", route.name), &route.name),
            keyed(format!("route of `{}{}`", route.host, route.prefix), &route.host),
        ],
        RuleKind::Service(service) => {
            vec![keyed(format!("service `{}`", service.name), &service.name)]
        }
        RuleKind::Limits(_) => vec![keyed("limits".to_owned(), "header")],
        RuleKind::Shift(plan) => {
            let key = format!("shift of `{}` from `{}`", plan.service, plan.from);
            vec![keyed(key, &plan.service)]
        }
        RuleKind::DrainUpstream { addresses } => addresses
            .iter()
            .map(|address| keyed(format!("drain of `{address}`"), "upstream"))
            .collect(),
        RuleKind::DrainDomain { domain } => {
            vec![keyed(format!("drain of domain `{domain}`"), domain)]
        }
    }
}

fn check_duplicates(
    rule: &RuleLine,
    line: &str,
    seen: &mut HashMap<String, usize>,
    sink: &mut DiagnosticSink,
) {
    for (key, word) in unique_keys(&rule.kind) {
        let Some(first) = seen.insert(key.clone(), rule.line) else {
            continue;
        };
        seen.insert(key.clone(), first);
        sink.report(
            find_word(line, &word),
            format!("{key} is already defined on line {first}"),
            format!("remove this line or line {first}"),
        );
        return;
    }
}

fn check_names(rule: &RuleLine, line: &str, names: &DefinedNames<'_>, sink: &mut DiagnosticSink) {
    let mut require_defined = |defined: &HashSet<&str>, word: &str, kind: &str| {
        if !defined.contains(word) {
            sink.report(
                find_word(line, word),
                format!("unknown {kind} `{word}`"),
                format!("{}, or define it", suggest_name(defined, word)),
            );
        }
    };
    match &rule.kind {
        RuleKind::Region { .. } | RuleKind::Service(_) | RuleKind::Limits(_) => {}
        RuleKind::Route(route) => {
            for target in &route.targets {
                require_defined(&names.route_services, &target.service, "service");
            }
            for home in &route.homes {
                require_defined(&names.regions, home, "region");
            }
        }
        RuleKind::Link { regions, .. } => {
            for region in regions {
                require_defined(&names.regions, region, "region");
            }
        }
        RuleKind::Upstream { domain, .. } => {
            require_defined(&names.domains, domain, "failure domain")
        }
        RuleKind::Operation { service, .. } => require_defined(&names.services, service, "service"),
        RuleKind::Shift(plan) => {
            require_defined(&names.services, &plan.service, "service");
            require_defined(&names.regions, &plan.from, "region");
            require_defined(&names.regions, &plan.to, "region");
        }
        RuleKind::DrainUpstream { addresses } => {
            for address in addresses.iter().filter(|address| !names.addresses.contains(address)) {
                sink.report(
                    find_word(line, "upstream"),
                    format!("unknown upstream `{address}`"),
                    "use an address that an `upstream` rule defines",
                );
            }
        }
        RuleKind::DrainDomain { domain } => {
            require_defined(&names.domains, domain, "failure domain")
        }
    }
}

fn suggest_name(defined: &HashSet<&str>, word: &str) -> String {
    let mut names: Vec<&str> = defined.iter().copied().collect();
    names.sort_unstable_by_key(|name| (edit_distance(name, word), *name));
    match names.first() {
        Some(nearest) => format!("did you mean `{nearest}`? Use a defined name"),
        None => "no such name is defined".to_owned(),
    }
}

fn edit_distance(left: &str, right: &str) -> usize {
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (index, left_byte) in left.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, right_byte) in right.bytes().enumerate() {
            let substituted = diagonal + usize::from(left_byte != right_byte);
            diagonal = row[column + 1];
            row[column + 1] = substituted.min(row[column] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}

/// Returns the byte range of a word after the keyword of a line, or the range of the keyword when
/// the word is not found.
fn find_word(line: &str, word: &str) -> std::ops::Range<usize> {
    let keyword_end = line.trim_start().find(char::is_whitespace).unwrap_or(0);
    let offset = line.len() - line.trim_start().len() + keyword_end;
    line[offset..]
        .match_indices(word)
        .map(|(index, _)| offset + index)
        .find(|start| {
            let after = line[start + word.len()..].chars().next();
            let before = line[..*start].chars().next_back();
            let is_edge = |c: Option<char>| c.is_none_or(|c| c.is_whitespace() || ",=".contains(c));
            is_edge(before) && is_edge(after)
        })
        .map_or(0..keyword_end, |start| start..start + word.len())
}
