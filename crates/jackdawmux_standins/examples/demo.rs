//! Runs the whole system in one process: stand-ins for the store, upstreams and callers, and
//! seven entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jackdawmux_entry::EntryProcess;
use jackdawmux_entry::process::EntrySettings;
use jackdawmux_standins::caller::{CallerSettings, KeySource, OperationLoad, run_load};
use jackdawmux_standins::deployment::{Deployment, KOREA};
use jackdawmux_standins::store::StoreStandin;
use jackdawmux_standins::upstream::{UpstreamSettings, UpstreamStandin};
use jackdawmux_store::{AcceptOutcome, AcceptRequest, HttpStore, ObjectStore, accept_rules};

/// Number of entry instances of a deployment.
const ENTRY_COUNT: usize = 7;
/// Load, as a fraction of the capacity of all slots.
const LOAD_FRACTION: f64 = 0.5;
/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(5);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let name = std::env::args().nth(1).unwrap_or_else(|| KOREA.name.to_owned());
    let deployment =
        Deployment::find(&name).ok_or("unknown deployment; expected korea or mauritius")?;
    let store = StoreStandin::bind(any_port(), None).await?;
    println!("store   listening address={}", store.address);
    let upstreams = start_upstreams(&deployment).await?;
    println!("upstreams: {} endpoints", upstreams.iter().map(Vec::len).sum::<usize>());
    let entries = start_entries(&deployment, &store).await?;
    for entry in &entries {
        println!("entry   listening address={} peer={}", entry.address(), entry.peer_address());
    }
    accept(&deployment, &store, &upstreams).await?;
    wait_until_active(&entries).await;
    run_callers(&deployment, &entries, &upstreams).await?;
    for entry in entries {
        tokio::spawn(entry.leave());
    }
    Ok(())
}

async fn start_upstreams(deployment: &Deployment) -> std::io::Result<[Vec<UpstreamStandin>; 2]> {
    let mut services = [Vec::new(), Vec::new()];
    for (size, upstreams) in deployment.services.iter().zip(&mut services) {
        for index in 0..size.endpoints {
            let settings = UpstreamSettings {
                slots: size.slots,
                service_ms: size.service_ms,
                is_varied: true,
                ..UpstreamSettings::default()
            };
            let seed = u64::try_from(index).unwrap_or(0);
            upstreams.push(UpstreamStandin::bind(any_port(), settings, seed).await?);
        }
    }
    Ok(services)
}

async fn start_entries(
    deployment: &Deployment,
    store: &StoreStandin,
) -> Result<Vec<EntryProcess>, Box<dyn std::error::Error>> {
    let mut entries = Vec::new();
    for index in 0..ENTRY_COUNT {
        let settings = EntrySettings {
            store: store.url(),
            listen: any_port(),
            peer_listen: any_port(),
            failure_domain: deployment.domain_of(index),
            instance: format!("entry-{index}"),
            group: "main".to_owned(),
            peer_keys: vec!["a key only for the demo".to_owned()],
            seeds: Vec::new(),
            lookup_ttl: Duration::from_secs(2),
            lease: Duration::from_secs(3),
            max_connections: 10_000,
            max_body_bytes: 64_000_000,
            threads: 1,
        };
        entries.push(EntryProcess::open(settings).await?);
    }
    Ok(entries)
}

async fn accept(
    deployment: &Deployment,
    store: &StoreStandin,
    upstreams: &[Vec<UpstreamStandin>; 2],
) -> Result<(), Box<dyn std::error::Error>> {
    let addresses = [0, 1].map(|index: usize| {
        upstreams[index].iter().map(|upstream| upstream.address).collect::<Vec<_>>()
    });
    let rules = deployment.rules(&addresses);
    let client: Arc<dyn ObjectStore> = Arc::new(HttpStore::open(&store.url(), None)?);
    let request = AcceptRequest {
        rules: rules.as_bytes(),
        by: "demo",
        note: "first version",
        base: None,
        above: 0,
        now_ms: 0,
    };
    match accept_rules(client.as_ref(), &request).await {
        AcceptOutcome::Accepted(record) => {
            println!("accepted version={} rules={}", record.version, rules.lines().count());
            Ok(())
        }
        other => Err(format!("not accepted: {other:?}").into()),
    }
}

async fn wait_until_active(entries: &[EntryProcess]) {
    let start = Instant::now();
    for entry in entries {
        let mut active_config = entry.context().active_config.clone();
        if active_config.wait_for(Option::is_some).await.is_err() {
            return;
        }
    }
    println!("active at {} entries after {} ms", entries.len(), start.elapsed().as_millis());
    // Entries claim endpoints and obtain leases within a few heartbeats.
    tokio::time::sleep(Duration::from_secs(2)).await;
}

async fn run_callers(
    deployment: &Deployment,
    entries: &[EntryProcess],
    upstreams: &[Vec<UpstreamStandin>; 2],
) -> Result<(), Box<dyn std::error::Error>> {
    let loads = deployment.mix.iter().map(|operation| {
        let size = deployment.services.iter().find(|size| size.name == operation.service);
        let service_ms = size.map_or(1.0, |size| size.service_ms);
        let capacity = f64::from(deployment.total_slots(operation.service)) * 1e3 / service_ms;
        let rate = capacity * LOAD_FRACTION * f64::from(operation.share_percent) / 100.0;
        OperationLoad { operation: *operation, rate }
    });
    let settings = CallerSettings {
        entries: entries.iter().map(EntryProcess::address).collect(),
        loads: loads.collect(),
        duration: LOAD_DURATION,
        seed: 1,
        keys: KeySource::Tickets,
        is_skewed: false,
    };
    println!("load: {}, half of capacity, {} s", deployment.name, LOAD_DURATION.as_secs());
    let report = run_load(&settings).await?;
    print!("{}", report.table());
    let counts: Vec<_> = upstreams.iter().flatten().map(UpstreamStandin::counts).collect();
    let doubled = counts
        .iter()
        .flat_map(|count| count.runs_by_key.values())
        .filter(|runs| **runs > 1)
        .count();
    let overloads: u64 = counts.iter().map(|count| count.overloads).sum();
    println!("doubled={doubled} overloads={overloads}");
    Ok(())
}
