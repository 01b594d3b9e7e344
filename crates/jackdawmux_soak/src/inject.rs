//! Injects the faults of a plan.

use std::io;
use std::process::ExitStatus;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jackdawmux_platform_standins::endpoint::Behaviour;
use jackdawmux_platform_standins::manifest::{FIRST_SERVICE, SECOND_SERVICE};
use jackdawmux_platform_standins::store::StoreObject;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::disturbance::DisturbedComponent;
use crate::fleet::{DOMAINS, SoakEndpoint, SoakFleet};
use crate::plan::{FaultKind, PlannedFault};
use crate::record::{ExclusionRecord, PartitionRecord};

/// Time for which an endpoint still serves after it was registered as draining; the `drain` of the
/// fronts' settings.
pub const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time after a crash until the registration of the endpoint lapses.
const REGISTRATION_LAPSE: Duration = Duration::from_millis(800);
/// Interval at which the changes that a restore has lost are written again.
const REWRITE_INTERVAL: Duration = Duration::from_millis(120);
/// Interval between two checks for the exit of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Injects one fault and returns after its end.
pub async fn inject(fleet: Arc<SoakFleet>, fault: PlannedFault) {
    log::info!(
        "event=fault kind={} target={} harm={} behaviour={:?} length_ms={}",
        fault.kind,
        fault.target,
        fault.link_fault,
        fault.behaviour,
        fault.duration.as_millis()
    );
    let result = match fault.kind {
        FaultKind::FrontKilled => kill_front(&fleet, fault).await,
        FaultKind::FrontStopped => stop_front(&fleet, fault).await,
        FaultKind::FrontFrozen => freeze_front(&fleet, fault).await,
        FaultKind::FrontReloaded => reload_front(&fleet, fault),
        FaultKind::CallerLink | FaultKind::StoreLink => {
            inject_front_link_fault(&fleet, fault).await
        }
        FaultKind::FrontPartitioned => partition_fronts(&fleet, fault).await,
        FaultKind::EndpointLink => inject_endpoint_link_fault(&fleet, fault).await,
        FaultKind::StoreDown => take_store_down(&fleet, fault).await,
        FaultKind::HistoryDropped => drop_history(&fleet, fault),
        FaultKind::StoreRestored => restore_store(&fleet, fault).await,
        FaultKind::EndpointFails => fail_endpoint(&fleet, fault).await,
        FaultKind::EndpointDrained => drain_endpoint(&fleet, fault).await,
        FaultKind::EndpointCrashed => crash_endpoint(&fleet, fault).await,
        FaultKind::VersionWritten => write_next_version(&fleet, fault),
        FaultKind::DomainEvacuated => evacuate(&fleet, fault).await,
        FaultKind::SoakStalled => Ok(()),
    };
    if let Err(error) = result {
        log::error!("event=fault-failed kind={} error={error:?}", fault.kind);
        fleet.events().failures.push(format!("failed to inject {}: {error}", fault.kind));
    }
}

fn front_index(fleet: &SoakFleet, fault: PlannedFault) -> usize {
    fault.target % fleet.fronts.len()
}

fn endpoint_index(fleet: &SoakFleet, fault: PlannedFault) -> usize {
    fault.target % fleet.active_endpoints.len()
}

/// Sends a signal to a running front and returns its start number; none when the front is down.
fn signal_running(fleet: &SoakFleet, front: usize, signal: Signal) -> io::Result<Option<u64>> {
    let child_slot = fleet.fronts[front].lock_child();
    let Some(child) = child_slot.as_ref() else {
        return Ok(None);
    };
    child.signal(signal)?;
    Ok(Some(fleet.fronts[front].start_count()))
}

async fn kill_front(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let front = front_index(fleet, fault);
    let Some(mut child) = fleet.fronts[front].lock_child().take() else {
        return Ok(());
    };
    let span = fleet.disturbances.begin(DisturbedComponent::Front(front), fault.kind);
    child.kill();
    fleet.update_front_process(front, |process| process.exited_at = Some(Instant::now()));
    sleep(fault.duration).await;
    let started = fleet.start_front(front);
    fleet.disturbances.end(span);
    started
}

async fn stop_front(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let front = front_index(fleet, fault);
    let start_number = {
        let child_slot = fleet.fronts[front].lock_child();
        let Some(child) = child_slot.as_ref() else {
            return Ok(());
        };
        child.signal(Signal::TERM)?;
        fleet.update_front_process(front, |process| {
            process.stop_requested_at.get_or_insert_with(Instant::now);
        });
        fleet.fronts[front].start_count()
    };
    let span = fleet.disturbances.begin(DisturbedComponent::Front(front), fault.kind);
    let requested_at = Instant::now();
    let was_stopped = wait_for_stop(fleet, front, start_number, requested_at).await;
    if was_stopped {
        sleep(fault.duration).await;
        fleet.start_front(front)?;
    }
    fleet.disturbances.end(span);
    Ok(())
}

/// Waits for a front to exit after SIGTERM, and kills it after the stop grace, as the platform
/// does. False when another fault ended the process first.
async fn wait_for_stop(
    fleet: &SoakFleet,
    front: usize,
    start_number: u64,
    requested_at: Instant,
) -> bool {
    let mut waited = Duration::ZERO;
    loop {
        let Some(state) = poll_stop(fleet, front, start_number, waited > fleet.grace) else {
            return false;
        };
        let was_frozen = || {
            fleet.disturbances.spans().iter().any(|span| {
                span.component == DisturbedComponent::Front(front)
                    && span.kind == FaultKind::FrontFrozen
                    && span.ended_at.is_none_or(|ended_at| ended_at > requested_at)
            })
        };
        let failure = match state {
            StopState::Running => None,
            StopState::Exited(status) if status.success() => (!fleet.is_stop_logged(front))
                .then(|| format!("front {front} exited without logging the stop")),
            StopState::Exited(status) => {
                Some(format!("front {front} exited with {status} after SIGTERM"))
            }
            StopState::Killed if was_frozen() => return true,
            StopState::Killed => Some(format!("front {front} still ran after the stop grace")),
        };
        let is_finished = !matches!(state, StopState::Running);
        fleet.events().failures.extend(failure);
        if is_finished {
            return true;
        }
        let poll_started_at = Instant::now();
        sleep(POLL_INTERVAL).await;
        // Counts at most two intervals: if the soak process was not scheduled for longer, the front
        // may not have been either.
        waited += poll_started_at.elapsed().min(POLL_INTERVAL * 2);
    }
}

/// State of a front that was sent SIGTERM.
enum StopState {
    Running,
    Exited(ExitStatus),
    Killed,
}

/// Checks the progress of a stop, and kills the process if it is late. None when the front has no
/// process or a newer one.
fn poll_stop(
    fleet: &SoakFleet,
    front: usize,
    start_number: u64,
    is_late: bool,
) -> Option<StopState> {
    let mut child_slot = fleet.fronts[front].lock_child();
    let is_same_process = fleet.fronts[front].start_count() == start_number;
    let child = child_slot.as_mut().filter(|_| is_same_process)?;
    let state = match child.exit_status() {
        Some(status) => StopState::Exited(status),
        None if is_late => {
            child.kill();
            StopState::Killed
        }
        None => return Some(StopState::Running),
    };
    *child_slot = None;
    drop(child_slot);
    fleet.update_front_process(front, |process| process.exited_at = Some(Instant::now()));
    Some(state)
}

async fn freeze_front(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let front = front_index(fleet, fault);
    let Some(start_number) = signal_running(fleet, front, Signal::STOP)? else {
        return Ok(());
    };
    let span = fleet.disturbances.begin(DisturbedComponent::Front(front), fault.kind);
    sleep(fault.duration).await;
    let child_slot = fleet.fronts[front].lock_child();
    let is_same_process = fleet.fronts[front].start_count() == start_number;
    let resumed = match child_slot.as_ref().filter(|_| is_same_process) {
        Some(child) => child.signal(Signal::CONT),
        None => Ok(()),
    };
    fleet.disturbances.end(span);
    resumed
}

fn reload_front(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let front = front_index(fleet, fault);
    fleet.write_settings(front, &fleet.fronts[front].config.changed_settings(&DOMAINS))?;
    signal_running(fleet, front, Signal::HUP).map(|_start_number| ())
}

async fn inject_front_link_fault(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let index = front_index(fleet, fault);
    let front = &fleet.fronts[index];
    let is_store = fault.kind == FaultKind::StoreLink;
    let link = if is_store { &front.store_link } else { &front.caller_link };
    let span = fleet.disturbances.begin(DisturbedComponent::Front(index), fault.kind);
    link.inject(fault.link_fault);
    sleep(fault.duration).await;
    link.clear_fault();
    fleet.disturbances.end(span);
    Ok(())
}

/// Partitions fronts that follow each other from all endpoints. A partition that overlaps another one
/// of the same front takes its place, and the first end ends both.
async fn partition_fronts(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let (kind, count) = fault.partition;
    let first = front_index(fleet, fault);
    let partitioned: Vec<usize> =
        (0..count).map(|offset| (first + offset) % fleet.fronts.len()).collect();
    let started_at = Instant::now();
    for front in &partitioned {
        fleet.fronts[*front].endpoint_links.cut(kind);
    }
    sleep(fault.duration).await;
    for front in &partitioned {
        fleet.fronts[*front].endpoint_links.heal();
    }
    let ended_at = Instant::now();
    fleet.events().partitions.push(PartitionRecord { fronts: partitioned, started_at, ended_at });
    Ok(())
}

async fn inject_endpoint_link_fault(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let endpoint = Arc::clone(&*fleet.active_endpoints[endpoint_index(fleet, fault)].lock().await);
    let component = DisturbedComponent::Endpoint(endpoint.standin.id.clone());
    let span = fleet.disturbances.begin(component, fault.kind);
    endpoint.link.inject(fault.link_fault);
    sleep(fault.duration).await;
    endpoint.link.clear_fault();
    fleet.disturbances.end(span);
    Ok(())
}

async fn take_store_down(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let span = fleet.disturbances.begin(DisturbedComponent::Store, fault.kind);
    fleet.store.set_down(true);
    sleep(fault.duration).await;
    fleet.store.set_down(false);
    fleet.disturbances.end(span);
    Ok(())
}

fn drop_history(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let span = fleet.disturbances.begin(DisturbedComponent::Store, fault.kind);
    fleet.store.compact();
    fleet.disturbances.end(span);
    Ok(())
}

/// Restores the store from a copy that is as old as the fault is long. The operator and the endpoints
/// write again what was lost, in an order that depends on the fault's target.
async fn restore_store(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let copy = fleet.store.copy();
    sleep(fault.duration).await;
    let span = fleet.disturbances.begin(DisturbedComponent::Store, fault.kind);
    let mut lost = fleet.store.restore(copy);
    while !lost.is_empty() {
        let change = lost.swap_remove(fault.target % lost.len());
        sleep(REWRITE_INTERVAL).await;
        fleet.store.write_again(&change);
    }
    fleet.disturbances.end(span);
    Ok(())
}

async fn fail_endpoint(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let endpoint = Arc::clone(&*fleet.active_endpoints[endpoint_index(fleet, fault)].lock().await);
    let component = DisturbedComponent::Endpoint(endpoint.standin.id.clone());
    let span = fleet.disturbances.begin(component, fault.kind);
    endpoint.standin.set_behaviour(fault.behaviour);
    sleep(fault.duration).await;
    endpoint.standin.set_behaviour(Behaviour::Answer);
    fleet.disturbances.end(span);
    Ok(())
}

async fn drain_endpoint(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let position = endpoint_index(fleet, fault);
    // Another fault is already replacing the endpoint at this position.
    let Ok(mut active_endpoint) = fleet.active_endpoints[position].try_lock() else {
        return Ok(());
    };
    let draining = Arc::clone(&active_endpoint);
    draining.register(&fleet.store, true);
    record_endpoint_exclusion(fleet, &draining);
    *active_endpoint = fleet.start_endpoint(position, true).await?;
    drop(active_endpoint);
    sleep(DRAIN_TIME + fault.duration).await;
    draining.standin.withdraw(&fleet.store);
    draining.standin.stop();
    Ok(())
}

async fn crash_endpoint(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let position = endpoint_index(fleet, fault);
    let Ok(mut active_endpoint) = fleet.active_endpoints[position].try_lock() else {
        return Ok(());
    };
    let component = DisturbedComponent::Endpoint(active_endpoint.standin.id.clone());
    let span = fleet.disturbances.begin(component, fault.kind);
    active_endpoint.standin.stop();
    sleep(REGISTRATION_LAPSE).await;
    active_endpoint.standin.withdraw(&fleet.store);
    record_endpoint_exclusion(fleet, &active_endpoint);
    sleep(fault.duration).await;
    fleet.disturbances.end(span);
    *active_endpoint = fleet.start_endpoint(position, true).await?;
    Ok(())
}

fn record_endpoint_exclusion(fleet: &SoakFleet, endpoint: &SoakEndpoint) {
    let name = endpoint.standin.id.clone();
    fleet.events().drains.push(ExclusionRecord {
        name,
        acked_at: Instant::now(),
        revoked_at: None,
    });
}

/// Writes a version one to three above the newest, depending on the fault's target, so that version
/// numbers have gaps.
fn write_next_version(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let newest = fleet.events().versions.last().cloned();
    let newest = newest.ok_or_else(|| io::Error::other("no earlier configuration version"))?;
    let service = if newest.service == FIRST_SERVICE { SECOND_SERVICE } else { FIRST_SERVICE };
    let step = 1 + u64::try_from(fault.target % 3).unwrap_or(0);
    fleet.write_version(newest.version + step, service);
    Ok(())
}

async fn evacuate(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let (domain, _region) = DOMAINS[fault.target % DOMAINS.len()];
    let is_evacuated = |records: &[ExclusionRecord]| {
        records.iter().any(|record| record.name == domain && record.revoked_at.is_none())
    };
    if is_evacuated(&fleet.events().evacuations) {
        return Ok(());
    }
    fleet.store.put_spec(StoreObject::Evacuation(domain), "asked for by the soak".into());
    let record =
        ExclusionRecord { name: domain.to_owned(), acked_at: Instant::now(), revoked_at: None };
    fleet.events().evacuations.push(record);
    sleep(fault.duration).await;
    let mut events = fleet.events();
    for record in events.evacuations.iter_mut().filter(|record| record.name == domain) {
        record.revoked_at.get_or_insert_with(Instant::now);
    }
    drop(events);
    fleet.store.remove(StoreObject::Evacuation(domain));
    Ok(())
}
