//! Plans of faults, drawn from a seed.

use std::time::Duration;

use jackdawmux_platform_standins::endpoint::Behaviour;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use strum::{Display, EnumIter, IntoEnumIterator};

/// Mean time between the starts of faults.
const FAULT_GAP: Duration = Duration::from_millis(900);
/// Shortest and longest time for which a fault lasts, in milliseconds.
const FAULT_MILLIS: (u64, u64) = (200, 4_000);

/// Harm to the connections of one link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum LinkHarm {
    /// Bytes take longer each way.
    Delayed,
    /// Open connections are reset, and so are new ones.
    Reset,
    /// Nothing passes from the side that connects.
    CutForward,
    /// Nothing passes towards it.
    CutBackward,
    /// Nothing passes.
    Silenced,
    /// Open connections are silent for good; new ones work.
    Forgotten,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// A front is killed, and started again at the end.
    FrontKilled,
    /// A front is asked to stop, and started again once it has ended.
    FrontStopped,
    /// A front is frozen.
    FrontFrozen,
    /// A front is told that its settings may have changed.
    FrontReloaded,
    /// The link between callers and a front.
    CallerLink,
    /// The link between a front and the store.
    StoreLink,
    /// The link to an endpoint.
    EndpointLink,
    /// The store refuses every call.
    StoreDown,
    /// The store drops its history.
    HistoryDropped,
    /// An endpoint misbehaves.
    EndpointFails,
    /// An endpoint leaves as announced; another one comes, cold.
    EndpointDrained,
    /// An endpoint ends without notice; another one comes, cold.
    EndpointCrashed,
    /// The operator writes a version that moves routes to another service.
    VersionWritten,
    /// The operator asks for a failure domain to be left alone.
    DomainEvacuated,
    /// The soak did not run for a moment; no plan has it.
    SoakStalled,
}

/// One fault of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Time from the start of traffic.
    pub at: Duration,
    /// How long it lasts.
    pub length: Duration,
    /// Kind.
    pub kind: FaultKind,
    /// Front, endpoint or failure domain that it concerns, modulo their number.
    pub target: usize,
    /// Harm, for links.
    pub harm: LinkHarm,
    /// Behaviour, for endpoints that misbehave.
    pub behaviour: Behaviour,
}

/// Shortest and longest time of an evacuation, in milliseconds: beyond the bound within which
/// fronts leave a domain alone.
const EVACUATION_MILLIS: (u64, u64) = (5_500, 8_000);

/// Behaviours of an endpoint that misbehaves.
const FAILING: [Behaviour; 7] = [
    Behaviour::Shed,
    Behaviour::Lose,
    Behaviour::Truncate,
    Behaviour::Extra,
    Behaviour::Unsigned,
    Behaviour::Fail,
    Behaviour::Slow,
];

/// Draws the faults of a run whose last fault ends before `length`.
pub fn draw_plan(random: &mut impl Rng, length: Duration) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut at = FAULT_GAP;
    while at < length {
        let fault = draw_fault(random, at, length);
        faults.push(fault);
        at += FAULT_GAP.mul_f64(random.random_range(0.0..2.0));
    }
    faults
}

fn draw_fault(random: &mut impl Rng, at: Duration, end: Duration) -> PlannedFault {
    let kinds: Vec<FaultKind> =
        FaultKind::iter().filter(|kind| *kind != FaultKind::SoakStalled).collect();
    let kind = *kinds.choose(random).expect("there are kinds");
    let is_evacuation = kind == FaultKind::DomainEvacuated;
    let (shortest, longest) = if is_evacuation { EVACUATION_MILLIS } else { FAULT_MILLIS };
    let length = Duration::from_millis(random.random_range(shortest..longest));
    let harms: Vec<LinkHarm> = LinkHarm::iter().filter(|harm| fits(kind, *harm)).collect();
    PlannedFault {
        at,
        length: length.min(end - at),
        kind,
        target: random.random_range(0..1_000),
        harm: *harms.choose(random).expect("there are harms"),
        behaviour: *FAILING.choose(random).expect("there are behaviours"),
    }
}

/// A proxy in user space cannot keep the kernel from answering keep-alive probes, which is how a
/// watch notices that its connection was forgotten; so the store's links are not forgotten here.
fn fits(kind: FaultKind, harm: LinkHarm) -> bool {
    kind != FaultKind::StoreLink || harm != LinkHarm::Forgotten
}
