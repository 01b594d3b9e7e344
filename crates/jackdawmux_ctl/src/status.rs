//! `status`: the active configuration version of each instance, its age, lease and load.

use std::net::SocketAddr;

use jackdawmux_entry::request::InstanceStatus;
use jackdawmux_store::{HttpStore, read_head};
use serde_json::json;

use crate::command::CommonOptions;
use crate::exit::CommandOutcome;
use crate::fleet::{get_json, instance_addresses, instance_client};
use crate::output::{OutputFormat, WordColour, coloured, print_json};

/// `status`
pub(crate) async fn show_status(
    common: &CommonOptions,
    store: &HttpStore,
    given: &[SocketAddr],
) -> CommandOutcome {
    let accepted = read_head(store).await;
    let accepted_version = match &accepted {
        Ok(stored) => stored.as_ref().map(|stored| stored.head.accept.version),
        Err(error) => {
            eprintln!("warning: cannot read the accepted version: {error}");
            None
        }
    };
    let (Ok(addresses), Ok(client)) =
        (instance_addresses(store, &common.group, given).await, instance_client())
    else {
        eprintln!("error: no instances known; specify them with --entry");
        return CommandOutcome::Refused;
    };
    let mut rows = Vec::new();
    for address in addresses {
        let status: Result<InstanceStatus, String> = get_json(&client, address, "/v1/status").await;
        rows.push((address, status));
    }
    let is_up_to_date = rows.iter().all(|(_, status)| {
        status.as_ref().is_ok_and(|status| Some(status.config_version) >= accepted_version)
    });
    match common.output {
        OutputFormat::Text => print_rows(accepted_version, &rows),
        OutputFormat::Json => {
            let instances: Vec<_> = rows
                .iter()
                .map(|(address, status)| match status {
                    Ok(status) => json!(status),
                    Err(error) => json!({ "address": address, "error": error }),
                })
                .collect();
            print_json(&json!({ "accepted_version": accepted_version, "instances": instances }));
        }
    }
    if is_up_to_date { CommandOutcome::Done } else { CommandOutcome::Refused }
}

fn print_rows(accepted: Option<u64>, rows: &[(SocketAddr, Result<InstanceStatus, String>)]) {
    match accepted {
        Some(version) => println!("accepted version: {version}"),
        None => println!("accepted version: unknown"),
    }
    println!(
        "{:<12} {:<21} {:<14} {:>7} {:>9} {:>6} {:>8} {:>8} {:>5}",
        "instance", "address", "domain", "version", "age", "lease", "running", "waiting", "peers"
    );
    for (address, status) in rows {
        match status {
            Ok(status) => print_row(accepted, status),
            Err(error) => {
                println!("{:<12} {address:<21} {}", "?", coloured(error, WordColour::Bad));
            }
        }
    }
}

fn print_row(accepted: Option<u64>, status: &InstanceStatus) {
    let version = format!("{:>7}", status.config_version);
    let is_current = Some(status.config_version) >= accepted;
    let version = coloured(&version, if is_current { WordColour::Good } else { WordColour::Bad });
    let age = format!("{}s", status.config_age_ms / 1_000);
    let Some(steering) = &status.steering else {
        println!("{:<12} {:<21} {version}", status.instance, status.address);
        return;
    };
    let lease = match (steering.is_member, steering.lease_left_ms) {
        (false, _) => "none".to_owned(),
        (true, None) => "open".to_owned(),
        (true, Some(0)) => "lapsed".to_owned(),
        (true, Some(_)) => "held".to_owned(),
    };
    let running: usize = steering.services.iter().map(|service| service.running).sum();
    let waiting: usize = steering.services.iter().map(|service| service.waiting).sum();
    println!(
        "{:<12} {:<21} {:<14} {version} {age:>9} {lease:>6} {running:>8} {waiting:>8} {:>5}",
        status.instance,
        status.address.to_string(),
        status.failure_domain,
        steering.peers
    );
}
