//! Age of the evidence that the configuration in force is the newest.
//!
//! A configuration withdraws a key by no longer containing it. An instance that cannot show that no
//! later configuration exists must not use keys. Permission works like a lease: each read of the
//! source that shows the version in force to be the newest renews it, and its age counts from the
//! start of that read.
//!
//! All times are of a clock that also counts while the machine is suspended.

use std::time::Duration;

use super::position::SourcePosition;
use crate::clock::PolicyTime;

/// Time before the end of the withdrawal bound at which permission ends. A watch of the source may
/// learn of a change up to a second late; the rest is for requests on their way.
const REVOKE_MARGIN: Duration = Duration::from_millis(1_500);

/// Time after the first reply of a new era in which replies of the source prove nothing. The copy
/// may lack a version that peers have applied; they state it in heartbeats, at least once a second.
const RESTORE_HOLD: Duration = Duration::from_millis(1_200);

/// Returns the age from which on keys must not be used, for a bound on their withdrawal.
#[must_use]
pub const fn permitted_age(revoke: Duration) -> Duration {
    revoke.saturating_sub(REVOKE_MARGIN)
}

/// States that no configuration after `version` was acknowledged before `started`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConfigProof {
    /// When the read began.
    pub started: PolicyTime,
    /// Version that the read showed to be the newest.
    pub version: u64,
}

/// Configuration that an answered read of the source shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShownConfig {
    /// The same as the read before, from whose position this one continued.
    Unchanged,
    /// This version.
    Version(u64),
    /// None that could be decoded.
    Unknown,
}

/// An answered read of the source whose updates are in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceRead {
    /// When the read began.
    pub started: PolicyTime,
    /// The configuration that it shows.
    pub shown: ShownConfig,
    /// Whether the data of the reply may be older than the read.
    pub may_be_old: bool,
}

/// Latest evidence, of direct reads and of relays, that the configuration in force is the newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct PermissionTracker {
    /// Evidence that renewed the permission last.
    proof: Option<ConfigProof>,
    /// Version that the latest read of the source showed.
    shown: Option<u64>,
    /// Latest version that a peer has stated.
    stated: u64,
    era: u64,
    /// End of the time after a restore in which replies of the source prove nothing.
    held_until: PolicyTime,
}

impl PermissionTracker {
    /// Records the position of a reply, before the reply itself is recorded. A process that starts
    /// in a later era than the first treats it as new, because the restore may have just happened.
    pub fn observe_position(&mut self, now: PolicyTime, position: SourcePosition) {
        if position.era > self.era {
            self.era = position.era;
            self.held_until = now + RESTORE_HOLD;
        }
    }

    /// Returns whether replies of the source prove nothing, because it was restored just now.
    #[must_use]
    pub fn is_held(&self, now: PolicyTime) -> bool {
        now < self.held_until
    }

    /// Records a version that a peer has in force. Until this instance has it too, no read proves
    /// anything.
    pub fn record_peer(&mut self, version: u64) {
        self.stated = self.stated.max(version);
    }

    /// Records an answered read of the source. `in_force` is the version in force after its updates.
    ///
    /// A source that shows an older version than the one in force has lost at least that one, and
    /// perhaps later ones, in a restore. It proves nothing until they are written again.
    pub fn record_read(&mut self, now: PolicyTime, read: SourceRead, in_force: u64) {
        self.record_shown(read.shown);
        if read.may_be_old || self.is_held(now) || self.shown != Some(in_force) {
            return;
        }
        self.record_proof(ConfigProof { started: read.started, version: in_force }, in_force);
    }

    /// Records the configuration that a reply shows, from whose position a later read of the source
    /// may continue.
    pub fn record_shown(&mut self, shown: ShownConfig) {
        match shown {
            ShownConfig::Unchanged => {}
            ShownConfig::Version(version) => self.shown = Some(version),
            ShownConfig::Unknown => self.shown = None,
        }
    }

    /// Records a proof, in terms of the own clock.
    pub fn record_proof(&mut self, proof: ConfigProof, in_force: u64) {
        self.record_peer(proof.version);
        let is_later = self.proof.is_none_or(|known| proof.started > known.started);
        if in_force >= self.stated && is_later {
            self.proof = Some(proof);
        }
    }

    /// Latest evidence that the version in force is the newest.
    #[must_use]
    pub const fn proof(&self) -> Option<ConfigProof> {
        self.proof
    }

    /// Returns the age of the permission; none before the first read that gave one.
    #[must_use]
    pub fn age(&self, now: PolicyTime) -> Option<Duration> {
        self.proof.map(|proof| now.since(proof.started))
    }
}
