//! Runs the fault soak by hand: `cargo run --release -p jackdawmux_entry --example soak -- --help`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long};
use jackdawmux_soak::{SoakSize, run_seed};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Flags of the soak.
#[derive(Clone, Debug)]
struct SoakFlags {
    first_seed: u64,
    seeds: u64,
    parallel: usize,
    fronts: usize,
    endpoints: usize,
    callers: usize,
    seconds: u64,
}

fn parser() -> OptionParser<SoakFlags> {
    let first_seed = long("first-seed").help("First seed").argument("SEED").fallback(1);
    let seeds = long("seeds").help("Number of seeds").argument("COUNT").fallback(50);
    let parallel = long("parallel").help("Runs at a time").argument("COUNT").fallback(4);
    let fronts = long("fronts").help("Front processes of a run").argument("COUNT").fallback(5);
    let endpoints = long("endpoints").help("Endpoints of a run").argument("COUNT").fallback(12);
    let callers = long("callers").help("Callers of a run").argument("COUNT").fallback(24);
    let seconds = long("seconds").help("Time with faults").argument("SECONDS").fallback(30);
    construct!(SoakFlags { first_seed, seeds, parallel, fronts, endpoints, callers, seconds })
        .to_options()
        .descr("Runs real front processes under random faults and checks their promises")
}

/// The program that cargo built beside this example.
fn front_program() -> std::io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let directory = own.parent().and_then(|examples| examples.parent());
    let directory = directory.ok_or_else(|| std::io::Error::other("the example has no parent"))?;
    Ok(directory.join("jackdawmux"))
}

/// Waits for the signal to stop. The return from `main` then ends every run, and with it the front
/// processes; left alone they would go on calling ports that others get.
async fn stop_asked() -> std::io::Result<()> {
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
        done = run_seeds(flags) => done,
        stopped = stop_asked() => stopped.map(|()| ExitCode::FAILURE),
    }
}

async fn run_seeds(flags: SoakFlags) -> std::io::Result<ExitCode> {
    let program = front_program()?;
    let size = SoakSize {
        fronts: flags.fronts,
        endpoints: flags.endpoints,
        callers: flags.callers,
        fault_duration: Duration::from_secs(flags.seconds),
    };
    let places = Arc::new(Semaphore::new(flags.parallel));
    let mut runs = JoinSet::new();
    for seed in flags.first_seed..flags.first_seed + flags.seeds {
        let (places, program) = (Arc::clone(&places), program.clone());
        runs.spawn(async move {
            let _place = places.acquire_owned().await;
            run_seed(seed, size, &program).await
        });
    }
    let mut broken = 0;
    while let Some(run) = runs.join_next().await {
        let report = run??;
        println!("{report}");
        broken += usize::from(!report.violations.is_empty());
    }
    println!("seeds={} broken={broken}", flags.seeds);
    Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
