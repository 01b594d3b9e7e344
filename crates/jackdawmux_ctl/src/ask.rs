//! `ask`: a lookup of entries, as a caller makes it.

use std::net::SocketAddr;

use crate::command::CommonOptions;
use crate::exit::CommandOutcome;
use crate::fleet::{get_json, instance_client};
use crate::output::{OutputFormat, print_json};

/// `ask ENTRY SERVICE`
pub(crate) async fn ask_entry(
    common: &CommonOptions,
    entry: SocketAddr,
    service: &str,
) -> CommandOutcome {
    let Ok(client) = instance_client() else {
        return CommandOutcome::Refused;
    };
    let path = format!("/v1/entries?service={service}");
    let response: serde_json::Value = match get_json(&client, entry, &path).await {
        Ok(response) => response,
        Err(error) => {
            eprintln!("error: step=look-up peer={entry} error={error}");
            return CommandOutcome::Refused;
        }
    };
    match common.output {
        OutputFormat::Json => print_json(&response),
        OutputFormat::Text => {
            let Some(entries) = response["entries"].as_array() else {
                eprintln!("error: {}", response["title"].as_str().unwrap_or("refused"));
                return CommandOutcome::Refused;
            };
            for listed in entries {
                let text = |key: &str| listed[key].as_str().unwrap_or_default().to_owned();
                println!("{} {}", text("address"), text("failure_domain"));
            }
            println!("ttl {} ms", response["ttl_ms"]);
        }
    }
    CommandOutcome::Done
}
