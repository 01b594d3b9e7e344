//! Fault plans, generated from a seed.

use std::time::Duration;

use jackdawmux_platform_standins::endpoint::Behaviour;
use jackdawmux_platform_standins::partition::PartitionKind;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use strum::{Display, EnumIter, IntoEnumIterator};

/// Mean interval between the starts of two consecutive faults.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(900);
/// Range from which the duration of a fault is drawn, in milliseconds; the end is exclusive.
const FAULT_DURATION_RANGE_MS: (u64, u64) = (200, 4_000);

/// Fault injected into the connections of one link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum LinkFault {
    /// Data is delayed in both directions.
    Delayed,
    /// Open and new connections are reset.
    Reset,
    /// No data passes from the connecting side to the target.
    CutForward,
    /// No data passes from the target to the connecting side.
    CutBackward,
    /// No data passes in either direction.
    Silenced,
    /// Connections opened before the fault pass no data from then on, not even after it ends; new
    /// ones work.
    Forgotten,
}

/// Kind of an injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// A front gets SIGKILL and is restarted at the end of the fault.
    FrontKilled,
    /// A front gets SIGTERM and is restarted after it has exited.
    FrontStopped,
    /// A front is suspended with SIGSTOP and resumed at the end of the fault.
    FrontFrozen,
    /// The settings file of a front is changed and the front gets SIGHUP.
    FrontReloaded,
    /// Link fault between the callers and a front.
    CallerLink,
    /// Link fault between a front and the store.
    StoreLink,
    /// Link fault between the fronts and an endpoint.
    EndpointLink,
    /// Some fronts are partitioned from all endpoints; everything else reaches them. Planned by
    /// [`generate_partitions`] only.
    FrontPartitioned,
    /// The store refuses every call.
    StoreDown,
    /// The store drops its watch history.
    HistoryDropped,
    /// The store comes back from a copy as old as the fault is long. Planned by
    /// [`generate_restores`] only.
    StoreRestored,
    /// An endpoint shows one of the failure behaviours.
    EndpointFails,
    /// An endpoint drains and stops; a cold one replaces it.
    EndpointDrained,
    /// An endpoint stops without draining; a cold one replaces it.
    EndpointCrashed,
    /// The operator writes a configuration version that moves routes to another service.
    VersionWritten,
    /// The operator evacuates a failure domain.
    DomainEvacuated,
    /// The soak process itself was not scheduled for a while. Detected at run time, never planned.
    SoakStalled,
}

/// One fault of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Start of the fault, as the time since traffic began.
    pub start_offset: Duration,
    /// Duration of the fault.
    pub duration: Duration,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Index of the affected front, endpoint or failure domain, modulo their number.
    pub target: usize,
    /// Link fault; used by the link kinds only.
    pub link_fault: LinkFault,
    /// Kind of partition and number of partitioned fronts; used by [`FaultKind::FrontPartitioned`]
    /// only.
    pub partition: (PartitionKind, usize),
    /// Endpoint behaviour; used by [`FaultKind::EndpointFails`] only.
    pub behaviour: Behaviour,
}

/// Range from which the duration of an evacuation is drawn, in milliseconds; the end is exclusive.
/// It exceeds the time within which fronts must stop sending to an evacuated domain.
const EVACUATION_DURATION_RANGE_MS: (u64, u64) = (5_500, 8_000);

/// Endpoint behaviours that [`FaultKind::EndpointFails`] chooses from.
const FAILURE_BEHAVIOURS: [Behaviour; 7] = [
    Behaviour::Shed,
    Behaviour::Lose,
    Behaviour::Truncate,
    Behaviour::Extra,
    Behaviour::Unsigned,
    Behaviour::Fail,
    Behaviour::Slow,
];

/// Kinds of partition that [`FaultKind::FrontPartitioned`] chooses from.
const PARTITION_KINDS: [PartitionKind; 3] =
    [PartitionKind::Hang, PartitionKind::Reset, PartitionKind::RefuseNew];

/// Generates the faults of a run. The last one ends no later than `duration`.
pub fn generate_plan(rng: &mut impl Rng, duration: Duration) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut start_offset = MEAN_FAULT_INTERVAL;
    while start_offset < duration {
        let fault = generate_fault(rng, start_offset, duration);
        faults.push(fault);
        start_offset += MEAN_FAULT_INTERVAL.mul_f64(rng.random_range(0.0..2.0));
    }
    faults
}

/// Generates restores of the store, in addition to the faults of [`generate_plan`], whose draws they
/// do not change. Two may follow each other closely.
pub fn generate_restores(
    rng: &mut impl Rng,
    duration: Duration,
    count: usize,
) -> Vec<PlannedFault> {
    let latest = duration.mul_f64(0.8);
    (0..count)
        .map(|_| {
            let start_offset = latest.mul_f64(rng.random_range(0.05..1.0));
            let kind = FaultKind::StoreRestored;
            PlannedFault { kind, ..generate_fault(rng, start_offset, duration) }
        })
        .collect()
}

/// Generates partitions of fronts from all endpoints, in addition to the other faults, whose draws
/// they do not change. One in three affects most fronts, and one in six all.
pub fn generate_partitions(
    rng: &mut impl Rng,
    duration: Duration,
    count: usize,
    fronts: usize,
) -> Vec<PlannedFault> {
    let latest = duration.mul_f64(0.7);
    (0..count)
        .map(|_| {
            let start_offset = latest.mul_f64(rng.random_range(0.05..1.0));
            let partitioned = match rng.random_range(0..6) {
                0 => fronts,
                1 | 2 => fronts.saturating_sub(1).max(1),
                _ => 1,
            };
            let kind = *PARTITION_KINDS.choose(rng).expect("there are kinds");
            let duration = Duration::from_millis(rng.random_range(2_000..9_000));
            PlannedFault {
                kind: FaultKind::FrontPartitioned,
                duration,
                partition: (kind, partitioned),
                ..generate_fault(rng, start_offset, start_offset + duration)
            }
        })
        .collect()
}

fn generate_fault(rng: &mut impl Rng, start_offset: Duration, end: Duration) -> PlannedFault {
    let is_drawn = |kind: &FaultKind| {
        !matches!(
            kind,
            FaultKind::SoakStalled | FaultKind::StoreRestored | FaultKind::FrontPartitioned
        )
    };
    let kinds: Vec<FaultKind> = FaultKind::iter().filter(is_drawn).collect();
    let kind = *kinds.choose(rng).expect("there are kinds");
    let is_evacuation = kind == FaultKind::DomainEvacuated;
    let (min_ms, max_ms) =
        if is_evacuation { EVACUATION_DURATION_RANGE_MS } else { FAULT_DURATION_RANGE_MS };
    let duration = Duration::from_millis(rng.random_range(min_ms..max_ms));
    let link_faults: Vec<LinkFault> =
        LinkFault::iter().filter(|link_fault| is_supported(kind, *link_fault)).collect();
    PlannedFault {
        start_offset,
        duration: duration.min(end - start_offset),
        kind,
        target: rng.random_range(0..1_000),
        partition: (PartitionKind::Hang, 1),
        link_fault: *link_faults.choose(rng).expect("there are link faults"),
        behaviour: *FAILURE_BEHAVIOURS.choose(rng).expect("there are behaviours"),
    }
}

/// Whether a fault kind can be combined with a link fault. Store links exclude
/// [`LinkFault::Forgotten`]: a watch detects a lost connection by TCP keepalive, and a proxy in
/// user space cannot keep the kernel from answering the probes.
fn is_supported(kind: FaultKind, link_fault: LinkFault) -> bool {
    kind != FaultKind::StoreLink || link_fault != LinkFault::Forgotten
}
