//! Whether this instance may use the keys of teams, and how recent its configuration is.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::permission::{
    ConfigProof, PermissionTracker, SourceRead, permitted_age,
};
use jackdawmux_policy::fleet::record::{FleetBounds, TeamBounds};
use jackdawmux_runtime::BootClock;

use super::state::FrontState;
use crate::source::{ReadEvidence, SourcePosition, UpdateBatch, WatchTopic};

/// Longest wait of a watch of the configuration while the deployment has teams. Each answer renews
/// the permission, which must not lapse between two answers.
const CONFIG_WAIT: Duration = Duration::from_millis(800);
/// Longest wait of a watch of the instances while caps are enforced. Their holders need a
/// confirmation that is less than three seconds old, also behind a relay.
const INSTANCES_WAIT: Duration = Duration::from_secs(1);
/// Age from which on a relay's proof is no help to its readers, which then read the source.
const MAX_RELAY_PROOF_AGE: Duration = Duration::from_millis(2_500);

/// How an answered read was made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadFacts {
    /// When it began, on the boot clock.
    pub(crate) started: PolicyTime,
    /// When its reply was complete, on the boot clock.
    pub(crate) received: PolicyTime,
    /// Time before it in which the topic was not read.
    pub(crate) idle: Duration,
    /// Whether it read the full list.
    pub(crate) is_full_list: bool,
    /// Whether the source may have replied with old data.
    pub(crate) may_be_old: bool,
}

/// Reply whose updates are in force, without the updates.
#[derive(Clone, Copy, Debug)]
pub(super) struct AppliedReply {
    topic: WatchTopic,
    position: SourcePosition,
    evidence: ReadEvidence,
    read: SourceRead,
}

impl AppliedReply {
    pub(super) fn new(topic: WatchTopic, batch: &UpdateBatch, facts: ReadFacts) -> Self {
        let ReadFacts { started, is_full_list, may_be_old, .. } = facts;
        let shown = batch.shown_config(is_full_list);
        let read = SourceRead { started, shown, may_be_old };
        Self { topic, position: batch.position, evidence: batch.evidence, read }
    }
}

/// Evidence for the age of the configuration and of the list of instances.
#[derive(Debug)]
pub(crate) struct TeamPermission {
    clock: BootClock,
    /// Whether the configuration in force has teams. Kept here because the request path asks while
    /// it may hold the lock of the steering state.
    has_teams: AtomicBool,
    facts: Mutex<PermissionFacts>,
}

#[derive(Debug)]
struct PermissionFacts {
    bounds: Option<TeamBounds>,
    config_deadline: Duration,
    tracker: PermissionTracker,
    /// Start of the latest read that confirmed the list of instances.
    instances_read_at: Option<PolicyTime>,
    /// Whether keys could be used at the latest check, and since when.
    checked: (bool, PolicyTime),
}

impl PermissionFacts {
    fn may_use_keys(&self, now: PolicyTime) -> bool {
        let revoke = self.bounds.and_then(|bounds| bounds.revoke);
        revoke.is_none_or(|revoke| {
            self.tracker.age(now).is_some_and(|age| age < permitted_age(revoke))
        })
    }
}

impl TeamPermission {
    pub(super) fn new(bounds: &FleetBounds) -> Self {
        let clock = BootClock;
        let facts = PermissionFacts {
            bounds: bounds.teams,
            config_deadline: bounds.config_deadline,
            tracker: PermissionTracker::default(),
            instances_read_at: None,
            checked: (false, clock.now()),
        };
        Self { clock, has_teams: AtomicBool::new(false), facts: Mutex::new(facts) }
    }

    /// Time on the clock of all proofs, which also counts while the machine is suspended.
    pub(crate) fn now(&self) -> PolicyTime {
        self.clock.now()
    }

    pub(super) fn set_bounds(&self, bounds: &FleetBounds) {
        let mut facts = self.facts();
        facts.bounds = bounds.teams;
        facts.config_deadline = bounds.config_deadline;
    }

    /// Sets whether the configuration in force has teams.
    pub(super) fn set_has_teams(&self, has_teams: bool) {
        self.has_teams.store(has_teams, Ordering::Release);
    }

    /// Records the version of the configuration in force at a peer.
    pub(super) fn record_peer(&self, version: u64) {
        self.facts().tracker.record_peer(version);
    }

    /// Records a reply whose updates are in force. Returns whether it renewed a proof that readers of
    /// a relay wait for.
    pub(super) fn record_reply(&self, reply: AppliedReply, in_force: u64) -> bool {
        let now = self.now();
        let mut facts = self.facts();
        let has_bounds = facts.bounds.is_some();
        let AppliedReply { topic, position, evidence, read } = reply;
        facts.tracker.observe_position(now, position);
        match topic {
            WatchTopic::Config => {
                let before = facts.tracker.proof();
                match evidence {
                    ReadEvidence::Source | ReadEvidence::Undecoded => {
                        facts.tracker.record_read(now, read, in_force);
                    }
                    ReadEvidence::Relay(proof) => {
                        facts.tracker.record_shown(read.shown);
                        if let Some(proof) = proof {
                            facts.tracker.record_proof(proof, in_force);
                        }
                    }
                }
                has_bounds && facts.tracker.proof() != before
            }
            WatchTopic::Instances => {
                let before = facts.instances_read_at;
                let is_proof = !read.may_be_old && !facts.tracker.is_held(now);
                let started = match evidence {
                    ReadEvidence::Source | ReadEvidence::Undecoded => {
                        is_proof.then_some(read.started)
                    }
                    ReadEvidence::Relay(proof) => proof.map(|proof| proof.started),
                };
                facts.instances_read_at = before.max(started);
                has_bounds && facts.instances_read_at > before
            }
            WatchTopic::Endpoints | WatchTopic::Evacuations => false,
        }
    }

    /// Longest wait of a watch of a topic; none if there is no bound.
    pub(crate) fn max_wait(&self, topic: WatchTopic) -> Option<Duration> {
        let bounds = self.facts().bounds?;
        match topic {
            WatchTopic::Config => Some(CONFIG_WAIT),
            WatchTopic::Instances => bounds.has_caps.then_some(INSTANCES_WAIT),
            WatchTopic::Endpoints | WatchTopic::Evacuations => None,
        }
    }

    /// Start of the latest read that showed the state of a topic to be current, with the version of
    /// the configuration; zero for other topics.
    pub(crate) fn proof(&self, topic: WatchTopic) -> Option<ConfigProof> {
        let facts = self.facts();
        match topic {
            WatchTopic::Config => facts.tracker.proof(),
            WatchTopic::Instances => {
                facts.instances_read_at.map(|started| ConfigProof { started, version: 0 })
            }
            WatchTopic::Endpoints | WatchTopic::Evacuations => None,
        }
    }

    /// Whether a proof is recent enough for the readers of a relay.
    pub(crate) fn is_useful_proof(&self, proof: Option<ConfigProof>) -> bool {
        proof.is_some_and(|proof| self.now().since(proof.started) < MAX_RELAY_PROOF_AGE)
    }

    fn facts(&self) -> MutexGuard<'_, PermissionFacts> {
        self.facts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FrontState {
    /// Whether a request with a key may be sent to an endpoint. It may while no configuration that
    /// withdraws the key can have been acknowledged longer ago than the bound on withdrawals.
    #[must_use]
    pub fn may_use_team_keys(&self) -> bool {
        let permission = &self.permission;
        !permission.has_teams.load(Ordering::Acquire)
            || permission.facts().may_use_keys(permission.now())
    }

    /// Whether the configuration in force is recent enough to refuse a key that it does not contain.
    #[must_use]
    pub fn is_config_recent(&self) -> bool {
        let facts = self.permission.facts();
        let age = facts.tracker.age(self.permission.now());
        facts.bounds.is_none() || age.is_some_and(|age| age < facts.config_deadline)
    }

    /// Time since the start of the latest read that confirmed the list of instances; none before the
    /// first.
    #[must_use]
    pub fn instances_proof_age(&self) -> Option<Duration> {
        let read_at = self.permission.facts().instances_read_at;
        read_at.map(|read_at| self.permission.now().since(read_at))
    }

    /// Logs a change of the permission and updates its metric.
    pub(super) fn check_permission(&self) {
        let permission = &self.permission;
        let now = permission.now();
        let version = self.config_version();
        let mut facts = permission.facts();
        if facts.bounds.is_none_or(|bounds| bounds.revoke.is_none()) {
            return;
        }
        let age = facts.tracker.age(now);
        let may_use_keys = facts.may_use_keys(now);
        let (before, since) = facts.checked;
        if may_use_keys != before {
            facts.checked = (may_use_keys, now);
        }
        drop(facts);
        let Some(age) = age else {
            return;
        };
        self.metrics.set_permission_age(age);
        if before && !may_use_keys {
            log::warn!("event=permission-lapsed version={version} age_ms={}", age.as_millis());
        } else if may_use_keys && !before {
            let lapsed = now.since(since);
            log::info!(
                "event=permission-regained version={version} lapsed_ms={}",
                lapsed.as_millis()
            );
        }
    }
}
