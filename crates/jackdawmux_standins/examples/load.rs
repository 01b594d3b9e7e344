//! Sends the load of a deployment to running entries and reports latency and outcomes.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Parser;
use jackdawmux_standins::caller::{CallerSettings, KeySource, OperationLoad, run_load};
use jackdawmux_standins::deployment::Deployment;

struct LoadOptions {
    entries: Vec<SocketAddr>,
    deployment: String,
    rate: f64,
    seconds: u64,
    seed: u64,
    own_keys: bool,
    skewed: bool,
    json: bool,
}

fn options() -> LoadOptions {
    let entries = bpaf::long("entry")
        .help("Entry to which lookups are sent; may repeat")
        .argument::<SocketAddr>("IP:PORT")
        .some("at least one --entry is required");
    let deployment = bpaf::long("deployment")
        .help("korea or mauritius")
        .argument::<String>("NAME")
        .fallback("korea".to_owned());
    let rate = bpaf::long("rate")
        .help("Requests per second to each service")
        .argument::<f64>("RATE")
        .fallback(100.0);
    let seconds = bpaf::long("seconds")
        .help("Time for which requests are sent")
        .argument::<u64>("SECONDS")
        .fallback(5);
    let seed = bpaf::long("seed")
        .help("Seed of arrivals and entry choices")
        .argument::<u64>("SEED")
        .fallback(1);
    let own_keys =
        bpaf::long("own-keys").help("Use keys of the caller instead of tickets").switch();
    let skewed = bpaf::long("skewed")
        .help("Send 40 % of the requests to the first entry in any case")
        .switch();
    let json = bpaf::long("json").help("Report as JSON").switch();
    bpaf::construct!(LoadOptions {
        entries,
        deployment,
        rate,
        seconds,
        seed,
        own_keys,
        skewed,
        json,
    })
    .to_options()
    .descr("Sends the load of a deployment to entries")
    .run()
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    env_logger::init();
    let options = options();
    let deployment = Deployment::find(&options.deployment)
        .ok_or("unknown deployment; expected korea or mauritius")?;
    let loads = deployment.mix.iter().map(|operation| OperationLoad {
        operation: *operation,
        rate: options.rate * f64::from(operation.share_percent) / 100.0,
    });
    let settings = CallerSettings {
        entries: options.entries,
        loads: loads.collect(),
        duration: Duration::from_secs(options.seconds),
        seed: options.seed,
        keys: if options.own_keys { KeySource::Own } else { KeySource::Tickets },
        is_skewed: options.skewed,
    };
    let report = run_load(&settings).await?;
    if options.json {
        println!("{:#}", report.json());
    } else {
        print!("{}", report.table());
    }
    Ok(())
}
