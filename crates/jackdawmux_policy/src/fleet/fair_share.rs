//! Compares the use of a service by each team with an even share, and the share of its requests that
//! a team is served with that of all teams.
//!
//! Counts cover the requests of this instance. Callers spread their requests over the instances, so
//! each instance sees about the same proportions.

use std::collections::HashMap;
use std::time::Duration;

use super::record::TeamRecord;
use crate::clock::PolicyTime;
use crate::identity::stable_hash;

/// Maximum number of teams counted for a service. Requests of further teams are not counted and have
/// the default standing.
const MAX_TEAMS: usize = 1_024;
/// Requests that a team may have in progress before it can exceed its fair share. With one or two
/// requests the count depends on chance.
const MIN_FAIR_SHARE: f64 = 2.0;
/// Time constant of the exponential decay of the counts of requested and admitted requests. Bursts
/// last 3 to 7 s, and the balance is restored within one of them.
const TALLY_DECAY: Duration = Duration::from_secs(3);
/// Fraction of the share admitted of the other teams' requests below which a team counts as underserved. A team
/// must be served a quarter; the margin covers requests that fail after their admission.
const UNDERSERVED_FRACTION: f64 = 0.35;

/// Team of a request, or all requests without a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ShareKey(u64);

impl ShareKey {
    /// Returns the key of a team; `None` stands for all requests without a team.
    #[must_use]
    pub fn of(team: Option<&TeamRecord>) -> Self {
        Self(team.map_or(0, |team| stable_hash(team.name.as_bytes())))
    }
}

/// How the use of a service by a team compares with that of the other teams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareStanding {
    /// Requests in progress, including the one to be admitted, as a multiple of the fair share.
    pub excess: f64,
    /// Whether the team is served so much less than the others that it must not be refused first.
    pub is_underserved: bool,
}

/// Requests in progress and recent admissions of one service by team.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    teams: HashMap<ShareKey, TeamUse>,
    all: RequestTally,
    in_progress: u32,
    active_teams: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct TeamUse {
    in_progress: u32,
    tally: RequestTally,
}

/// Requested and admitted requests, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct RequestTally {
    requested: f64,
    admitted: f64,
    at: PolicyTime,
}

impl RequestTally {
    fn record(&mut self, now: PolicyTime, is_admitted: bool) {
        *self = self.decayed(now);
        self.requested += 1.0;
        self.admitted += f64::from(u8::from(is_admitted));
    }

    fn decayed(self, now: PolicyTime) -> Self {
        let remaining = (-now.since(self.at).as_secs_f64() / TALLY_DECAY.as_secs_f64()).exp();
        Self { requested: self.requested * remaining, admitted: self.admitted * remaining, at: now }
    }

    /// Returns whether the share admitted is too small in comparison with that of the others, where
    /// `all` contains both.
    fn is_underserved(self, all: Self) -> bool {
        let (requested, admitted) = (all.requested - self.requested, all.admitted - self.admitted);
        self.admitted * requested < UNDERSERVED_FRACTION * admitted * self.requested
    }
}

impl FairShare {
    /// Returns the standing of a team that requests one more request.
    #[must_use]
    pub fn standing(&self, now: PolicyTime, key: ShareKey) -> ShareStanding {
        let team = self.teams.get(&key).copied().unwrap_or_default();
        let teams = self.active_teams + u32::from(team.in_progress == 0);
        let fair = f64::from(self.in_progress + 1) / f64::from(teams.max(1));
        ShareStanding {
            excess: f64::from(team.in_progress + 1) / fair.max(MIN_FAIR_SHARE),
            is_underserved: team.tally.decayed(now).is_underserved(self.all.decayed(now)),
        }
    }

    /// Records whether a request was admitted.
    pub fn record(&mut self, now: PolicyTime, key: ShareKey, is_admitted: bool) {
        if let Some(team) = self.team_mut(key) {
            team.tally.record(now, is_admitted);
            self.all.record(now, is_admitted);
        }
    }

    /// Counts a request as in progress. Returns `false` if its team is not counted.
    pub fn start(&mut self, key: ShareKey) -> bool {
        let Some(team) = self.team_mut(key) else {
            return false;
        };
        team.in_progress += 1;
        let is_first = team.in_progress == 1;
        self.active_teams += u32::from(is_first);
        self.in_progress += 1;
        true
    }

    /// Ends a request that was counted as in progress.
    pub fn end(&mut self, key: ShareKey) {
        let Some(team) = self.teams.get_mut(&key).filter(|team| team.in_progress > 0) else {
            return;
        };
        team.in_progress -= 1;
        self.active_teams -= u32::from(team.in_progress == 0);
        self.in_progress -= 1;
    }

    /// Returns the entry of a team. If there is no space, teams without requests in progress are
    /// removed first.
    fn team_mut(&mut self, key: ShareKey) -> Option<&mut TeamUse> {
        if self.teams.len() >= MAX_TEAMS && !self.teams.contains_key(&key) {
            self.teams.retain(|_, team| team.in_progress > 0);
            if self.teams.len() >= MAX_TEAMS {
                return None;
            }
        }
        Some(self.teams.entry(key).or_default())
    }
}
