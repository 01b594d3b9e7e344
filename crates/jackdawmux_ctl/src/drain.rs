//! `drain` and `undrain`: add a rule to the accepted file, or remove it.

use jackdawmux_store::HttpStore;

use crate::accept::{AcceptOptions, accept_content, check_rules, read_accepted};
use crate::command::CommonOptions;
use crate::exit::CommandOutcome;

/// `drain TARGET`
pub(crate) async fn drain(
    common: &CommonOptions,
    store: &HttpStore,
    target: &str,
    note: &str,
) -> CommandOutcome {
    let (version, rules) = match read_accepted(store).await {
        Ok(accepted) => accepted,
        Err(outcome) => return outcome,
    };
    let rule = drain_rule(target);
    if rules.lines().any(|line| is_rule(line, &rule)) {
        println!("{target} is already drained in version {version}");
        return CommandOutcome::Done;
    }
    let line_break = if rules.is_empty() || rules.ends_with('\n') { "" } else { "\n" };
    let reason = if note.is_empty() { "drain" } else { note };
    let edited = format!(
        "{rules}{line_break}{rule}  # {}: {}\n",
        replace_line_breaks(&common.by),
        replace_line_breaks(reason)
    );
    accept_edited(common, store, version, &edited, &format!("drain {target}: {reason}")).await
}

/// `undrain TARGET`
pub(crate) async fn undrain(
    common: &CommonOptions,
    store: &HttpStore,
    target: &str,
    note: &str,
) -> CommandOutcome {
    let (version, rules) = match read_accepted(store).await {
        Ok(accepted) => accepted,
        Err(outcome) => return outcome,
    };
    let rule = drain_rule(target);
    let remaining: Vec<&str> = rules.lines().filter(|line| !is_rule(line, &rule)).collect();
    if remaining.len() == rules.lines().count() {
        eprintln!("error: version {version} has no rule `{rule}`");
        return CommandOutcome::Refused;
    }
    let edited = format!("{}\n", remaining.join("\n"));
    accept_edited(common, store, version, &edited, &format!("undrain {target}: {note}")).await
}

async fn accept_edited(
    common: &CommonOptions,
    store: &HttpStore,
    base: u64,
    edited: &str,
    note: &str,
) -> CommandOutcome {
    if check_rules("accepted", edited.as_bytes()).is_none() {
        return CommandOutcome::Refused;
    }
    let options = AcceptOptions { note: note.to_owned(), base: Some(base), above: 0, wait: false };
    accept_content(common, store, edited.as_bytes(), &options).await
}

fn drain_rule(target: &str) -> String {
    match target.strip_prefix("domain:") {
        Some(domain) => format!("drain domain {domain}"),
        None => format!("drain upstream {target}"),
    }
}

/// Whether a line holds the rule, regardless of spacing and comment.
fn is_rule(line: &str, rule: &str) -> bool {
    let content = line.split(" #").next().unwrap_or_default();
    content.split_whitespace().eq(rule.split_whitespace())
}

fn replace_line_breaks(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}
