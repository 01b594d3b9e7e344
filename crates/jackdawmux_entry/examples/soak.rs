//! Command line of the fault soak:
//! `cargo run --release -p jackdawmux_entry --example soak -- --help`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use jackdawmux_soak::{SoakSize, run_seed};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Command-line flags of the soak.
#[derive(Clone, Debug)]
struct SoakFlags {
    first_seed: u64,
    seeds: u64,
    parallel: usize,
    fronts: usize,
    endpoints: usize,
    callers: usize,
    seconds: u64,
    restores: usize,
    partitions: usize,
    grace: u64,
}

fn parser() -> OptionParser<SoakFlags> {
    let first_seed = long("first-seed").help("First seed").argument("SEED").fallback(1);
    let seeds = long("seeds").help("Number of seeds").argument("COUNT").fallback(50);
    let parallel =
        long("parallel").help("Maximum number of parallel runs").argument("COUNT").fallback(4);
    let fronts = long("fronts").help("Front processes per run").argument("COUNT").fallback(5);
    let endpoints = long("endpoints").help("Endpoints per run").argument("COUNT").fallback(12);
    let callers = long("callers").help("Callers per run").argument("COUNT").fallback(24);
    let seconds =
        long("seconds").help("Duration of fault injection").argument("SECONDS").fallback(30);
    let restores = long("restores")
        .help("Restores of the store from an older copy per run")
        .argument("COUNT")
        .fallback(0);
    let partitions = long("partitions")
        .help("Partitions of fronts from all endpoints per run")
        .argument("COUNT")
        .fallback(0);
    let grace = long("grace")
        .help("Time that a front has for a planned stop")
        .argument("SECONDS")
        .fallback(3);
    construct!(SoakFlags {
        first_seed,
        seeds,
        parallel,
        fronts,
        endpoints,
        callers,
        seconds,
        restores,
        partitions,
        grace
    })
    .to_options()
    .descr("Runs real front processes under random faults and checks their promises")
}

/// Path of the `jackdawmux` binary that cargo built in the same profile as this example.
fn front_binary() -> std::io::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let directory = executable.parent().and_then(|examples| examples.parent());
    let directory = directory
        .ok_or_else(|| std::io::Error::other("the executable is in no target directory"))?;
    Ok(directory.join("jackdawmux"))
}

/// Waits for SIGTERM or SIGINT. `main` then returns, which ends all runs and kills their front
/// processes. Front processes that survived would connect to ports that others may reuse.
async fn wait_for_stop_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        interrupted = tokio::signal::ctrl_c() => interrupted,
    }
}

#[tokio::main]
async fn main() -> std::io::Result<ExitCode> {
    env_logger::init();
    let flags = parser().run();
    tokio::select! {
        result = run_seeds(flags) => result,
        signal_result = wait_for_stop_signal() => signal_result.map(|()| ExitCode::FAILURE),
    }
}

async fn run_seeds(flags: SoakFlags) -> std::io::Result<ExitCode> {
    let program = front_binary()?;
    let size = SoakSize {
        fronts: flags.fronts,
        endpoints: flags.endpoints,
        callers: flags.callers,
        fault_duration: Duration::from_secs(flags.seconds),
        restores: flags.restores,
        partitions: flags.partitions,
        grace: Duration::from_secs(flags.grace),
    };
    let permits = Arc::new(Semaphore::new(flags.parallel));
    let mut runs = JoinSet::new();
    for seed in flags.first_seed..flags.first_seed + flags.seeds {
        let (permits, program) = (Arc::clone(&permits), program.clone());
        runs.spawn(async move {
            let _permit = permits.acquire_owned().await;
            run_seed(seed, size, &program).await
        });
    }
    let mut violated_runs = 0;
    while let Some(run) = runs.join_next().await {
        let report = run??;
        println!("{report}");
        violated_runs += usize::from(!report.violations.is_empty());
    }
    println!("seeds={} broken={violated_runs}", flags.seeds);
    Ok(if violated_runs == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
