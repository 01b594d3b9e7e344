//! Exhaustive model of a restore of the update source: changes by the operator and an endpoint, one
//! restore from any earlier copy, lost replies, one restart of the endpoint, and objects that are
//! written again in any order.
//!
//! The front is modelled with its real parts: a watch cursor and the steering.

#[path = "support/fleet_fixtures.rs"]
mod fleet_fixtures;

use std::collections::HashSet;
use std::time::Duration;

use fleet_fixtures::{SERVICE, config, endpoint, route, steering};
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::choice::EndpointQuery;
use jackdawmux_policy::fleet::position::{SourcePosition, WatchTopic};
use jackdawmux_policy::fleet::record::{EndpointPhase, EndpointRecord};
use jackdawmux_policy::fleet::steering::FleetSteering;
use jackdawmux_policy::fleet::watch_cursor::{CallOutcome, ReplyUse, SourceCall, WatchCursor};

/// Number of changes of the endpoint before and after the restore.
const WRITES: u8 = 4;
/// Number of calls whose replies are lost.
const LOSSES: u8 = 1;

/// The endpoint's registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Registration {
    Ready(u64),
    Draining(u64),
    /// No registration; holds the start of the incarnation that was removed.
    Removed(u64),
}

/// Registrations by revision; the revision is the index.
type History = Vec<Registration>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    call: SourceCall,
    position: SourcePosition,
    /// Registrations with the revisions at which they were written.
    updates: Vec<(Registration, u64)>,
    is_gone: bool,
}

/// Everything that the world's future depends on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Outline {
    era: u64,
    history: History,
    /// What the endpoint would write again.
    truth: Registration,
    /// Start of the latest incarnation; starts are never given out again.
    latest_start: u64,
    is_truth_written: bool,
    writes: u8,
    losses: u8,
    has_restored: bool,
    cursor: WatchCursor,
    pending: Option<Pending>,
    /// Latest start that the front knows to be leaving or removed.
    ended_start: u64,
    is_usable: bool,
    is_present: bool,
    has_restore_floor: Option<u64>,
}

#[derive(Clone, Debug)]
struct World {
    outline: Outline,
    front: FleetSteering,
}

fn now() -> PolicyTime {
    PolicyTime::default() + Duration::from_secs(60)
}

fn record(registration: Registration) -> Option<EndpointRecord> {
    let (phase, started_ms) = match registration {
        Registration::Ready(start) => (EndpointPhase::Ready, start),
        Registration::Draining(start) => (EndpointPhase::Draining, start),
        Registration::Removed(_) => return None,
    };
    Some(EndpointRecord { phase, started_ms, ..endpoint(0) })
}

impl World {
    fn new() -> Self {
        let outline = Outline {
            era: 0,
            history: vec![Registration::Removed(0), Registration::Ready(1)],
            truth: Registration::Ready(1),
            latest_start: 1,
            is_truth_written: true,
            writes: WRITES,
            losses: LOSSES,
            has_restored: false,
            cursor: WatchCursor::default(),
            pending: None,
            ended_start: 0,
            is_usable: false,
            is_present: false,
            has_restore_floor: None,
        };
        let mut front = steering("front-0", "a", &["front-0".to_owned()], 0);
        front.apply_config(config(2));
        Self { outline, front }
    }

    fn revision(&self) -> u64 {
        u64::try_from(self.outline.history.len()).expect("the history is short") - 1
    }

    fn write(&self, registration: Registration) -> Self {
        let mut world = self.clone();
        world.outline.history.push(registration);
        world.outline.truth = registration;
        if let Registration::Ready(start) = registration {
            world.outline.latest_start = start;
        }
        world.outline.is_truth_written = true;
        world.outline.writes -= 1;
        world
    }

    fn writes(&self) -> Vec<Self> {
        let mut worlds = Vec::new();
        if !self.outline.is_truth_written {
            // The endpoint writes its registration again, or the store drops one that has ended.
            let mut world = self.clone();
            world.outline.history.push(self.outline.truth);
            world.outline.is_truth_written = true;
            worlds.push(world);
        }
        if self.outline.writes == 0 {
            return worlds;
        }
        let next = self.outline.latest_start + 1;
        let following: Vec<Registration> = match self.outline.truth {
            Registration::Ready(start) => vec![
                Registration::Draining(start),
                Registration::Removed(start),
                Registration::Ready(next),
            ],
            Registration::Draining(start) => vec![Registration::Removed(start)],
            Registration::Removed(_) => vec![Registration::Ready(next)],
        };
        worlds.extend(following.into_iter().map(|registration| self.write(registration)));
        worlds
    }

    fn restores(&self) -> Vec<Self> {
        if self.outline.has_restored {
            return Vec::new();
        }
        (1..self.outline.history.len())
            .map(|kept| {
                let mut world = self.clone();
                let outline = &mut world.outline;
                outline.history.truncate(kept + 1);
                outline.era += 1;
                outline.has_restored = true;
                outline.is_truth_written = outline.history.last() == Some(&outline.truth);
                world
            })
            .collect()
    }

    fn begin(&self) -> Self {
        let mut world = self.clone();
        let call = self.outline.cursor.next();
        let position = SourcePosition { era: self.outline.era, revision: self.revision() };
        let latest = *self.outline.history.last().expect("the history is not empty");
        let (updates, is_gone) = match call {
            SourceCall::List { .. } => (vec![(latest, self.revision())], false),
            SourceCall::Watch { position: from } if from.revision > self.revision() => {
                (Vec::new(), true)
            }
            SourceCall::Watch { position: from } => {
                let revisions = from.revision + 1..=self.revision();
                let newer = revisions.map(|revision| {
                    let index = usize::try_from(revision).expect("the revision is small");
                    (self.outline.history[index], revision)
                });
                (newer.collect(), false)
            }
        };
        world.outline.pending = Some(Pending { call, position, updates, is_gone });
        world
    }

    fn deliver(&self) -> Self {
        let mut world = self.clone();
        let Some(Pending { call, position, updates, is_gone }) = world.outline.pending.take()
        else {
            return world;
        };
        let is_empty = updates.is_empty();
        let outcome = if is_gone {
            CallOutcome::HistoryGone
        } else {
            CallOutcome::Answered { position, is_empty }
        };
        if world.outline.cursor.record(call, outcome) == ReplyUse::Apply {
            world.apply(call, position, &updates);
        }
        world.observe();
        world
    }

    fn apply(
        &mut self,
        call: SourceCall,
        position: SourcePosition,
        updates: &[(Registration, u64)],
    ) {
        let topic = WatchTopic::Endpoints;
        if !self.front.record_position(now(), topic, position) {
            return;
        }
        if position.era > 0 {
            self.outline.has_restore_floor.get_or_insert(position.revision);
        }
        let written_at = |revision| SourcePosition { era: position.era, revision };
        if matches!(call, SourceCall::List { .. }) {
            let records = updates.iter().filter_map(|(registration, revision)| {
                Some((record(*registration)?, written_at(*revision)))
            });
            self.front.replace_endpoints(now(), records.collect());
        }
        for (registration, revision) in updates {
            self.note(*registration, position.era);
            if matches!(call, SourceCall::List { .. }) {
                continue;
            }
            match record(*registration) {
                Some(record) => {
                    self.front.apply_written_endpoint(now(), record, written_at(*revision));
                }
                None => {
                    self.front.remove_endpoint(now(), &endpoint(0).id);
                }
            }
        }
    }

    /// Notes what the front has learnt to be leaving or removed in the first era.
    fn note(&mut self, registration: Registration, era: u64) {
        if era > 0 {
            return;
        }
        let ended = match registration {
            Registration::Ready(start) => start - 1,
            Registration::Draining(start) | Registration::Removed(start) => start,
        };
        self.outline.ended_start = self.outline.ended_start.max(ended);
    }

    fn observe(&mut self) {
        let route = route();
        let query = EndpointQuery {
            service: SERVICE,
            route: &route,
            team: None,
            object: 1,
            attempted: &[],
            is_retry: false,
            connected: None,
            deadline: None,
        };
        // The copy keeps counts of requests out of the modelled front.
        self.outline.is_usable = self.front.clone().choose(now(), &query).is_ok();
        self.outline.is_present = self.front.endpoint_count() > 0;
    }

    fn lose(&self) -> Self {
        let mut world = self.clone();
        if let Some(pending) = world.outline.pending.take() {
            let lost = world.outline.cursor.record(pending.call, CallOutcome::Failed);
            assert_eq!(lost, ReplyUse::Discard);
        }
        world.outline.losses -= 1;
        world
    }

    fn following(&self) -> Vec<Self> {
        let mut worlds = self.writes();
        worlds.extend(self.restores());
        if self.outline.pending.is_none() {
            worlds.push(self.begin());
            return worlds;
        }
        worlds.push(self.deliver());
        if self.outline.losses > 0 {
            worlds.push(self.lose());
        }
        worlds
    }

    /// The start of the incarnation that the front would send requests to.
    fn used_start(&self) -> Option<u64> {
        self.outline.is_usable.then(|| self.front.endpoint_started_ms(&endpoint(0).id))?
    }

    fn check(&self) {
        let outline = &self.outline;
        if let Some(start) = self.used_start() {
            assert!(
                start > outline.ended_start,
                "an incarnation that had left is used again: {outline:?}"
            );
        }
        // Once the endpoint has written its registration again, the front converges to it.
        let mut world = self.clone();
        world.outline.pending = None;
        if !outline.is_truth_written {
            world.outline.history.push(outline.truth);
        }
        for _ in 0..3 {
            world = world.begin().deliver();
        }
        let is_ready = matches!(outline.truth, Registration::Ready(_));
        assert!(
            world.outline.is_usable || !is_ready,
            "an endpoint that is ready is not used: {outline:?}"
        );
    }
}

fn explore() -> usize {
    let mut visited = HashSet::new();
    let mut pending = vec![World::new()];
    visited.insert(pending[0].outline.clone());
    while let Some(world) = pending.pop() {
        world.check();
        for following in world.following() {
            if visited.insert(following.outline.clone()) {
                pending.push(following);
            }
        }
    }
    visited.len()
}

#[test]
fn a_restore_brings_back_nothing_that_left_and_loses_nothing_that_is_ready() {
    let states = explore();
    assert!(states > 5_000, "{states} states");
    println!("{states} states");
}
