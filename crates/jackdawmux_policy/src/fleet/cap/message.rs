//! Messages between an instance and the holders of caps.

use std::time::Duration;

use crate::identity::stable_hash;

/// Maximum number of teams in one message, so that it and its answer fit a datagram of 1,200 bytes.
pub const MAX_TEAMS_PER_ASK: usize = 48;

/// Identifies a team by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TeamId(pub u64);

impl TeamId {
    /// Returns the identifier of a team.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(stable_hash(name.as_bytes()))
    }
}

/// Identifies an instance by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(pub u64);

impl HolderId {
    /// Returns the identifier of an instance.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(stable_hash(name.as_bytes()))
    }
}

/// Tokens that are asked for one team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamAsk(pub TeamId, pub u32);

/// Asks a holder for tokens of some teams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapAsk {
    /// Random number of the asking process.
    pub asker: u64,
    /// Number of the message, unique in the process.
    pub sequence: u64,
    /// Tokens by team.
    pub teams: Vec<TeamAsk>,
}

/// What a holder says about one team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamAnswer {
    /// The team.
    pub team: TeamId,
    /// Tokens granted, which the holder has taken out of its bucket.
    pub granted: u32,
    /// Whether the bucket is empty. If it is not set, the sender does not hold the cap now, and the
    /// tokens that were not granted say nothing about the cap.
    pub is_denied: bool,
    /// Milliseconds after which to ask again, if fewer tokens were granted than asked for.
    pub retry_ms: u32,
}

impl TeamAnswer {
    /// Time after which to ask again.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        Duration::from_millis(u64::from(self.retry_ms))
    }
}

/// Answer of a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapAnswer {
    /// Random number of the process that asked.
    pub asker: u64,
    /// Number of the message that is answered.
    pub sequence: u64,
    /// Answers by team.
    pub teams: Vec<TeamAnswer>,
}
