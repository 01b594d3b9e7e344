//! Execution of one soak run.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::callers::{CallerLog, SoakCaller};
use crate::checks::{PromiseViolation, RunObservations, check_run};
use crate::disturbance::{DisturbanceView, DisturbedComponent};
use crate::fleet::SoakFleet;
use crate::inject::inject;
use crate::plan::{FaultKind, PlannedFault, generate_partitions, generate_plan, generate_restores};
use crate::record::RequestOutcome;

/// Time after the last fault within which service must recover: a stability window, the time of a
/// lookup and the start of a process.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Time after that for which requests are counted to check the recovery.
const RECOVERY_CHECK_TIME: Duration = Duration::from_secs(2);
/// Interval between two checks for fronts that exited unexpectedly.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of the next run in this process.
static NEXT_RUN: AtomicU64 = AtomicU64::new(0);
/// Sleep interval of the task that detects stalls of the soak process.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum delay of that task that counts as a stall.
const MIN_STALL: Duration = Duration::from_millis(200);

/// Size of a run.
#[derive(Clone, Copy, Debug)]
pub struct SoakSize {
    /// Number of fronts.
    pub fronts: usize,
    /// Number of endpoints, shared between two services.
    pub endpoints: usize,
    /// Number of callers.
    pub callers: usize,
    /// Time during which faults are injected.
    pub fault_duration: Duration,
    /// Restores of the store from an older copy.
    pub restores: usize,
    /// Partitions of fronts from all endpoints.
    pub partitions: usize,
    /// Time that a front has for a planned stop.
    pub grace: Duration,
}

/// Result of a run.
#[derive(Debug)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Number of planned faults by kind.
    pub faults: BTreeMap<String, usize>,
    /// Number of requests by status code, or by `cut`, `abandoned` and `unanswered` for those
    /// without a complete response.
    pub outcomes: BTreeMap<String, usize>,
    /// Violated promises.
    pub violations: Vec<PromiseViolation>,
    /// Total time for which the soak process was not scheduled. Promises with a time bound are not
    /// checked around these stalls.
    pub stall_duration: Duration,
    /// Directory with the logs and settings of the fronts; deleted when no promise was violated.
    pub directory: PathBuf,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, faults, outcomes, violations, stall_duration, directory } = self;
        write!(
            formatter,
            "seed={seed} outcomes={outcomes:?} faults={faults:?} stalled_ms={} broken={}",
            stall_duration.as_millis(),
            violations.len()
        )?;
        for violation in violations {
            write!(formatter, "\n  promise={} detail={}", violation.promise, violation.detail)?;
        }
        if !violations.is_empty() {
            write!(formatter, "\n  logs={}", directory.display())?;
        }
        Ok(())
    }
}

/// Runs a fleet of `program` processes under the faults that `seed` determines, and checks the
/// promises.
///
/// # Errors
/// When the fleet cannot be started, or the run's directory cannot be created or deleted.
pub async fn run_seed(seed: u64, size: SoakSize, program: &Path) -> io::Result<SoakReport> {
    // Runs with the same seed may run at the same time.
    let number = NEXT_RUN.fetch_add(1, Ordering::Relaxed);
    let name = format!("jackdawmux-soak-{}-{seed}-{number}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory)?;
    let fleet = SoakFleet::start(size, program.to_owned(), directory.clone()).await?;
    let log = Arc::new(CallerLog::default());
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut plan = generate_plan(&mut rng, size.fault_duration);
    plan.extend(generate_restores(&mut rng, size.fault_duration, size.restores));
    let partitions =
        generate_partitions(&mut rng, size.fault_duration, size.partitions, size.fronts);
    plan.extend(partitions);
    plan.sort_by_key(|fault| fault.start_offset);
    let (shutdown, shutdown_receiver) = watch::channel(false);
    let mut callers = JoinSet::new();
    for number in 0..size.callers {
        let caller = SoakCaller::new(number, seed, Arc::clone(&fleet), Arc::clone(&log));
        callers.spawn(caller.run(shutdown_receiver.clone()));
    }
    let exit_watcher = tokio::spawn(restart_exited_fronts(Arc::clone(&fleet)));
    let stall_detector = tokio::spawn(detect_stalls(Arc::clone(&fleet)));
    inject_plan(&fleet, &plan).await;
    sleep(RECOVERY_TIME).await;
    let recovery_due_at = Instant::now();
    sleep(RECOVERY_CHECK_TIME).await;
    shutdown.send_replace(true);
    while callers.join_next().await.is_some() {}
    abort_task(exit_watcher).await;
    abort_task(stall_detector).await;
    let violations = check_promises(&fleet, &log, recovery_due_at);
    let report = SoakReport {
        seed,
        faults: count_faults(&plan),
        outcomes: count_outcomes(&log),
        violations,
        stall_duration: total_stall_duration(&fleet),
        directory,
    };
    fleet.kill_fronts();
    if report.violations.is_empty() {
        std::fs::remove_dir_all(&report.directory)?;
    }
    Ok(report)
}

async fn inject_plan(fleet: &Arc<SoakFleet>, plan: &[PlannedFault]) {
    let started_at = tokio::time::Instant::now();
    let mut faults = JoinSet::new();
    for fault in plan {
        tokio::time::sleep_until(started_at + fault.start_offset).await;
        faults.spawn(inject(Arc::clone(fleet), *fault));
    }
    while let Some(result) = faults.join_next().await {
        if let Err(error) = result {
            let text = format!("fault injection task failed: {error}");
            fleet.events().failures.push(text);
        }
    }
}

/// Records fronts that exit without a requested stop, and restarts them.
async fn restart_exited_fronts(fleet: Arc<SoakFleet>) {
    loop {
        for index in 0..fleet.fronts.len() {
            let exit_status = {
                let mut child_slot = fleet.fronts[index].lock_child();
                let exit_status = child_slot.as_mut().and_then(|child| child.exit_status());
                let is_stop_requested = fleet
                    .events()
                    .front_processes
                    .iter()
                    .rfind(|process| process.front == index)
                    .is_some_and(|process| process.stop_requested_at.is_some());
                let exit_status = exit_status.filter(|_| !is_stop_requested);
                if exit_status.is_some() {
                    *child_slot = None;
                }
                exit_status
            };
            if let Some(status) = exit_status {
                fleet.update_front_process(index, |process| {
                    process.exited_at = Some(Instant::now())
                });
                let text = format!("front {index} exited unexpectedly with {status}");
                fleet.events().failures.push(text);
                if let Err(error) = fleet.start_front(index) {
                    log::error!("event=restart-failed front={index} error={error:?}");
                }
            }
        }
        sleep(EXIT_POLL_INTERVAL).await;
    }
}

/// Records a disturbance of all components whenever this task is scheduled late: other tasks and
/// processes may then have been late as well.
async fn detect_stalls(fleet: Arc<SoakFleet>) {
    loop {
        let poll_started_at = Instant::now();
        sleep(STALL_POLL_INTERVAL).await;
        let delay = poll_started_at.elapsed().saturating_sub(STALL_POLL_INTERVAL);
        if delay >= MIN_STALL {
            log::warn!("event=soak-stalled late_ms={}", delay.as_millis());
            fleet.disturbances.record(
                DisturbedComponent::Everything,
                FaultKind::SoakStalled,
                poll_started_at,
            );
        }
    }
}

fn total_stall_duration(fleet: &SoakFleet) -> Duration {
    let spans = fleet.disturbances.spans();
    let stalls = spans.iter().filter(|span| span.kind == FaultKind::SoakStalled);
    stalls.filter_map(|span| Some(span.ended_at?.duration_since(span.started_at))).sum()
}

async fn abort_task(task: JoinHandle<()>) {
    task.abort();
    // The only expected result is the cancellation, which carries no information.
    let _cancelled = task.await;
}

fn check_promises(
    fleet: &SoakFleet,
    log: &CallerLog,
    recovery_due_at: Instant,
) -> Vec<PromiseViolation> {
    let spans = fleet.disturbances.spans();
    let observations = RunObservations {
        requests: &log.requests.lock().expect("no task panicked"),
        lookups: &log.lookups.lock().expect("no task panicked"),
        endpoints: &fleet.all_endpoints.lock().expect("no task panicked"),
        events: &fleet.events(),
        disturbances: DisturbanceView(&spans),
        recovery_due_at,
    };
    check_run(&observations)
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
            RequestOutcome::Answered(response) => response.status().to_string(),
            RequestOutcome::Cut => "cut".to_owned(),
            RequestOutcome::Abandoned => "abandoned".to_owned(),
            RequestOutcome::Unanswered => "unanswered".to_owned(),
        };
        *counts.entry(name).or_default() += 1;
    }
    counts
}
