//! `timeline`: events of all instances in one order, as text, JSON or a chart.

use std::net::SocketAddr;
use std::path::PathBuf;

use jackdawmux_entry::process::TimelineEvent;
use jackdawmux_store::HttpStore;
use serde_json::json;

use crate::command::CommonOptions;
use crate::exit::CommandOutcome;
use crate::fleet::{get_json, instance_addresses, instance_client};
use crate::output::{OutputFormat, print_json};
use crate::plot::plot_timeline;

/// Options of `timeline`.
#[derive(Clone, Debug)]
pub(crate) struct TimelineOptions {
    pub(crate) only: Option<String>,
    pub(crate) plot: Option<PathBuf>,
    pub(crate) entries: Vec<SocketAddr>,
}

/// `timeline`
pub(crate) async fn show_timeline(
    common: &CommonOptions,
    store: &HttpStore,
    options: &TimelineOptions,
) -> CommandOutcome {
    let (Ok(addresses), Ok(client)) =
        (instance_addresses(store, &common.group, &options.entries).await, instance_client())
    else {
        eprintln!("error: no instances known; specify them with --entry");
        return CommandOutcome::Refused;
    };
    let mut events: Vec<TimelineEvent> = Vec::new();
    for address in addresses {
        match get_json::<Vec<TimelineEvent>>(&client, address, "/v1/events").await {
            Ok(more) => events.extend(more),
            Err(error) => eprintln!("warning: peer={address} error={error}"),
        }
    }
    events.sort_by(|left, right| (left.stamp, &left.instance).cmp(&(right.stamp, &right.instance)));
    if let Some(only) = &options.only {
        events.retain(|event| event.line().contains(only));
    }
    if let Some(file) = &options.plot {
        if let Err(error) = plot_timeline(file, &events) {
            eprintln!("error: step=plot error={error}");
            return CommandOutcome::Refused;
        }
        println!("{} events plotted to {}", events.len(), file.display());
        return CommandOutcome::Done;
    }
    match common.output {
        OutputFormat::Text => events.iter().for_each(|event| println!("{}", event.line())),
        OutputFormat::Json => print_json(&json!(events)),
    }
    CommandOutcome::Done
}
