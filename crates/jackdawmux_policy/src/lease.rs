//! Leases on owned endpoints, renewed by promises of a small committee.
//!
//! Each member of a group names, in the stored view, a committee of other members. It may give
//! out the slots it owns while enough of the committee have recently promised to leave them to
//! it; no store call is involved, so leases go on through a store outage. Another member takes
//! them over only after enough of the same committee have let their promises run out and voted
//! to make no more, and after a conditional update of the view. The two counts always share a
//! committee member, so holder and taker never both count as owner.
//!
//! A vote names the version of the view under which it was made. It ends only when the holder
//! shows a higher version: by then the taker's update has either taken effect, which the holder
//! has seen, or can no longer do so.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::clock::PolicyTime;
use crate::identity::IncarnationId;

/// Committee of one holder.
pub type LeaseCommittee = SmallVec<[IncarnationId; 6]>;

/// Members in a full committee.
pub const COMMITTEE_SIZE: usize = 6;

/// Promises that a holder needs from a committee of `size`.
#[must_use]
pub const fn promises_needed(size: usize) -> usize {
    size / 2
}

/// Votes that a taker needs from a committee of `size`; `None` when no takeover is possible.
#[must_use]
pub const fn votes_needed(size: usize) -> Option<usize> {
    if size < 2 { None } else { Some(size - promises_needed(size) + 1) }
}

/// Spans of the lease protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// Validity of a promise, counted by the holder from when it asked.
    pub promise_ttl: Duration,
    /// Extra time that a committee member waits before a vote, for clocks of unequal rate.
    pub rate_margin: Duration,
}

/// A committee whose storing was asked for, with the version that the update builds on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingCommittee {
    base: u64,
    committee: LeaseCommittee,
}

/// The holder's side: when its lease ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    settings: LeaseSettings,
    committee: LeaseCommittee,
    candidate: LeaseCommittee,
    pending: SmallVec<[PendingCommittee; 2]>,
    promised: BTreeMap<IncarnationId, PolicyTime>,
}

impl LeaseHolder {
    /// A holder without a committee.
    #[must_use]
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            settings,
            committee: LeaseCommittee::new(),
            candidate: LeaseCommittee::new(),
            pending: SmallVec::new(),
            promised: BTreeMap::new(),
        }
    }

    /// The committee known to be stored.
    #[must_use]
    pub const fn committee(&self) -> &LeaseCommittee {
        &self.committee
    }

    /// Everyone to ask for promises.
    #[must_use]
    pub fn asked(&self) -> SmallVec<[IncarnationId; 12]> {
        let pending = self.pending.iter().flat_map(|change| &change.committee);
        let mut asked: SmallVec<[IncarnationId; 12]> =
            self.committee.iter().chain(&self.candidate).chain(pending).copied().collect();
        asked.sort_unstable();
        asked.dedup();
        asked
    }

    /// Names the next committee, whose promises are gathered before it is stored.
    pub fn propose(&mut self, candidate: &LeaseCommittee) {
        self.candidate.clone_from(candidate);
    }

    /// Whether the lease would hold under the proposed committee, so that storing it leaves no gap.
    #[must_use]
    pub fn is_candidate_ready(&self, now: PolicyTime) -> bool {
        self.candidate != self.committee && now < self.committee_until(&self.candidate)
    }

    /// Whether it is time to ask for promises again: the lease has run down by a quarter, or a
    /// proposed committee has yet to promise.
    #[must_use]
    pub fn is_renewal_due(&self, now: PolicyTime) -> bool {
        let span = self.settings.promise_ttl;
        self.candidate != self.committee || self.valid_until() < now + span * 3 / 4
    }

    /// An update that stores the proposed committee is about to be sent, built on version
    /// `base`. Until it is settled, both committees must promise.
    pub fn begin_change(&mut self, base: u64) {
        let committee = self.candidate.clone();
        self.pending.push(PendingCommittee { base, committee });
    }

    /// Version `version` of the view shows `stored` as this holder's committee. Updates built on
    /// earlier versions have by now taken effect or never will.
    pub fn settle(&mut self, version: u64, stored: &LeaseCommittee) {
        self.committee.clone_from(stored);
        self.pending.retain(|change| change.base >= version);
        let kept = self.asked();
        self.promised.retain(|peer, _| kept.contains(peer));
    }

    /// A promise arrived that answers a request sent at `asked_at`.
    pub fn promised(&mut self, peer: IncarnationId, asked_at: PolicyTime) {
        let newest = self.promised.entry(peer).or_insert(asked_at);
        *newest = (*newest).max(asked_at);
    }

    /// End of the lease; a time in the past when it has lapsed.
    #[must_use]
    pub fn valid_until(&self) -> PolicyTime {
        let pending = self.pending.iter().map(|change| self.committee_until(&change.committee));
        pending.fold(self.committee_until(&self.committee), PolicyTime::min)
    }

    fn committee_until(&self, committee: &LeaseCommittee) -> PolicyTime {
        let needed = promises_needed(committee.len());
        if needed == 0 {
            return PolicyTime(u64::MAX);
        }
        let mut asked: SmallVec<[PolicyTime; 6]> =
            committee.iter().filter_map(|peer| self.promised.get(peer).copied()).collect();
        asked.sort_unstable_by(|left, right| right.cmp(left));
        asked
            .get(needed - 1)
            .map_or(PolicyTime::default(), |time| *time + self.settings.promise_ttl)
    }
}

/// Answer to a request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteAnswer {
    /// No promise stands, and none will be made until the holder shows a higher version.
    Voted,
    /// A promise may still stand.
    Refused,
}

/// The committee member's side: promises and votes made to each holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PromiseGiver {
    settings: LeaseSettings,
    asked: BTreeMap<IncarnationId, PolicyTime>,
    last: BTreeMap<IncarnationId, PolicyTime>,
    votes: BTreeMap<IncarnationId, u64>,
}

impl PromiseGiver {
    /// A member that has promised nothing.
    #[must_use]
    pub fn new(settings: LeaseSettings) -> Self {
        Self { settings, asked: BTreeMap::new(), last: BTreeMap::new(), votes: BTreeMap::new() }
    }

    /// A holder that has seen version `seen` of the view asks for a promise.
    pub fn promise(&mut self, now: PolicyTime, holder: IncarnationId, seen: u64) -> bool {
        self.asked.insert(holder, now);
        if self.votes.get(&holder).is_some_and(|version| seen <= *version) {
            return false;
        }
        self.votes.remove(&holder);
        self.last.insert(holder, now);
        true
    }

    /// A taker that read version `version` of the view asks for a vote against `holder`.
    pub fn vote(&mut self, now: PolicyTime, holder: IncarnationId, version: u64) -> VoteAnswer {
        let span = self.settings.promise_ttl + self.settings.rate_margin;
        if self.last.get(&holder).is_some_and(|last| now < *last + span) {
            return VoteAnswer::Refused;
        }
        let known = self.votes.entry(holder).or_insert(version);
        *known = (*known).max(version);
        VoteAnswer::Voted
    }

    /// Whether `holder` has been silent long enough that a takeover may be considered.
    #[must_use]
    pub fn is_silent(&self, now: PolicyTime, holder: IncarnationId, since: PolicyTime) -> bool {
        let last = self.asked.get(&holder).copied().unwrap_or(since).max(since);
        now >= last + self.settings.promise_ttl + self.settings.rate_margin
    }

    /// Forgets holders that `is_known` no longer names.
    pub fn retain(&mut self, is_known: impl Fn(IncarnationId) -> bool) {
        self.asked.retain(|holder, _| is_known(*holder));
        self.last.retain(|holder, _| is_known(*holder));
        self.votes.retain(|holder, _| is_known(*holder));
    }
}

/// The taker's side: one attempt to take over a silent holder's endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TakeoverBid {
    /// The silent holder.
    pub holder: IncarnationId,
    /// Version of the view that the bid builds on.
    pub version: u64,
    committee: LeaseCommittee,
    votes: SmallVec<[IncarnationId; 6]>,
}

impl TakeoverBid {
    /// A bid against `holder`, whose committee in version `version` of the view is `committee`.
    #[must_use]
    pub fn new(holder: IncarnationId, version: u64, committee: LeaseCommittee) -> Self {
        Self { holder, version, committee, votes: SmallVec::new() }
    }

    /// Members to ask for a vote.
    #[must_use]
    pub const fn committee(&self) -> &LeaseCommittee {
        &self.committee
    }

    /// Counts a vote made under `version`.
    pub fn voted(&mut self, peer: IncarnationId, version: u64) {
        let counts = version == self.version
            && self.committee.contains(&peer)
            && !self.votes.contains(&peer);
        if counts {
            self.votes.push(peer);
        }
    }

    /// Whether the view may now be updated, conditionally on [`Self::version`].
    #[must_use]
    pub fn is_won(&self) -> bool {
        votes_needed(self.committee.len()).is_some_and(|needed| self.votes.len() >= needed)
    }
}
