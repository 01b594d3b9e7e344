//! `ask`: a look-up as a caller makes it.

use std::net::SocketAddr;

use crate::command::CommonOptions;
use crate::exit::CommandEnd;
use crate::fleet::{instance_client, read_json};
use crate::output::{OutputForm, print_json};

/// `ask ENTRY SERVICE`
pub(crate) async fn ask_entry(
    common: &CommonOptions,
    entry: SocketAddr,
    service: &str,
) -> CommandEnd {
    let Ok(client) = instance_client() else {
        return CommandEnd::Refused;
    };
    let path = format!("/v1/entries?service={service}");
    let answer: serde_json::Value = match read_json(&client, entry, &path).await {
        Ok(answer) => answer,
        Err(error) => {
            eprintln!("error: step=look-up peer={entry} error={error}");
            return CommandEnd::Refused;
        }
    };
    match common.output {
        OutputForm::Json => print_json(&answer),
        OutputForm::Text => {
            let Some(entries) = answer["entries"].as_array() else {
                eprintln!("error: {}", answer["title"].as_str().unwrap_or("refused"));
                return CommandEnd::Refused;
            };
            for named in entries {
                let text = |key: &str| named[key].as_str().unwrap_or_default().to_owned();
                println!("{} {}", text("address"), text("failure_domain"));
            }
            println!("ttl {} ms", answer["ttl_ms"]);
        }
    }
    CommandEnd::Done
}
