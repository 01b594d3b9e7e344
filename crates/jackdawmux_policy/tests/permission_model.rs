//! Model of the permission to use keys: writes of the operator, direct reads, reads from a relay,
//! pauses, restarts and restores of the source, in any order, with replies that arrive at any time.
//!
//! No instance may hold a permission that counts from a moment at which a later configuration than
//! the one in force had been acknowledged: it might use a key that the later one withdraws.

use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::permission::{
    ConfigProof, PermissionTracker, ShownConfig, SourceRead, permitted_age,
};
use jackdawmux_policy::fleet::position::SourcePosition;
use proptest::prelude::*;

const REVOKE: Duration = Duration::from_secs(5);
/// Heartbeats of an instance reach the other at least this often.
const HEARTBEAT_INTERVAL: u64 = 1_100;
/// Difference between the clocks of two instances, in milliseconds.
const CLOCK_OFFSET: u64 = 1_000_000;

/// Era and version.
type Position = (u64, u64);
/// Offset in microseconds to the arrival of the request, and version.
type RelayedProof = (i64, u64);

/// What happens next. Instance 1 may read from instance 0, its relay.
#[derive(Clone, Copy, Debug)]
enum Step {
    Write,
    /// A direct read that is answered at once.
    Read(usize),
    /// A read of the relay that is answered at once.
    ReadRelay,
    StartRead(usize),
    /// The source composes its reply to the read that is under way.
    AnswerRead(usize),
    FinishRead(usize),
    StartRelayRead,
    AnswerRelayRead,
    FinishRelayRead,
    Heartbeat(usize),
    Restart(usize),
    Restore(usize),
    WriteAgain,
    /// Time passes; also stands for the pause of a process.
    Advance(u64),
}

#[derive(Clone, Copy, Debug)]
struct DirectRead {
    started: PolicyTime,
    /// Position from which changes are watched; none for a list.
    from: Option<Position>,
    reply: Option<Position>,
}

#[derive(Clone, Copy, Debug)]
struct RelayRead {
    sent: PolicyTime,
    /// Position of the relay's updates, and its proof.
    reply: Option<(Position, Option<RelayedProof>)>,
}

#[derive(Clone, Debug, Default)]
struct Instance {
    tracker: PermissionTracker,
    era: u64,
    /// Version in force; versions only rise.
    in_force: u64,
    /// Position after the latest read.
    position: Option<Position>,
    read: Option<DirectRead>,
    relay_read: Option<RelayRead>,
}

#[derive(Clone, Debug)]
struct World {
    /// Real time in milliseconds.
    now: u64,
    era: u64,
    /// Version that the source names.
    version: u64,
    /// Time of the acknowledgement of each version; the version is the index.
    acknowledged: Vec<u64>,
    heard_at: u64,
    instances: [Instance; 2],
}

impl World {
    fn new() -> Self {
        Self {
            now: 10_000,
            era: 0,
            version: 0,
            acknowledged: vec![0],
            heard_at: 10_000,
            instances: Default::default(),
        }
    }

    fn clock(&self, index: usize) -> PolicyTime {
        PolicyTime::from_millis(self.now + index as u64 * CLOCK_OFFSET)
    }

    fn latest(&self) -> u64 {
        self.acknowledged.len() as u64 - 1
    }

    fn apply(&mut self, step: Step) {
        match step {
            // The operator writes what was lost before anything new.
            Step::Write if self.version == self.latest() => {
                self.acknowledged.push(self.now);
                self.version = self.latest();
            }
            Step::Write | Step::WriteAgain => self.version = self.latest(),
            Step::Read(index) => {
                let steps = [Step::StartRead(index), Step::AnswerRead(index)];
                steps.into_iter().for_each(|step| self.apply(step));
                self.finish_read(index);
            }
            Step::ReadRelay => {
                self.apply(Step::StartRelayRead);
                self.answer_relay_read();
                self.finish_relay_read();
            }
            Step::StartRead(index) => {
                let started = self.clock(index);
                let instance = &mut self.instances[index];
                let read = DirectRead { started, from: instance.position, reply: None };
                instance.read.get_or_insert(read);
            }
            Step::AnswerRead(index) => {
                let reply = (self.era, self.version);
                if let Some(read) = &mut self.instances[index].read {
                    read.reply.get_or_insert(reply);
                }
            }
            Step::FinishRead(index) => self.finish_read(index),
            Step::StartRelayRead => {
                let sent = self.clock(1);
                self.instances[1].relay_read.get_or_insert(RelayRead { sent, reply: None });
            }
            Step::AnswerRelayRead => self.answer_relay_read(),
            Step::FinishRelayRead => self.finish_relay_read(),
            Step::Heartbeat(index) => {
                let version = self.instances[index].in_force;
                self.instances[1 - index].tracker.record_peer(version);
            }
            // A version that only the restarted process knew would be unknown to all.
            Step::Restart(index) if self.instances[1 - index].in_force == self.latest() => {
                self.instances[index] = Instance::default();
            }
            // Only a version that an instance has read can be known after its loss.
            Step::Restore(back) if self.is_latest_known() => {
                self.era += 1;
                self.version = self.version.saturating_sub(back as u64);
                self.heard_at = self.now;
            }
            Step::Restart(_) | Step::Restore(_) => {}
            Step::Advance(millis) => self.advance(millis),
        }
    }

    fn is_latest_known(&self) -> bool {
        self.instances.iter().any(|instance| instance.in_force == self.latest())
    }

    fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.now += 100;
            if self.now - self.heard_at >= HEARTBEAT_INTERVAL {
                self.heard_at = self.now;
                self.apply(Step::Heartbeat(0));
                self.apply(Step::Heartbeat(1));
            }
        }
    }

    fn finish_read(&mut self, index: usize) {
        let now = self.clock(index);
        let instance = &mut self.instances[index];
        let Some(DirectRead { started, from, reply: Some((era, version)) }) = instance.read.take()
        else {
            return;
        };
        if era < instance.era || from.is_some_and(|(from_era, _)| from_era != era) {
            instance.position = None;
            return;
        }
        instance.era = era;
        instance.position = Some((era, version));
        instance.in_force = instance.in_force.max(version);
        let shown = match from {
            Some((_, known)) if known == version => ShownConfig::Unchanged,
            _ => ShownConfig::Version(version),
        };
        instance.tracker.observe_position(now, SourcePosition { era, revision: 0 });
        let read = SourceRead { started, shown, may_be_old: false };
        instance.tracker.record_read(now, read, instance.in_force);
    }

    fn answer_relay_read(&mut self) {
        let arrived = self.clock(0);
        let relay = &self.instances[0];
        let proof = relay.tracker.proof().map(|proof| {
            let offset = proof.started.0.cast_signed() - arrived.0.cast_signed();
            (offset, proof.version)
        });
        let Some(position) = relay.position else {
            return;
        };
        if let Some(read) = &mut self.instances[1].relay_read {
            read.reply.get_or_insert((position, proof));
        }
    }

    fn finish_relay_read(&mut self) {
        let reader = &mut self.instances[1];
        let Some(RelayRead { sent, reply: Some(((era, version), proof)) }) =
            reader.relay_read.take()
        else {
            return;
        };
        // A reader of a later era gets an empty reply.
        if era >= reader.era {
            reader.era = era;
            reader.position = Some((era, version));
            reader.in_force = reader.in_force.max(version);
            reader.tracker.record_shown(ShownConfig::Version(version));
        }
        if let Some((offset, version)) = proof {
            let started = PolicyTime(sent.0.saturating_add_signed(offset));
            reader.tracker.record_proof(ConfigProof { started, version }, reader.in_force);
        }
    }

    /// Checks that no later version was acknowledged before the permission of an instance counts.
    fn check(&self) -> Result<(), String> {
        for (index, instance) in self.instances.iter().enumerate() {
            let age = instance.tracker.age(self.clock(index));
            let Some(age) = age.filter(|age| *age < permitted_age(REVOKE)) else {
                continue;
            };
            let proved_at = self.now - u64::try_from(age.as_millis()).expect("the age is short");
            let later = self.acknowledged.iter().enumerate().skip(1);
            for (version, at) in later.filter(|(version, _)| *version as u64 > instance.in_force) {
                if *at < proved_at {
                    return Err(format!(
                        "instance {index} has {} in force, proved at {proved_at}; \
                         {version} was acknowledged at {at}",
                        instance.in_force
                    ));
                }
            }
        }
        Ok(())
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Write),
        4 => (0_usize..2).prop_map(Step::Read),
        2 => Just(Step::ReadRelay),
        4 => (0_usize..2).prop_map(Step::StartRead),
        4 => (0_usize..2).prop_map(Step::AnswerRead),
        6 => (0_usize..2).prop_map(Step::FinishRead),
        2 => Just(Step::StartRelayRead),
        2 => Just(Step::AnswerRelayRead),
        3 => Just(Step::FinishRelayRead),
        1 => (0_usize..2).prop_map(Step::Heartbeat),
        1 => (0_usize..2).prop_map(Step::Restart),
        2 => (0_usize..3).prop_map(Step::Restore),
        1 => Just(Step::WriteAgain),
        5 => (1_u64..16).prop_map(|tenths| Step::Advance(tenths * 100)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    /// Guards against a permission that counts from the end of a read, from a relay's reply instead
    /// of the relay's own read, or from a read of a copy, and against one that a peer's later
    /// version refutes.
    #[test]
    fn no_permission_outlives_a_later_version(steps in prop::collection::vec(step(), 1..100)) {
        let mut world = World::new();
        for step in steps {
            world.apply(step);
            let checked = world.check();
            prop_assert!(checked.is_ok(), "{checked:?}");
        }
    }
}

/// Guards against a model in which nothing is ever permitted.
#[test]
fn direct_and_relayed_reads_give_permission() {
    let mut world = World::new();
    let steps = [Step::Write, Step::Read(0), Step::ReadRelay];
    steps.into_iter().for_each(|step| world.apply(step));
    for (index, instance) in world.instances.iter().enumerate() {
        assert_eq!(instance.tracker.age(world.clock(index)), Some(Duration::ZERO));
    }
    world.apply(Step::Advance(3_500));
    let age = world.instances[1].tracker.age(world.clock(1)).expect("it was permitted");
    assert!(age >= permitted_age(REVOKE));
}

/// A first list may come from a replica that lags behind, and an undecodable configuration may
/// withdraw keys: neither shows that the version in force is the newest.
#[test]
fn old_lists_and_undecodable_configurations_prove_nothing() {
    let now = PolicyTime::from_millis(1_000);
    let mut tracker = PermissionTracker::default();
    let list = SourceRead { started: now, shown: ShownConfig::Version(2), may_be_old: true };
    tracker.record_read(now, list, 2);
    assert_eq!(tracker.age(now), None);
    let watch = SourceRead { started: now, shown: ShownConfig::Unknown, may_be_old: false };
    tracker.record_read(now, watch, 2);
    tracker.record_read(now, SourceRead { shown: ShownConfig::Unchanged, ..watch }, 2);
    assert_eq!(tracker.age(now), None);
}
