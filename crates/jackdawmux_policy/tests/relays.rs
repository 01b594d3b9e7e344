//! Selection of relays, and the updates that a relay keeps for its readers.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::directory::InstanceDirectory;
use jackdawmux_policy::fleet::position::SourcePosition;
use jackdawmux_policy::fleet::record::InstanceRecord;
use jackdawmux_policy::fleet::relay::{
    KeptUpdates, ReadPath, RelayLog, RelaySuspicions, RelayTimes, RelayedChanges,
};
use proptest::prelude::*;
use rstest::rstest;

const DOMAINS: [&str; 3] = ["north-a", "north-b", "south-a"];

fn at(millis: u64) -> PolicyTime {
    PolicyTime::from_millis(millis)
}

fn record(index: u16) -> InstanceRecord {
    InstanceRecord {
        name: format!("front-{index:04}"),
        address: SocketAddr::from(([10, 0, 0, 1], index)),
        heartbeat_address: SocketAddr::from(([10, 0, 0, 2], index)),
        domain: DOMAINS[usize::from(index) % DOMAINS.len()].to_owned(),
        capacity_permille: if index.is_multiple_of(7) { 500 } else { 250 },
        incarnation: 1,
        cap_address: None,
    }
}

/// The directory of an instance that has heard the instances for which `is_heard` holds.
fn directory(own: u16, count: u16, is_heard: impl Fn(u16) -> bool) -> InstanceDirectory {
    let regions = DOMAINS.map(|domain| (domain.to_owned(), "north".to_owned()));
    let regions = Arc::new(BTreeMap::from(regions));
    let mut directory = InstanceDirectory::new(&record(own).name, regions);
    directory.replace((0..count).map(record).collect(), false);
    directory.set_serving(true);
    for other in (0..count).filter(|other| *other != own && is_heard(*other)) {
        directory.record_heartbeat(at(1_000), &record(other).name, true, true);
    }
    directory
}

fn path(directory: &InstanceDirectory) -> ReadPath {
    directory.read_path(at(1_100), &RelaySuspicions::default(), false)
}

/// Load pattern: all instances of a growing fleet read updates. A few of them read the source, and
/// the readers of one relay stay few.
#[rstest]
#[case::small(7, 7)]
#[case::hundred(118, 9)]
#[case::hundreds(300, 21)]
#[case::thousands(3_400, 216)]
fn few_instances_read_the_source(#[case] count: u16, #[case] max_direct: usize) {
    let mut direct = HashSet::new();
    let mut readers: HashMap<String, usize> = HashMap::new();
    for own in 0..count {
        match path(&directory(own, count, |_| true)) {
            ReadPath::Direct => {
                direct.insert(record(own).name);
            }
            ReadPath::Relay(relay) => {
                assert_eq!(relay.domain, record(own).domain);
                *readers.entry(relay.name).or_default() += 1;
            }
            ReadPath::Undecided => panic!("all instances were heard"),
        }
    }
    assert!(direct.len() <= max_direct, "{} direct readers", direct.len());
    assert!(readers.values().all(|count| *count <= 15), "{readers:?}");
    assert!(readers.keys().all(|relay| direct.contains(relay)), "a relay reads from a relay");
}

#[test]
fn the_readers_of_a_relay_that_ends_select_the_same_next_one() {
    let first = path(&directory(3, 30, |_| true));
    let ReadPath::Relay(relay) = first else { panic!("{first:?}") };
    let is_heard = |other: u16| record(other).name != relay.name;
    let mut next = HashSet::new();
    for own in (0..30).filter(|own| record(*own).domain == relay.domain && is_heard(*own)) {
        match path(&directory(own, 30, is_heard)) {
            ReadPath::Relay(relay) => next.insert(relay.name),
            ReadPath::Direct => next.insert(record(own).name),
            ReadPath::Undecided => panic!("the start is over"),
        };
    }
    assert_eq!(next.len(), 1, "{next:?}");
}

#[test]
fn a_relay_that_leaves_or_is_suspected_is_not_read() {
    let mut directory = directory(3, 30, |_| true);
    let ReadPath::Relay(relay) = path(&directory) else { panic!("no relay") };
    let mut suspicions = RelaySuspicions::default();
    suspicions.record(at(1_100), &relay.name);
    assert_ne!(directory.read_path(at(1_200), &suspicions, false), ReadPath::Relay(relay.clone()));
    directory.record_heartbeat(at(4_100), &relay.name, true, true);
    assert_eq!(directory.read_path(at(4_200), &suspicions, false), ReadPath::Relay(relay.clone()));
    directory.record_heartbeat(at(4_300), &relay.name, false, true);
    assert_ne!(directory.read_path(at(4_400), &suspicions, false), ReadPath::Relay(relay));
}

#[test]
fn a_relay_that_the_source_does_not_answer_is_not_read_unless_it_answers_nobody() {
    let mut directory = directory(3, 30, |_| true);
    let ReadPath::Relay(relay) = path(&directory) else { panic!("no relay") };
    directory.record_heartbeat(at(1_050), &relay.name, true, false);
    assert_ne!(path(&directory), ReadPath::Relay(relay.clone()));
    for other in (0..30).filter(|other| *other != 3) {
        directory.record_heartbeat(at(1_060), &record(other).name, true, false);
    }
    assert_eq!(path(&directory), ReadPath::Relay(relay));
}

#[test]
fn an_instance_that_starts_waits_until_it_has_heard_its_group() {
    let none = RelaySuspicions::default();
    let partly = directory(3, 30, |other| other < 15);
    assert_eq!(partly.read_path(at(1_100), &none, true), ReadPath::Undecided);
    assert_ne!(partly.read_path(at(1_100), &none, false), ReadPath::Undecided);
    let all = directory(3, 30, |_| true);
    assert_ne!(all.read_path(at(1_100), &none, true), ReadPath::Undecided);
}

#[test]
fn losing_a_relay_leaves_time_to_read_the_source() {
    let deadline = Duration::from_secs(2);
    let times = RelayTimes::new(deadline);
    // A relay loses the source just after a reply, and holds a read just before it notices.
    assert!(times.max_age + times.wait < deadline.mul_f64(0.7));
    // A relay stops responding while it delays the next call.
    assert!(times.batch_delay + times.reply_timeout < deadline.mul_f64(0.7));
    // A check of the source, with a slow reply, renews the age in time.
    assert!(times.check_interval * 2 < times.max_age);
}

/// Guards against an update that is hidden for longer than its deadline by the loss of the reply to a watch.
#[test]
fn a_lost_reply_leaves_time_to_read_the_source() {
    let deadline = Duration::from_secs(2);
    let times = RelayTimes::new(deadline);
    for idle_ms in [0, 300, 600, 1_200, 5_000] {
        let idle = Duration::from_millis(idle_ms);
        let overdue = times.wait_after(idle) + times.reply_margin;
        // The update was accepted just after the reply before.
        let is_in_time = idle + overdue <= deadline.mul_f64(0.8);
        assert!(is_in_time || overdue <= deadline.mul_f64(0.3), "{idle_ms}: {overdue:?}");
    }
    // A relay answers reads until its own overdue reply has led to a list.
    assert!(times.source_wait + times.reply_margin < times.max_topic_age);
    assert!(times.max_topic_age < deadline.mul_f64(0.9));
    // A reader that waits at a relay in vain reads the source.
    let relay = times.long_wait + times.relay_margin();
    assert!(relay + times.min_source_wait + times.reply_margin <= deadline);
}

/// Changes of one object each: its name and whether it exists.
type Change = (u8, bool);

fn kept(position: u64, changes: &[Change]) -> KeptUpdates<Change> {
    let position = SourcePosition::first_era(position);
    KeptUpdates { position, newest_revision: position.revision, updates: changes.to_vec() }
}

fn name(change: &Change) -> (String, bool) {
    (change.0.to_string(), change.1)
}

fn apply(state: &mut HashSet<u8>, changes: &[Change]) {
    for (object, exists) in changes {
        if *exists {
            state.insert(*object)
        } else {
            state.remove(object)
        };
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A reader that lists and watches in any rhythm has what the source has once it has caught up,
    /// also if the relay has dropped old updates or listed again.
    #[test]
    fn readers_have_what_the_relay_has(
        batches in prop::collection::vec(
            (prop::collection::vec(any::<Change>(), 1..300), any::<bool>(), any::<bool>()),
            1..40,
        ),
    ) {
        let mut truth = HashSet::new();
        let mut log = RelayLog::default();
        log.record_list(SourcePosition::first_era(0), 0, Vec::new());
        let mut reader: Option<(HashSet<u8>, SourcePosition)> = None;
        let mut position = 0;
        for (changes, is_read, is_listed) in batches {
            let from = SourcePosition::first_era(position);
            position += 10;
            apply(&mut truth, &changes);
            if is_listed {
                let objects = truth.iter().map(|object| (object.to_string(), (*object, true)));
                log.record_list(SourcePosition::first_era(position), position, objects.collect());
            } else {
                log.record_changes(from, kept(position, &changes), name);
            }
            if is_read {
                read(&log, &mut reader);
                let (state, at) = reader.as_ref().expect("the relay lists");
                prop_assert_eq!(at.revision, position);
                prop_assert_eq!(state, &truth);
            }
        }
    }
}

fn read(log: &RelayLog<Change>, reader: &mut Option<(HashSet<u8>, SourcePosition)>) {
    if let Some((state, position)) = reader {
        match log.changes_after(*position) {
            RelayedChanges::Unchanged => return,
            RelayedChanges::Updates(kept) => {
                apply(state, &kept.updates);
                *position = kept.position;
                return;
            }
            RelayedChanges::HistoryGone => {}
        }
    }
    let list = log.list().expect("the relay reads the source");
    let mut state = HashSet::new();
    apply(&mut state, &list.updates);
    *reader = Some((state, list.position));
}

#[test]
fn a_position_that_the_relay_does_not_cover_is_gone() {
    let mut log = RelayLog::default();
    log.record_changes(SourcePosition::first_era(20), kept(30, &[(1, true)]), name);
    assert_eq!(log.changes_after(SourcePosition::first_era(10)), RelayedChanges::HistoryGone);
    assert!(log.list().is_none(), "only a full list makes the objects known");
    let later_era = SourcePosition { era: 1, revision: 5 };
    assert_eq!(log.changes_after(later_era), RelayedChanges::Unchanged);
    log.record_list(later_era, 5, Vec::new());
    assert_eq!(log.changes_after(SourcePosition::first_era(30)), RelayedChanges::HistoryGone);
    // A gap in what the relay has read.
    let later = KeptUpdates { position: SourcePosition { era: 1, revision: 12 }, ..kept(12, &[]) };
    log.record_changes(SourcePosition { era: 1, revision: 9 }, later, name);
    assert_eq!(log.changes_after(later_era), RelayedChanges::HistoryGone);
}
