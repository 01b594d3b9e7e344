//! Exhaustive model of the way of facts: store, watches, version gate and drain, with news that is
//! late, lost or withheld, a history that is dropped, and one restart.
//!
//! The front's parts are the real ones: the cursor of each topic, and the steering that learns.

#[path = "support/explore.rs"]
mod explore;
#[path = "support/fleet_facts.rs"]
mod fleet_facts;

use std::time::Duration;

use explore::explore;
use fleet_facts::{SERVICE, config, endpoint, route, steering};
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::choice::EndpointQuery;
use jackdawmux_policy::fleet::record::EndpointPhase;
use jackdawmux_policy::fleet::steering::FleetSteering;
use jackdawmux_policy::fleet::watch_cursor::{CallOutcome, SourceCall, WatchCursor};

/// Changes that the operator and the endpoint make.
const WRITES: u8 = 3;
/// Calls whose answers are lost.
const LOSSES: u8 = 1;
/// Rounds of calls without faults within which the front knows everything.
const ROUNDS: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Topic {
    Config,
    Endpoints,
}

const TOPICS: [Topic; 2] = [Topic::Config, Topic::Endpoints];

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fact {
    Version(u64),
    Ready,
    Draining,
    Gone,
}

impl Fact {
    fn topic(self) -> Topic {
        match self {
            Self::Version(_) => Topic::Config,
            Self::Ready | Self::Draining | Self::Gone => Topic::Endpoints,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Answer {
    Facts { position: u64, facts: Vec<Fact> },
    HistoryGone,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    ask: SourceCall,
    answer: Answer,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Front {
    cursors: [WatchCursor; 2],
    pending: [Option<Pending>; 2],
    version: Option<u64>,
    endpoint: Fact,
    /// Position of the newest answer about endpoints that was learnt.
    informed_to: u64,
    /// Highest version that was in force in this incarnation.
    highest: Option<u64>,
}

impl Front {
    fn new() -> Self {
        Self {
            cursors: [WatchCursor::default(); 2],
            pending: [None, None],
            version: None,
            endpoint: Fact::Gone,
            informed_to: 0,
            highest: None,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    revision: u64,
    changes: Vec<(u64, Fact)>,
    kept_from: u64,
    is_mute: bool,
    writes: u8,
    losses: u8,
    has_muted: bool,
    has_restarted: bool,
    front: Front,
}

impl World {
    fn new() -> Self {
        Self {
            revision: 2,
            changes: vec![(1, Fact::Version(1)), (2, Fact::Ready)],
            kept_from: 0,
            is_mute: false,
            writes: WRITES,
            losses: LOSSES,
            has_muted: false,
            has_restarted: false,
            front: Front::new(),
        }
    }

    fn latest(&self, topic: Topic, until: u64) -> Option<Fact> {
        let known = self.changes.iter().filter(|(at, _)| *at <= until);
        known.map(|(_, fact)| *fact).rfind(|fact| fact.topic() == topic)
    }

    fn write(&self, fact: Fact) -> Self {
        let mut world = self.clone();
        world.revision += 1;
        world.changes.push((world.revision, fact));
        world.writes -= 1;
        world
    }

    fn writes(&self) -> Vec<Self> {
        if self.writes == 0 {
            return Vec::new();
        }
        let Some(Fact::Version(version)) = self.latest(Topic::Config, self.revision) else {
            unreachable!("the first version is there from the beginning");
        };
        let mut worlds = vec![self.write(Fact::Version(version + 1))];
        let following: &[Fact] = match self.latest(Topic::Endpoints, self.revision) {
            Some(Fact::Ready) => &[Fact::Draining, Fact::Gone],
            Some(Fact::Draining) => &[Fact::Gone],
            _ => &[Fact::Ready],
        };
        worlds.extend(following.iter().map(|fact| self.write(*fact)));
        worlds
    }

    fn answer(&self, topic: Topic, ask: SourceCall) -> Answer {
        let position = self.revision;
        match ask {
            SourceCall::List => {
                let listed = self.latest(topic, position).filter(|fact| *fact != Fact::Gone);
                Answer::Facts { position, facts: listed.into_iter().collect() }
            }
            SourceCall::Watch { position: seen } if seen < self.kept_from => Answer::HistoryGone,
            SourceCall::Watch { .. } if self.is_mute => {
                Answer::Facts { position, facts: Vec::new() }
            }
            SourceCall::Watch { position: seen } => {
                let newer = self.changes.iter().filter(|(at, _)| *at > seen);
                let facts = newer.map(|(_, fact)| *fact).filter(|fact| fact.topic() == topic);
                Answer::Facts { position, facts: facts.collect() }
            }
        }
    }

    fn begin(&self, topic: Topic) -> Self {
        let mut world = self.clone();
        let ask = world.front.cursors[topic as usize].next();
        let answer = world.answer(topic, ask);
        world.front.pending[topic as usize] = Some(Pending { ask, answer });
        world
    }

    fn lose(&self, topic: Topic) -> Self {
        let mut world = self.clone();
        if let Some(pending) = world.front.pending[topic as usize].take() {
            world.front.cursors[topic as usize].record(pending.ask, CallOutcome::Failed);
        }
        world
    }

    fn deliver(&self, topic: Topic) -> Self {
        let mut world = self.clone();
        let front = &mut world.front;
        let Some(Pending { ask, answer }) = front.pending[topic as usize].take() else {
            return world;
        };
        let cursor = &mut front.cursors[topic as usize];
        match answer {
            Answer::HistoryGone => cursor.record(ask, CallOutcome::HistoryGone),
            Answer::Facts { position, facts } => {
                let is_empty = facts.is_empty();
                cursor.record(ask, CallOutcome::Answered { position, is_empty });
                learn(front, topic, ask, &facts);
                if topic == Topic::Endpoints && (ask == SourceCall::List || !is_empty) {
                    front.informed_to = position;
                }
            }
        }
        world
    }

    fn following(&self) -> Vec<Self> {
        let mut worlds = self.writes();
        for topic in TOPICS {
            if self.front.pending[topic as usize].is_none() {
                worlds.push(self.begin(topic));
                continue;
            }
            worlds.push(self.deliver(topic));
            if self.losses > 0 {
                worlds.push(Self { losses: self.losses - 1, ..self.lose(topic) });
            }
        }
        if !self.has_muted {
            worlds.push(Self { is_mute: true, has_muted: true, ..self.clone() });
        }
        if self.is_mute {
            worlds.push(Self { is_mute: false, ..self.clone() });
            // The history is dropped, and watches that wait are cut.
            let dropped = Self { is_mute: false, kept_from: self.revision, ..self.clone() };
            worlds.push(TOPICS.iter().fold(dropped, |world, topic| world.lose(*topic)));
        }
        if !self.has_restarted {
            worlds.push(Self { has_restarted: true, front: Front::new(), ..self.clone() });
        }
        worlds
    }

    /// What must hold in every state.
    fn check(&self) {
        let front = &self.front;
        assert!(front.version >= front.highest, "an older version came into force: {self:?}");
        if front.informed_to > 0 {
            let told = self.latest(Topic::Endpoints, front.informed_to).unwrap_or(Fact::Gone);
            assert_eq!(front.endpoint, told, "not what was told: {self:?}");
        }
        let mut world = Self { is_mute: false, ..self.clone() };
        for _ in 0..ROUNDS {
            for topic in TOPICS {
                // A call that is still on its way ends first.
                world = world.deliver(topic).begin(topic).deliver(topic);
            }
        }
        let truth = |topic| world.latest(topic, world.revision);
        let version = world.front.version.map(Fact::Version);
        assert_eq!(version, truth(Topic::Config), "a version is missed for good: {self:?}");
        assert_eq!(
            Some(world.front.endpoint),
            truth(Topic::Endpoints),
            "an endpoint is wrong for good: {self:?}"
        );
    }
}

/// Lets the real steering learn, starting from what the front believes.
fn learn(front: &mut Front, topic: Topic, ask: SourceCall, facts: &[Fact]) {
    let now = PolicyTime::default() + Duration::from_secs(10);
    match topic {
        Topic::Config => {
            let mut steering = bare(front.version);
            for fact in facts {
                if let Fact::Version(version) = fact {
                    steering.apply_config(config(*version));
                }
            }
            front.version = steering.table().map(|table| table.version());
            front.highest = front.highest.max(front.version);
        }
        Topic::Endpoints => {
            let mut steering = bare(Some(1));
            apply(&mut steering, now, front.endpoint);
            if ask == SourceCall::List {
                let records = facts.iter().filter_map(|fact| record(*fact)).collect();
                steering.replace_endpoints(now, records);
            } else {
                for fact in facts {
                    apply(&mut steering, now, *fact);
                }
            }
            front.endpoint = read_back(&mut steering, now);
        }
    }
}

fn bare(version: Option<u64>) -> FleetSteering {
    let names = ["front-0".to_owned()];
    let mut steering = steering("front-0", "a", &names, 0);
    // The facts of the tests begin with version 1.
    if let Some(version) = version {
        steering.apply_config(config(version));
    }
    steering
}

fn record(fact: Fact) -> Option<jackdawmux_policy::fleet::record::EndpointRecord> {
    let phase = match fact {
        Fact::Ready => EndpointPhase::Ready,
        Fact::Draining => EndpointPhase::Draining,
        Fact::Gone | Fact::Version(_) => return None,
    };
    Some(jackdawmux_policy::fleet::record::EndpointRecord { phase, ..endpoint(0) })
}

fn apply(steering: &mut FleetSteering, now: PolicyTime, fact: Fact) {
    match record(fact) {
        Some(record) => {
            steering.apply_endpoint(now, record);
        }
        None => {
            steering.remove_endpoint(now, &endpoint(0).id);
        }
    }
}

/// Usable, known but not usable, or not known.
fn read_back(steering: &mut FleetSteering, now: PolicyTime) -> Fact {
    let route = route();
    let ask = EndpointQuery {
        service: SERVICE,
        route: &route,
        object: 1,
        attempted: &[],
        is_retry: false,
    };
    let is_usable = steering.choose(now, &ask).is_ok();
    match (is_usable, steering.endpoint_count()) {
        (true, _) => Fact::Ready,
        (false, 0) => Fact::Gone,
        (false, _) => Fact::Draining,
    }
}

#[test]
fn facts_are_neither_reverted_nor_missed() {
    let states = explore(World::new(), World::following, World::check);
    assert!(states > 100_000, "{states} states");
    println!("{states} states");
}
