//! Measures entry processes over loopback: latency added by an entry, lookups and requests per
//! second of CPU time, memory, and the cost of the control plane by fleet size.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bpaf::Parser;
use hdrhistogram::Histogram;
use jackdawmux_standins::caller::{CallerSettings, KeySource, OperationLoad, run_load};
use jackdawmux_standins::deployment::KOREA;
use jackdawmux_standins::store::StoreStandin;
use jackdawmux_standins::upstream::{UpstreamSettings, UpstreamStandin};
use jackdawmux_store::{AcceptOutcome, AcceptRequest, HttpStore, accept_rules};
use reqwest::Client;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

type AnyError = Box<dyn std::error::Error>;

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Number of closed-loop connections with which rates are measured.
const LOAD_CONNECTIONS: usize = 32;
/// Number of idle connections open while memory is measured.
const IDLE_CONNECTIONS: usize = 400;

struct MeasureOptions {
    binary: PathBuf,
    seconds: u64,
    rate: u64,
    fleet: Vec<usize>,
    kill: bool,
    percent: f64,
}

struct EntryChild {
    child: Child,
    address: SocketAddr,
}

impl Drop for EntryChild {
    fn drop(&mut self) {
        if self.child.kill().is_ok() {
            let _status = self.child.wait();
        }
    }
}

impl EntryChild {
    fn spawn(binary: &PathBuf, store: &str, index: usize, domain: &str) -> Result<Self, AnyError> {
        let mut child = Command::new(binary)
            .args(["--store", store, "--peer-key", "a key only for measuring"])
            .args(["--instance", &format!("entry-{index}"), "--failure-domain", domain])
            .env("RUST_LOG", "error")
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let output = child.stdout.take().ok_or("no output")?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        let address = line.split_whitespace().find_map(|word| word.strip_prefix("address="));
        Ok(Self { child, address: address.ok_or("no address")?.parse()? })
    }

    /// Resident memory, in MiB.
    fn memory_mib(&self) -> f64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        let kilobytes: f64 =
            line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).unwrap_or(0.0);
        kilobytes / 1_024.0
    }

    /// User and system CPU time since the start, in seconds.
    fn cpu_seconds(&self) -> f64 {
        let path = format!("/proc/{}/stat", self.child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let rest = text.rsplit(") ").next().unwrap_or_default();
        let field = |index: usize| -> f64 {
            rest.split_whitespace().nth(index).and_then(|word| word.parse().ok()).unwrap_or(0.0)
        };
        (field(11) + field(12)) / TICKS_PER_SECOND
    }
}

fn options() -> MeasureOptions {
    let binary = bpaf::long("binary")
        .help("Path of the entry instance's binary")
        .argument::<PathBuf>("PATH")
        .fallback("target/release/jackdawmux".into());
    let seconds = bpaf::long("seconds")
        .help("Duration of each measurement")
        .argument::<u64>("SECONDS")
        .fallback(5);
    let rate = bpaf::long("rate")
        .help("Requests per second, both directly and through the entry, for the overhead")
        .argument::<u64>("RATE")
        .fallback(1_000);
    let fleet = bpaf::long("fleet")
        .help("Measure the control plane with this many entries instead; may repeat")
        .argument::<usize>("COUNT")
        .many();
    let kill = bpaf::long("kill")
        .help("Measure the effect of killing one of seven entries instead, for each source of keys")
        .switch();
    let percent = bpaf::long("load")
        .help("Load for --kill, in percent of the capacity of all slots")
        .argument::<f64>("PERCENT")
        .fallback(50.0);
    bpaf::construct!(MeasureOptions { binary, seconds, rate, fleet, kill, percent })
        .to_options()
        .descr("Measures entry processes over loopback")
        .run()
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let options = options();
    if options.kill {
        for keys in [KeySource::Tickets, KeySource::Own] {
            for kills_entry in [false, true] {
                measure_kill(&options, keys, kills_entry).await?;
            }
        }
        return Ok(());
    }
    if options.fleet.is_empty() {
        return measure_entry(&options).await;
    }
    println!(
        "{:>7} {:>12} {:>14} {:>10} {:>14} {:>16} {:>12}",
        "entries",
        "core %/node",
        "lo KB/s/node",
        "MB/node",
        "accept ms",
        "store reads/s",
        "watches/s"
    );
    for count in &options.fleet {
        measure_fleet(&options, *count).await?;
    }
    Ok(())
}

async fn accept(store: &StoreStandin, rules: &str) -> Result<(), AnyError> {
    let client = HttpStore::open(&store.url(), None)?;
    let request = AcceptRequest {
        rules: rules.as_bytes(),
        by: "measure",
        note: "",
        base: None,
        above: 0,
        now_ms: 0,
    };
    match accept_rules(&client, &request).await {
        AcceptOutcome::Accepted(_) => Ok(()),
        other => Err(format!("{other:?}").into()),
    }
}

async fn wait_for_version(client: &Client, entries: &[EntryChild], version: u64) {
    for entry in entries {
        let url = format!("http://{}/v1/status", entry.address);
        loop {
            let response = client.get(&url).send().await;
            let status: serde_json::Value = match response {
                Ok(response) => response.json().await.unwrap_or_default(),
                Err(_) => serde_json::Value::Null,
            };
            if status["config_version"].as_u64() >= Some(version) {
                break;
            }
            sleep(Duration::from_millis(1)).await;
        }
    }
}

async fn measure_entry(options: &MeasureOptions) -> Result<(), AnyError> {
    let store = StoreStandin::bind(any_port(), None).await?;
    let settings = UpstreamSettings { slots: 400, service_ms: 1.0, ..UpstreamSettings::default() };
    let upstream = UpstreamStandin::bind(any_port(), settings, 1).await?;
    let rules = format!(
        "region r domains d  # measure: place\n\
         upstream work {} domain d slots 400 connections 400  # measure: endpoint\n\
         operation work GET / priority low timeout 5s  # measure: reading\n\
         operation work POST / priority high once timeout 5s  # measure: writing\n",
        upstream.address
    );
    let entries = vec![EntryChild::spawn(&options.binary, &store.url(), 0, "d")?];
    let entry = &entries[0];
    accept(&store, &rules).await?;
    let client = Client::builder().no_proxy().tcp_nodelay(true).build()?;
    wait_for_version(&client, &entries, 1).await;
    sleep(Duration::from_secs(2)).await;
    println!("memory at rest: {:.1} MB", entry.memory_mib());
    let mut idle = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        idle.push(tokio::net::TcpStream::connect(entry.address).await?);
    }
    sleep(Duration::from_millis(500)).await;
    println!(
        "memory with {IDLE_CONNECTIONS} idle connections of callers: {:.1} MB",
        entry.memory_mib()
    );
    drop(idle);
    measure_overhead(options, entry, upstream.address, &client).await;
    let lookup = format!("http://{}/v1/entries?service=work", entry.address);
    measure_rate(options, entry, &client, "look-ups", &lookup).await;
    let request = format!("http://{}/work/read", entry.address);
    measure_rate(options, entry, &client, "requests", &request).await;
    println!("memory after the load: {:.1} MB", entry.memory_mib());
    Ok(())
}

fn histogram() -> Arc<Mutex<Histogram<u64>>> {
    let empty = Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are accepted");
    Arc::new(Mutex::new(empty))
}

async fn measure_overhead(
    options: &MeasureOptions,
    entry: &EntryChild,
    upstream: SocketAddr,
    client: &Client,
) {
    let targets = [
        (format!("http://{upstream}/read"), histogram()),
        (format!("http://{}/work/read", entry.address), histogram()),
    ];
    let mut ticks = interval(Duration::from_micros(1_000_000 / (2 * options.rate)));
    let mut requests = JoinSet::new();
    let total = 2 * options.rate * options.seconds;
    for number in 0..total {
        ticks.tick().await;
        let (url, latency) = targets[usize::try_from(number % 2).unwrap_or(0)].clone();
        let client = client.clone();
        requests.spawn(async move {
            let start = Instant::now();
            let response = client.get(url).send().await;
            let is_complete = match response {
                Ok(response) => response.bytes().await.is_ok(),
                Err(_) => false,
            };
            if is_complete {
                let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
                let mut latency = latency.lock().unwrap_or_else(PoisonError::into_inner);
                latency.saturating_record(micros.max(1));
            }
        });
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
    let quantile = |target: usize, quantile: f64| {
        let latency = targets[target].1.lock().unwrap_or_else(PoisonError::into_inner);
        latency.value_at_quantile(quantile) as f64
    };
    for (name, at) in [("p50", 0.5), ("p99", 0.99)] {
        let (direct, through) = (quantile(0, at), quantile(1, at));
        println!(
            "{name} at {}/s each: direct {direct:.0} us, through an entry {through:.0} us, added {:.0} us",
            options.rate,
            through - direct
        );
    }
}

async fn measure_rate(
    options: &MeasureOptions,
    entry: &EntryChild,
    client: &Client,
    label: &str,
    url: &str,
) {
    let end = Instant::now() + Duration::from_secs(options.seconds);
    let before = entry.cpu_seconds();
    let mut loops = JoinSet::new();
    for _ in 0..LOAD_CONNECTIONS {
        let (client, url) = (client.clone(), url.to_owned());
        loops.spawn(async move {
            let mut count = 0_u64;
            while Instant::now() < end {
                if let Ok(response) = client.get(&url).send().await
                    && response.status().is_success()
                    && response.bytes().await.is_ok()
                {
                    count += 1;
                }
            }
            count
        });
    }
    let mut total = 0;
    while let Some(count) = loops.join_next().await {
        total += count.unwrap_or(0);
    }
    let cpu_used = entry.cpu_seconds() - before;
    println!(
        "{label}: {:.0}/s, {:.0} for each second of the entry's processor time",
        total as f64 / options.seconds as f64,
        total as f64 / cpu_used
    );
}

fn loopback_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find(|line| line.trim_start().starts_with("lo:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
}

async fn measure_fleet(options: &MeasureOptions, count: usize) -> Result<(), AnyError> {
    let store = StoreStandin::bind(any_port(), None).await?;
    let addresses = [0_u16, 1].map(|service| {
        (0..KOREA.services[usize::from(service)].endpoints)
            .map(|index| {
                let port = 10_000 + service * 100 + u16::try_from(index).unwrap_or(0);
                SocketAddr::from(([127, 0, 0, 2], port))
            })
            .collect::<Vec<_>>()
    });
    let rules = KOREA.rules(&addresses);
    accept(&store, &rules).await?;
    let mut entries = Vec::new();
    for index in 0..count {
        entries.push(EntryChild::spawn(
            &options.binary,
            &store.url(),
            index,
            &KOREA.domain_of(index),
        )?);
    }
    let client = Client::builder().no_proxy().tcp_nodelay(true).build()?;
    wait_for_version(&client, &entries, 1).await;
    // Waits until instances have joined and committees and owners no longer change.
    sleep(Duration::from_secs(10)).await;
    let cpu_seconds =
        |entries: &[EntryChild]| entries.iter().map(EntryChild::cpu_seconds).sum::<f64>();
    let (cpu_used, bytes, counts) = (cpu_seconds(&entries), loopback_bytes(), store.counts());
    sleep(Duration::from_secs(options.seconds)).await;
    let seconds = options.seconds as f64;
    let nodes = count as f64;
    let cpu_used = (cpu_seconds(&entries) - cpu_used) / seconds / nodes * 100.0;
    let bytes = (loopback_bytes() - bytes) as f64 / seconds / nodes / 1e3;
    let after = store.counts();
    let memory_mib = entries.iter().map(EntryChild::memory_mib).sum::<f64>() / nodes;
    let start = Instant::now();
    accept(&store, &format!("{rules}drain domain honam-b  # measure: a change\n")).await?;
    wait_for_version(&client, &entries, 2).await;
    println!(
        "{count:>7} {cpu_used:>12.2} {bytes:>14.1} {memory_mib:>10.1} {:>14} {:>16.1} {:>12.1}",
        start.elapsed().as_millis(),
        (after.reads - counts.reads) as f64 / seconds,
        (after.watches - counts.watches) as f64 / seconds
    );
    Ok(())
}

/// Number of entry instances of a deployment.
const ENTRY_COUNT: usize = 7;

/// Runs the ledger's load over seven entries and kills one halfway through if `kills_entry` is set.
async fn measure_kill(
    options: &MeasureOptions,
    keys: KeySource,
    kills_entry: bool,
) -> Result<(), AnyError> {
    let store = StoreStandin::bind(any_port(), None).await?;
    let size = KOREA.services[0];
    let mut upstreams = Vec::new();
    for index in 0..size.endpoints {
        let settings = UpstreamSettings {
            slots: size.slots,
            service_ms: size.service_ms,
            is_varied: true,
            ..UpstreamSettings::default()
        };
        let seed = u64::try_from(index)?;
        upstreams.push(UpstreamStandin::bind(any_port(), settings, seed).await?);
    }
    let addresses = upstreams.iter().map(|upstream| upstream.address).collect();
    let rules = KOREA.rules(&[addresses, Vec::new()]);
    let rules: Vec<&str> = rules.lines().filter(|line| !line.contains("photos")).collect();
    accept(&store, &rules.join("\n")).await?;
    let mut entries = Vec::new();
    for index in 0..ENTRY_COUNT {
        let domain = KOREA.domain_of(index);
        entries.push(EntryChild::spawn(&options.binary, &store.url(), index, &domain)?);
    }
    let client = Client::builder().no_proxy().tcp_nodelay(true).build()?;
    wait_for_version(&client, &entries, 1).await;
    sleep(Duration::from_secs(3)).await;
    let capacity = f64::from(KOREA.total_slots(size.name)) * 1e3 / size.service_ms;
    let loads = KOREA.mix.iter().filter(|operation| operation.service == size.name);
    let settings = CallerSettings {
        entries: entries.iter().map(|entry| entry.address).collect(),
        loads: loads
            .map(|operation| OperationLoad {
                operation: *operation,
                rate: capacity * options.percent / 100.0 * f64::from(operation.share_percent)
                    / 100.0,
            })
            .collect(),
        duration: Duration::from_secs(options.seconds),
        seed: 1,
        keys,
        is_skewed: false,
    };
    let before = store.counts();
    let load = tokio::spawn(async move { run_load(&settings).await });
    sleep(Duration::from_secs(options.seconds) / 2).await;
    if kills_entry {
        drop(entries.remove(3));
    }
    let report = load.await??;
    let after = store.counts();
    let at_most_once: u64 = report
        .operations
        .iter()
        .filter(|(name, _)| name.starts_with("POST"))
        .map(|(_, operation)| operation.total())
        .sum();
    let counts: Vec<_> = upstreams.iter().map(UpstreamStandin::counts).collect();
    let doubled = counts.iter().flat_map(|count| count.runs_by_key.values());
    let doubled = doubled.filter(|runs| **runs > 1).count();
    let overloads: u64 = counts.iter().map(|count| count.overloads).sum();
    println!(
        "\nkeys: {keys:?}, load {} %, one of {ENTRY_COUNT} killed: {kills_entry}",
        options.percent
    );
    print!("{}", report.table());
    println!(
        "doubled={doubled} overloads={overloads} store: {:.3} updates and {:.3} conflicts and {:.3} reads for each request that runs once",
        (after.writes - before.writes) as f64 / at_most_once.max(1) as f64,
        (after.conflicts - before.conflicts) as f64 / at_most_once.max(1) as f64,
        (after.reads - before.reads) as f64 / at_most_once.max(1) as f64
    );
    Ok(())
}
