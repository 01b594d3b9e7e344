//! `check`, `diff`, `accept` and `log`.

use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use jackdawmux_rules::{MAX_FILE_BYTES, RulesFile, parse_rules, render_diagnostics};
use jackdawmux_store::{
    AcceptOutcome, AcceptRecord, AcceptRequest, ConfigHead, HttpStore, accept_rules, read_head,
    read_rules,
};
use serde_json::json;
use similar::TextDiff;

use crate::command::CommonOptions;
use crate::exit::CommandOutcome;
use crate::fleet::{get_json, instance_client, read_members};
use crate::output::{OutputFormat, WordColour, coloured, print_json};

/// Maximum time for which `accept --wait` waits.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which `accept --wait` polls the instances.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Options of `accept`.
#[derive(Clone, Debug)]
pub(crate) struct AcceptOptions {
    pub(crate) note: String,
    pub(crate) base: Option<u64>,
    pub(crate) above: u64,
    pub(crate) wait: bool,
}

/// `check FILE`
pub(crate) fn check_file(common: &CommonOptions, file: &Path) -> CommandOutcome {
    let Some((_, rules)) = read_rules_file(file) else {
        return CommandOutcome::Refused;
    };
    match common.output {
        OutputFormat::Text => {
            println!("{}: {} rules, no mistakes", file.display(), rules.lines.len())
        }
        OutputFormat::Json => print_json(&json!({ "rules": rules.lines.len(), "mistakes": 0 })),
    }
    CommandOutcome::Done
}

/// Reads and checks a rules file; errors are printed to standard error.
fn read_rules_file(file: &Path) -> Option<(Vec<u8>, RulesFile)> {
    let name = file.display().to_string();
    let is_too_large = std::fs::metadata(file)
        .is_ok_and(|data| data.len() > u64::try_from(MAX_FILE_BYTES).unwrap_or(u64::MAX) * 4);
    if is_too_large {
        eprintln!("{name}: error: the file is larger than the {MAX_FILE_BYTES} bytes allowed");
        return None;
    }
    let bytes = match std::fs::read(file) {
        Ok(bytes) => bytes,
        Err(error) => {
            eprintln!("{name}: error: {error}");
            return None;
        }
    };
    check_rules(&name, &bytes).map(|rules| (bytes, rules))
}

/// Checks the content of a rules file; errors are printed to standard error.
pub(crate) fn check_rules(name: &str, bytes: &[u8]) -> Option<RulesFile> {
    match parse_rules(name, bytes) {
        Ok(rules) => Some(rules),
        Err(diagnostics) => {
            eprint!("{}", render_diagnostics(&diagnostics));
            None
        }
    }
}

/// `diff FILE`
pub(crate) async fn diff_file(
    common: &CommonOptions,
    store: &HttpStore,
    file: &Path,
) -> CommandOutcome {
    let Some((bytes, _)) = read_rules_file(file) else {
        return CommandOutcome::Refused;
    };
    let (version, accepted) = match read_accepted(store).await {
        Ok(accepted) => accepted,
        Err(outcome) => return outcome,
    };
    let new = String::from_utf8_lossy(&bytes);
    let text = render_diff(&accepted, &new, &format!("version {version}"), &file.display());
    match common.output {
        OutputFormat::Text if text.is_empty() => println!("no difference to version {version}"),
        OutputFormat::Text => print!("{text}"),
        OutputFormat::Json => print_json(&json!({ "version": version, "diff": text })),
    }
    CommandOutcome::Done
}

fn render_diff(old: &str, new: &str, old_name: &str, new_name: &dyn std::fmt::Display) -> String {
    TextDiff::from_lines(old, new)
        .unified_diff()
        .context_radius(1)
        .header(old_name, &new_name.to_string())
        .to_string()
}

/// Reads the accepted version and its rules; version zero without rules before the first accept.
pub(crate) async fn read_accepted(store: &HttpStore) -> Result<(u64, String), CommandOutcome> {
    let report_error = |error: &dyn std::fmt::Display| {
        eprintln!("error: {error}");
        CommandOutcome::Refused
    };
    let Some(stored) = read_head(store).await.map_err(|error| report_error(&error))? else {
        return Ok((0, String::new()));
    };
    let rules = read_rules(store, &stored.head).await.map_err(|error| report_error(&error))?;
    Ok((stored.head.accept.version, String::from_utf8_lossy(&rules).into_owned()))
}

/// `accept FILE`
pub(crate) async fn accept_file(
    common: &CommonOptions,
    store: &HttpStore,
    file: &Path,
    options: &AcceptOptions,
) -> CommandOutcome {
    let Some((bytes, _)) = read_rules_file(file) else {
        return CommandOutcome::Refused;
    };
    accept_content(common, store, &bytes, options).await
}

/// Accepts checked rules and reports the outcome.
pub(crate) async fn accept_content(
    common: &CommonOptions,
    store: &HttpStore,
    bytes: &[u8],
    options: &AcceptOptions,
) -> CommandOutcome {
    let request = AcceptRequest {
        rules: bytes,
        by: &common.by,
        note: &options.note,
        base: options.base,
        above: options.above,
        now_ms: wall_ms(),
    };
    match accept_rules(store, &request).await {
        AcceptOutcome::Accepted(record) => {
            report_accepted(common, &record);
            if options.wait {
                wait_until_active(common, store, record.version).await
            } else {
                CommandOutcome::Done
            }
        }
        AcceptOutcome::Superseded(head) => {
            report_superseded(store, head.as_deref(), bytes).await;
            CommandOutcome::Refused
        }
        AcceptOutcome::NotDone(error) => {
            eprintln!("error: not accepted, nothing was changed: {error}");
            CommandOutcome::Refused
        }
        AcceptOutcome::Unknown(accept_id, error) => {
            eprintln!("error: the outcome is unknown: {error}");
            eprintln!("check it with: jackdawctl log --accept-id {accept_id}");
            CommandOutcome::Unknown
        }
    }
}

fn report_accepted(common: &CommonOptions, record: &AcceptRecord) {
    match common.output {
        OutputFormat::Text => println!(
            "{} version={} digest={} accept-id={}",
            coloured("accepted", WordColour::Good),
            record.version,
            &record.digest[..12],
            record.accept_id
        ),
        OutputFormat::Json => print_json(&json!(record)),
    }
}

async fn report_superseded(store: &HttpStore, head: Option<&ConfigHead>, bytes: &[u8]) {
    eprintln!("error: not accepted: another change came first");
    let Some(head) = head else {
        return;
    };
    let AcceptRecord { version, accepted_by, note, .. } = &head.accept;
    eprintln!("version {version} was accepted by {accepted_by} ({note})");
    if let Ok(rules) = read_rules(store, head).await {
        let other = String::from_utf8_lossy(&rules).into_owned();
        let own = String::from_utf8_lossy(bytes);
        eprint!("{}", render_diff(&other, &own, &format!("version {version}"), &"your file"));
    }
    eprintln!("merge the other change into your file, then accept it with --base {version}");
}

async fn wait_until_active(
    common: &CommonOptions,
    store: &HttpStore,
    version: u64,
) -> CommandOutcome {
    let Ok(client) = instance_client() else {
        return CommandOutcome::Unknown;
    };
    let started = std::time::Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        let members = read_members(store, &common.group).await.unwrap_or_default();
        let mut outdated = 0;
        for member in &members {
            let status: Result<serde_json::Value, _> =
                get_json(&client, member.address, "/v1/status").await;
            let active_version = status.ok().and_then(|status| status["config_version"].as_u64());
            outdated +=
                usize::from(active_version.is_none_or(|active_version| active_version < version));
        }
        if outdated == 0 && !members.is_empty() {
            let millis = started.elapsed().as_millis();
            println!("active at {} instances after {millis} ms", members.len());
            return CommandOutcome::Done;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    eprintln!("error: version {version} is accepted, but not yet active at every instance");
    CommandOutcome::Unknown
}

/// `log`
pub(crate) async fn show_log(
    common: &CommonOptions,
    store: &HttpStore,
    accept_id: Option<&str>,
) -> CommandOutcome {
    let head = match read_head(store).await {
        Ok(stored) => stored.map(|stored| stored.head),
        Err(error) => {
            eprintln!("error: {error}");
            return CommandOutcome::Refused;
        }
    };
    let records: Vec<AcceptRecord> = head
        .into_iter()
        .flat_map(|head| head.log.into_iter().chain([head.accept]))
        .filter(|record| accept_id.is_none_or(|id| record.accept_id == id))
        .collect();
    match common.output {
        OutputFormat::Json => print_json(&json!(records)),
        OutputFormat::Text => records.iter().for_each(print_record),
    }
    if accept_id.is_some() && records.is_empty() {
        eprintln!("no accept with this id: it did not take effect");
        return CommandOutcome::Refused;
    }
    CommandOutcome::Done
}

fn print_record(record: &AcceptRecord) {
    let at = UNIX_EPOCH + Duration::from_millis(record.accepted_ms);
    println!(
        "version={} at={} by={:?} note={:?} digest={} accept-id={}",
        record.version,
        humantime::format_rfc3339_seconds(at),
        record.accepted_by,
        record.note,
        &record.digest[..12],
        record.accept_id
    );
}

pub(crate) fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
