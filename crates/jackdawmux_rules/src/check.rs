//! Checks that need more than one line: unknown names and duplicates.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use crate::diagnostic::DiagnosticSink;
use crate::rule::{RuleKind, RuleLine, RulesFile};

/// Names and addresses that the file defines.
struct DefinedNames<'file> {
    regions: HashSet<&'file str>,
    domains: HashSet<&'file str>,
    services: HashSet<&'file str>,
    /// Services that routes may lead to.
    routed: HashSet<&'file str>,
    addresses: HashSet<SocketAddr>,
}

/// Reports unknown names and duplicates over the whole file.
pub(crate) fn check_rules(file: &RulesFile, text: &str, sink: &mut DiagnosticSink) {
    if file.lines.is_empty() && sink.is_empty() {
        sink.enter_line(1, "");
        sink.report(
            0..0,
            "the file holds no rule; accepting it would take every service away",
            "add rules, or keep the file that is accepted now",
        );
    }
    let source: Vec<&str> = text.lines().collect();
    let names = define_names(file);
    let mut seen: HashMap<String, usize> = HashMap::new();
    for rule in &file.lines {
        let line = source.get(rule.line - 1).copied().unwrap_or_default();
        sink.enter_line(rule.line, line);
        check_duplicates(rule, line, &mut seen, sink);
        check_names(rule, line, &names, sink);
    }
}

fn define_names(file: &RulesFile) -> DefinedNames<'_> {
    let mut names = DefinedNames {
        regions: HashSet::new(),
        domains: HashSet::new(),
        services: HashSet::new(),
        routed: HashSet::new(),
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
                names.routed.insert(&service.name);
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

/// Things that a rule defines and that only one rule may define.
fn defined_keys(kind: &RuleKind) -> Vec<(String, String)> {
    let pair = |key: String, word: &str| (key, word.to_owned());
    match kind {
        RuleKind::Region { name, domains } => {
            let regions = std::iter::once(pair(format!("region `{name}`"), name));
            let domains =
                domains.iter().map(|domain| pair(format!("failure domain `{domain}`"), domain));
            regions.chain(domains).collect()
        }
        RuleKind::Link { regions, .. } => {
            let mut sorted = regions.clone();
            sorted.sort();
            vec![pair(format!("link `{} {}`", sorted[0], sorted[1]), &regions[0])]
        }
        RuleKind::Upstream { service, addresses, .. } => {
            addresses.iter().map(|address| pair(format!("upstream `{address}`"), service)).collect()
        }
        RuleKind::Operation { service, method, prefix, .. } => {
            vec![pair(format!("operation `{service} {method} {prefix}`"), method)]
        }
        RuleKind::Route(route) => vec![
            pair(format!("route `{}`", route.name), &route.name),
            pair(format!("route of `{}{}`", route.host, route.prefix), &route.host),
        ],
        RuleKind::Service(service) => {
            vec![pair(format!("service `{}`", service.name), &service.name)]
        }
        RuleKind::Limits(_) => vec![pair("limits".to_owned(), "header")],
        RuleKind::Shift(plan) => {
            let key = format!("shift of `{}` from `{}`", plan.service, plan.from);
            vec![pair(key, &plan.service)]
        }
        RuleKind::DrainUpstream { addresses } => addresses
            .iter()
            .map(|address| pair(format!("drain of `{address}`"), "upstream"))
            .collect(),
        RuleKind::DrainDomain { domain } => {
            vec![pair(format!("drain of domain `{domain}`"), domain)]
        }
    }
}

fn check_duplicates(
    rule: &RuleLine,
    line: &str,
    seen: &mut HashMap<String, usize>,
    sink: &mut DiagnosticSink,
) {
    for (key, word) in defined_keys(&rule.kind) {
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
    let mut expect = |known: &HashSet<&str>, word: &str, what: &str| {
        if !known.contains(word) {
            sink.report(
                find_word(line, word),
                format!("unknown {what} `{word}`"),
                format!("{}, or define it", suggestion(known, word)),
            );
        }
    };
    match &rule.kind {
        RuleKind::Region { .. } | RuleKind::Service(_) | RuleKind::Limits(_) => {}
        RuleKind::Route(route) => {
            for target in &route.targets {
                expect(&names.routed, &target.service, "service");
            }
            for home in &route.homes {
                expect(&names.regions, home, "region");
            }
        }
        RuleKind::Link { regions, .. } => {
            for region in regions {
                expect(&names.regions, region, "region");
            }
        }
        RuleKind::Upstream { domain, .. } => expect(&names.domains, domain, "failure domain"),
        RuleKind::Operation { service, .. } => expect(&names.services, service, "service"),
        RuleKind::Shift(plan) => {
            expect(&names.services, &plan.service, "service");
            expect(&names.regions, &plan.from, "region");
            expect(&names.regions, &plan.to, "region");
        }
        RuleKind::DrainUpstream { addresses } => {
            for address in addresses.iter().filter(|known| !names.addresses.contains(known)) {
                sink.report(
                    find_word(line, "upstream"),
                    format!("unknown upstream `{address}`"),
                    "name an address that an `upstream` rule defines",
                );
            }
        }
        RuleKind::DrainDomain { domain } => expect(&names.domains, domain, "failure domain"),
    }
}

fn suggestion(known: &HashSet<&str>, word: &str) -> String {
    let mut names: Vec<&str> = known.iter().copied().collect();
    names.sort_unstable_by_key(|name| (edit_distance(name, word), *name));
    match names.first() {
        Some(nearest) => format!("did you mean `{nearest}`? Use a defined name"),
        None => "no such name is defined".to_owned(),
    }
}

fn edit_distance(left: &str, right: &str) -> usize {
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (index, one) in left.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, two) in right.bytes().enumerate() {
            let substituted = diagonal + usize::from(one != two);
            diagonal = row[column + 1];
            row[column + 1] = substituted.min(row[column] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}

/// Byte range of a word in a line; the line's start when it is not there.
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
