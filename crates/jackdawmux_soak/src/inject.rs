//! Carries out the faults of a plan.

use std::io;
use std::process::ExitStatus;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jackdawmux_platform_standins::endpoint::Behaviour;
use jackdawmux_platform_standins::manifest::{FIRST_SERVICE, SECOND_SERVICE};
use jackdawmux_platform_standins::store::StoreObject;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::disturbance::DisturbedPart;
use crate::fleet::{DOMAINS, SoakEndpoint, SoakFleet};
use crate::plan::{FaultKind, PlannedFault};
use crate::record::LeavingFact;

/// Time for a planned stop, as the settings of the machines say.
pub const GRACE: Duration = Duration::from_secs(3);
/// Time for which an endpoint serves after it has said that it leaves.
pub const DRAIN: Duration = Duration::from_secs(2);
/// Time after its end until the registration of a crashed endpoint lapses.
const LAPSE: Duration = Duration::from_millis(800);
/// Pause between looks at processes.
const WATCH_PAUSE: Duration = Duration::from_millis(20);

/// Carries out one fault, from its beginning to its end.
pub async fn inject(fleet: Arc<SoakFleet>, fault: PlannedFault) {
    log::info!(
        "event=fault kind={} target={} harm={} behaviour={:?} length_ms={}",
        fault.kind,
        fault.target,
        fault.harm,
        fault.behaviour,
        fault.length.as_millis()
    );
    let done = match fault.kind {
        FaultKind::FrontKilled => kill_front(&fleet, fault).await,
        FaultKind::FrontStopped => stop_front(&fleet, fault).await,
        FaultKind::FrontFrozen => freeze_front(&fleet, fault).await,
        FaultKind::FrontReloaded => reload_front(&fleet, fault),
        FaultKind::CallerLink | FaultKind::StoreLink => harm_front_link(&fleet, fault).await,
        FaultKind::EndpointLink => harm_endpoint_link(&fleet, fault).await,
        FaultKind::StoreDown => stop_store(&fleet, fault).await,
        FaultKind::HistoryDropped => drop_history(&fleet, fault),
        FaultKind::EndpointFails => spoil_endpoint(&fleet, fault).await,
        FaultKind::EndpointDrained => drain_endpoint(&fleet, fault).await,
        FaultKind::EndpointCrashed => crash_endpoint(&fleet, fault).await,
        FaultKind::VersionWritten => write_next_version(&fleet, fault),
        FaultKind::DomainEvacuated => evacuate(&fleet, fault).await,
        FaultKind::SoakStalled => Ok(()),
    };
    if let Err(error) = done {
        log::error!("event=fault-failed kind={} error={error:?}", fault.kind);
        fleet.facts().odd_ends.push(format!("the soak could not inject {}: {error}", fault.kind));
    }
}

fn front_of(fleet: &SoakFleet, fault: PlannedFault) -> usize {
    fault.target % fleet.fronts.len()
}

fn place_of(fleet: &SoakFleet, fault: PlannedFault) -> usize {
    fault.target % fleet.places.len()
}

/// Signals a front that runs, and returns the number of its start; none when it is down.
fn signal_running(fleet: &SoakFleet, front: usize, signal: Signal) -> io::Result<Option<u64>> {
    let slot = fleet.fronts[front].lock();
    let Some(child) = slot.as_ref() else {
        return Ok(None);
    };
    child.signal(signal)?;
    Ok(Some(fleet.fronts[front].start_count()))
}

async fn kill_front(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let front = front_of(fleet, fault);
    let Some(mut child) = fleet.fronts[front].lock().take() else {
        return Ok(());
    };
    let span = fleet.disturbances.begin(DisturbedPart::Front(front), fault.kind);
    child.kill();
    fleet.change_life(front, |life| life.until = Some(Instant::now()));
    sleep(fault.length).await;
    let started = fleet.start_front(front);
    fleet.disturbances.end(span);
    started
}

async fn stop_front(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let front = front_of(fleet, fault);
    let start = {
        let slot = fleet.fronts[front].lock();
        let Some(child) = slot.as_ref() else {
            return Ok(());
        };
        child.signal(Signal::TERM)?;
        fleet.change_life(front, |life| {
            life.stop_asked.get_or_insert_with(Instant::now);
        });
        fleet.fronts[front].start_count()
    };
    let span = fleet.disturbances.begin(DisturbedPart::Front(front), fault.kind);
    let asked = Instant::now();
    let is_mine = wait_for_stop(fleet, front, start, asked).await;
    if is_mine {
        sleep(fault.length).await;
        fleet.start_front(front)?;
    }
    fleet.disturbances.end(span);
    Ok(())
}

/// Waits until a front that was asked to stop has ended, and kills it after its grace, as the
/// platform does. False when another fault took the process first.
async fn wait_for_stop(fleet: &SoakFleet, front: usize, start: u64, asked: Instant) -> bool {
    let mut waited = Duration::ZERO;
    loop {
        let Some(ended) = look_at_stop(fleet, front, start, waited > GRACE) else {
            return false;
        };
        let was_frozen = || {
            fleet.disturbances.spans().iter().any(|span| {
                span.part == DisturbedPart::Front(front)
                    && span.kind == FaultKind::FrontFrozen
                    && span.until.is_none_or(|until| until > asked)
            })
        };
        let odd = match ended {
            StopState::Running => None,
            StopState::Ended(status) if status.success() => {
                (!fleet.is_stop_logged(front)).then(|| format!("front {front} logged no stop"))
            }
            StopState::Ended(status) => {
                Some(format!("front {front} ended a planned stop with {status}"))
            }
            StopState::Killed if was_frozen() => return true,
            StopState::Killed => Some(format!("front {front} still ran at the end of its grace")),
        };
        let is_over = !matches!(ended, StopState::Running);
        fleet.facts().odd_ends.extend(odd);
        if is_over {
            return true;
        }
        let before = Instant::now();
        sleep(WATCH_PAUSE).await;
        // While the soak itself did not run, neither may have the front.
        waited += before.elapsed().min(WATCH_PAUSE * 2);
    }
}

/// State of a front that was asked to stop.
enum StopState {
    Running,
    Ended(ExitStatus),
    Killed,
}

/// Looks at a stop, and kills the process when it is late. None when the process is another one.
fn look_at_stop(fleet: &SoakFleet, front: usize, start: u64, is_late: bool) -> Option<StopState> {
    let mut slot = fleet.fronts[front].lock();
    let is_same = fleet.fronts[front].start_count() == start;
    let child = slot.as_mut().filter(|_| is_same)?;
    let state = match child.ended() {
        Some(status) => StopState::Ended(status),
        None if is_late => {
            child.kill();
            StopState::Killed
        }
        None => return Some(StopState::Running),
    };
    *slot = None;
    drop(slot);
    fleet.change_life(front, |life| life.until = Some(Instant::now()));
    Some(state)
}

async fn freeze_front(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let front = front_of(fleet, fault);
    let Some(start) = signal_running(fleet, front, Signal::STOP)? else {
        return Ok(());
    };
    let span = fleet.disturbances.begin(DisturbedPart::Front(front), fault.kind);
    sleep(fault.length).await;
    let slot = fleet.fronts[front].lock();
    let is_same = fleet.fronts[front].start_count() == start;
    let thawed = match slot.as_ref().filter(|_| is_same) {
        Some(child) => child.signal(Signal::CONT),
        None => Ok(()),
    };
    fleet.disturbances.end(span);
    thawed
}

fn reload_front(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let front = front_of(fleet, fault);
    fleet.write_settings(front, &fleet.fronts[front].site.changed_settings(&DOMAINS))?;
    signal_running(fleet, front, Signal::HUP).map(|_start| ())
}

async fn harm_front_link(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let index = front_of(fleet, fault);
    let front = &fleet.fronts[index];
    let is_store = fault.kind == FaultKind::StoreLink;
    let link = if is_store { &front.store_link } else { &front.callers };
    let span = fleet.disturbances.begin(DisturbedPart::Front(index), fault.kind);
    link.harm(fault.harm);
    sleep(fault.length).await;
    link.heal();
    fleet.disturbances.end(span);
    Ok(())
}

async fn harm_endpoint_link(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let endpoint = Arc::clone(&*fleet.places[place_of(fleet, fault)].lock().await);
    let part = DisturbedPart::Endpoint(endpoint.standin.id.clone());
    let span = fleet.disturbances.begin(part, fault.kind);
    endpoint.link.harm(fault.harm);
    sleep(fault.length).await;
    endpoint.link.heal();
    fleet.disturbances.end(span);
    Ok(())
}

async fn stop_store(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let span = fleet.disturbances.begin(DisturbedPart::Store, fault.kind);
    fleet.store.set_down(true);
    sleep(fault.length).await;
    fleet.store.set_down(false);
    fleet.disturbances.end(span);
    Ok(())
}

fn drop_history(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let span = fleet.disturbances.begin(DisturbedPart::Store, fault.kind);
    fleet.store.compact();
    fleet.disturbances.end(span);
    Ok(())
}

async fn spoil_endpoint(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let endpoint = Arc::clone(&*fleet.places[place_of(fleet, fault)].lock().await);
    let part = DisturbedPart::Endpoint(endpoint.standin.id.clone());
    let span = fleet.disturbances.begin(part, fault.kind);
    endpoint.standin.set_behaviour(fault.behaviour);
    sleep(fault.length).await;
    endpoint.standin.set_behaviour(Behaviour::Answer);
    fleet.disturbances.end(span);
    Ok(())
}

async fn drain_endpoint(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let place = place_of(fleet, fault);
    // Another fault replaces the endpoint of this place already.
    let Ok(mut slot) = fleet.places[place].try_lock() else {
        return Ok(());
    };
    let leaving = Arc::clone(&slot);
    leaving.claim(&fleet.store, true);
    note_leaving(fleet, &leaving);
    *slot = fleet.open_endpoint(place, true).await?;
    drop(slot);
    sleep(DRAIN + fault.length).await;
    leaving.standin.withdraw(&fleet.store);
    leaving.standin.stop();
    Ok(())
}

async fn crash_endpoint(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let place = place_of(fleet, fault);
    let Ok(mut slot) = fleet.places[place].try_lock() else {
        return Ok(());
    };
    let part = DisturbedPart::Endpoint(slot.standin.id.clone());
    let span = fleet.disturbances.begin(part, fault.kind);
    slot.standin.stop();
    sleep(LAPSE).await;
    slot.standin.withdraw(&fleet.store);
    note_leaving(fleet, &slot);
    sleep(fault.length).await;
    fleet.disturbances.end(span);
    *slot = fleet.open_endpoint(place, true).await?;
    Ok(())
}

fn note_leaving(fleet: &SoakFleet, endpoint: &SoakEndpoint) {
    let name = endpoint.standin.id.clone();
    fleet.facts().drains.push(LeavingFact { name, acked_at: Instant::now(), until: None });
}

/// The fault's target makes the steps between versions uneven.
fn write_next_version(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let newest = fleet.facts().versions.last().cloned();
    let newest = newest.ok_or_else(|| io::Error::other("no version was written before"))?;
    let service = if newest.service == FIRST_SERVICE { SECOND_SERVICE } else { FIRST_SERVICE };
    let step = 1 + u64::try_from(fault.target % 3).unwrap_or(0);
    fleet.write_version(newest.version + step, service);
    Ok(())
}

async fn evacuate(fleet: &SoakFleet, fault: PlannedFault) -> io::Result<()> {
    let (domain, _region) = DOMAINS[fault.target % DOMAINS.len()];
    let is_known = |facts: &[LeavingFact]| {
        facts.iter().any(|fact| fact.name == domain && fact.until.is_none())
    };
    if is_known(&fleet.facts().evacuations) {
        return Ok(());
    }
    fleet.store.put_spec(StoreObject::Evacuation(domain), "asked for by the soak".into());
    let fact = LeavingFact { name: domain.to_owned(), acked_at: Instant::now(), until: None };
    fleet.facts().evacuations.push(fact);
    sleep(fault.length).await;
    let mut facts = fleet.facts();
    for fact in facts.evacuations.iter_mut().filter(|fact| fact.name == domain) {
        fact.until.get_or_insert_with(Instant::now);
    }
    drop(facts);
    fleet.store.remove(StoreObject::Evacuation(domain));
    Ok(())
}
