//! One run of the soak.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::callers::{CallerLog, SoakCaller};
use crate::disturbance::{DisturbanceView, DisturbedComponent};
use crate::fleet::SoakFleet;
use crate::inject::inject;
use crate::plan::{FaultKind, PlannedFault, generate_plan};
use crate::record::RequestOutcome;
use crate::verdict::{RunEvidence, SoakFinding, judge};

/// Time after the last fault until service is due again: a stability window, a look-up's time and
/// the start of a process.
const RECOVERY: Duration = Duration::from_secs(5);
/// Time after that in which service is looked at.
const CALM_TIME: Duration = Duration::from_secs(2);
/// Pause between looks at processes that may have ended by themselves.
const WATCH_PAUSE: Duration = Duration::from_millis(50);

/// Pause of the task that notices when the soak itself does not run.
const STALL_PAUSE: Duration = Duration::from_millis(20);
/// Lateness of that task that counts as a stall.
const STALL_SHORTEST: Duration = Duration::from_millis(200);

/// Size of a run.
#[derive(Clone, Copy, Debug)]
pub struct SoakSize {
    /// Fronts.
    pub fronts: usize,
    /// Endpoints, over two services.
    pub endpoints: usize,
    /// Callers.
    pub callers: usize,
    /// Time in which faults happen.
    pub faults_for: Duration,
}

/// What came of a run.
#[derive(Debug)]
pub struct SoakReport {
    /// Seed.
    pub seed: u64,
    /// Faults by kind.
    pub faults: BTreeMap<String, usize>,
    /// Requests by status; `cut`, `abandoned` and `unanswered` without one.
    pub outcomes: BTreeMap<String, usize>,
    /// Broken promises.
    pub findings: Vec<SoakFinding>,
    /// Time for which the soak itself did not run; promises with a time bound are not judged
    /// around it.
    pub stalled: Duration,
    /// Logs of the fronts, kept when a promise was broken.
    pub directory: PathBuf,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, faults, outcomes, findings, stalled, directory } = self;
        write!(
            formatter,
            "seed={seed} outcomes={outcomes:?} faults={faults:?} stalled_ms={} broken={}",
            stalled.as_millis(),
            findings.len()
        )?;
        for finding in findings {
            write!(formatter, "\n  promise={} detail={}", finding.promise, finding.detail)?;
        }
        if !findings.is_empty() {
            write!(formatter, "\n  logs={}", directory.display())?;
        }
        Ok(())
    }
}

/// Runs a fleet of `program` under the faults that a seed draws, and checks the promises.
///
/// # Errors
/// When the fleet cannot be started or a file cannot be written.
pub async fn run_seed(seed: u64, size: SoakSize, program: &Path) -> io::Result<SoakReport> {
    let name = format!("jackdawmux-soak-{}-{seed}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory)?;
    let fleet = SoakFleet::start(size, program.to_owned(), directory.clone()).await?;
    let log = Arc::new(CallerLog::default());
    let plan = generate_plan(&mut ChaCha8Rng::seed_from_u64(seed), size.faults_for);
    let (end, ending) = watch::channel(false);
    let mut callers = JoinSet::new();
    for number in 0..size.callers {
        let caller = SoakCaller::new(number, seed, Arc::clone(&fleet), Arc::clone(&log));
        callers.spawn(caller.run(ending.clone()));
    }
    let watch = tokio::spawn(watch_processes(Arc::clone(&fleet)));
    let stalls = tokio::spawn(watch_stalls(Arc::clone(&fleet)));
    play(&fleet, &plan).await;
    sleep(RECOVERY).await;
    let calm_from = Instant::now();
    sleep(CALM_TIME).await;
    end.send_replace(true);
    while callers.join_next().await.is_some() {}
    stop(watch).await;
    stop(stalls).await;
    let findings = check(&fleet, &log, calm_from);
    let report = SoakReport {
        seed,
        faults: count_faults(&plan),
        outcomes: count_outcomes(&log),
        findings,
        stalled: stalled_time(&fleet),
        directory,
    };
    fleet.kill_fronts();
    if report.findings.is_empty() {
        std::fs::remove_dir_all(&report.directory)?;
    }
    Ok(report)
}

async fn play(fleet: &Arc<SoakFleet>, plan: &[PlannedFault]) {
    let begun = tokio::time::Instant::now();
    let mut faults = JoinSet::new();
    for fault in plan {
        tokio::time::sleep_until(begun + fault.start_offset).await;
        faults.spawn(inject(Arc::clone(fleet), *fault));
    }
    while let Some(done) = faults.join_next().await {
        if let Err(error) = done {
            let text = format!("the soak failed while injecting a fault: {error}");
            fleet.events().failures.push(text);
        }
    }
}

/// Notes fronts that end though nobody asked them to, and starts them again.
async fn watch_processes(fleet: Arc<SoakFleet>) {
    loop {
        for index in 0..fleet.fronts.len() {
            let ended = {
                let mut slot = fleet.fronts[index].lock_child();
                let ended = slot.as_mut().and_then(|child| child.exit_status());
                let is_asked = fleet
                    .events()
                    .front_processes
                    .iter()
                    .rfind(|process| process.front == index)
                    .is_some_and(|process| process.stop_requested_at.is_some());
                let ended = ended.filter(|_| !is_asked);
                if ended.is_some() {
                    *slot = None;
                }
                ended
            };
            if let Some(status) = ended {
                fleet.update_front_process(index, |process| {
                    process.exited_at = Some(Instant::now())
                });
                let text = format!("front {index} ended by itself with {status}");
                fleet.events().failures.push(text);
                if let Err(error) = fleet.start_front(index) {
                    log::error!("event=restart-failed front={index} error={error:?}");
                }
            }
        }
        sleep(WATCH_PAUSE).await;
    }
}

/// Notes when this task runs late, so that nothing else can have been on time either.
async fn watch_stalls(fleet: Arc<SoakFleet>) {
    loop {
        let before = Instant::now();
        sleep(STALL_PAUSE).await;
        let late = before.elapsed().saturating_sub(STALL_PAUSE);
        if late >= STALL_SHORTEST {
            log::warn!("event=soak-stalled late_ms={}", late.as_millis());
            fleet.disturbances.record(
                DisturbedComponent::Everything,
                FaultKind::SoakStalled,
                before,
            );
        }
    }
}

fn stalled_time(fleet: &SoakFleet) -> Duration {
    let spans = fleet.disturbances.spans();
    let stalls = spans.iter().filter(|span| span.kind == FaultKind::SoakStalled);
    stalls.filter_map(|span| Some(span.ended_at?.duration_since(span.started_at))).sum()
}

async fn stop(task: JoinHandle<()>) {
    task.abort();
    // It was cancelled, which is no news.
    let _cancelled = task.await;
}

fn check(fleet: &SoakFleet, log: &CallerLog, calm_from: Instant) -> Vec<SoakFinding> {
    let spans = fleet.disturbances.spans();
    let evidence = RunEvidence {
        requests: &log.requests.lock().expect("no task panicked"),
        lookups: &log.lookups.lock().expect("no task panicked"),
        endpoints: &fleet.all_endpoints.lock().expect("no task panicked"),
        events: &fleet.events(),
        disturbances: DisturbanceView(&spans),
        calm_from,
    };
    judge(&evidence)
}

fn count_faults(plan: &[PlannedFault]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for fault in plan {
        let is_link = matches!(
            fault.kind,
            FaultKind::CallerLink | FaultKind::StoreLink | FaultKind::EndpointLink
        );
        let name = if is_link {
            format!("{}-{}", fault.kind, fault.link_fault)
        } else {
            fault.kind.to_string()
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}

fn count_outcomes(log: &CallerLog) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for request in log.requests.lock().expect("no task panicked").iter() {
        let name = match &request.outcome {
            RequestOutcome::Answered(answer) => answer.status().to_string(),
            RequestOutcome::Cut => "cut".to_owned(),
            RequestOutcome::Abandoned => "abandoned".to_owned(),
            RequestOutcome::Unanswered => "unanswered".to_owned(),
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}
