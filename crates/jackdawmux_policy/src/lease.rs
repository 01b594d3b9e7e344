//! Leases on owned endpoints, renewed by promises of a small committee.
//!
//! The stored view lists, for each member of a group, a committee of other members. A member may
//! give out the slots it owns while enough of its committee have recently promised to leave them
//! to it. Renewal involves no store call, so leases continue during a store outage. Another member
//! may take the endpoints over only after enough of the same committee have let their promises
//! expire and voted to make no more, and after a conditional update of the view. The two quorums
//! always share a committee member, so holder and taker are never both owners.
//!
//! A vote carries the version of the view under which it was cast. It is valid until the holder
//! sends a higher version: by then the taker's update has either taken effect, and the holder has
//! read it, or can no longer take effect.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::clock::PolicyTime;
use crate::identity::IncarnationId;

/// Committee of a lease holder.
pub type LeaseCommittee = SmallVec<[IncarnationId; 6]>;

/// Number of members in a full committee.
pub const COMMITTEE_SIZE: usize = 6;

/// Number of promises that a holder needs from a committee of `size` members.
#[must_use]
pub const fn promises_needed(size: usize) -> usize {
    size / 2
}

/// Number of votes that a taker needs from a committee of `size` members; `None` when no takeover
/// is possible.
#[must_use]
pub const fn votes_needed(size: usize) -> Option<usize> {
    if size < 2 { None } else { Some(size - promises_needed(size) + 1) }
}

/// Durations of the lease protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// Validity of a promise, which the holder counts from when it sent the request.
    pub promise_ttl: Duration,
    /// Extra time that a committee member waits before it votes, because clocks may run at
    /// different rates.
    pub rate_margin: Duration,
}

/// A committee in an update whose result is not known yet, with the version the update is based on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingCommittee {
    base: u64,
    committee: LeaseCommittee,
}

/// Lease state of the holder: its committees and the promises it has received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    settings: LeaseSettings,
    committee: LeaseCommittee,
    candidate: LeaseCommittee,
    pending: SmallVec<[PendingCommittee; 2]>,
    promises: BTreeMap<IncarnationId, PolicyTime>,
}

impl LeaseHolder {
    /// Creates a holder without a committee.
    #[must_use]
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            settings,
            committee: LeaseCommittee::new(),
            candidate: LeaseCommittee::new(),
            pending: SmallVec::new(),
            promises: BTreeMap::new(),
        }
    }

    /// The committee in the newest known version of the stored view.
    #[must_use]
    pub const fn committee(&self) -> &LeaseCommittee {
        &self.committee
    }

    /// Members of the stored, proposed and pending committees, all of which are asked for promises.
    #[must_use]
    pub fn members_to_request(&self) -> SmallVec<[IncarnationId; 12]> {
        let pending = self.pending.iter().flat_map(|change| &change.committee);
        let mut members: SmallVec<[IncarnationId; 12]> =
            self.committee.iter().chain(&self.candidate).chain(pending).copied().collect();
        members.sort_unstable();
        members.dedup();
        members
    }

    /// Sets the next committee, whose promises are collected before it is stored.
    pub fn propose(&mut self, candidate: &LeaseCommittee) {
        self.candidate.clone_from(candidate);
    }

    /// Whether the lease would be valid under the proposed committee, so that storing that
    /// committee does not interrupt the lease.
    #[must_use]
    pub fn is_candidate_ready(&self, now: PolicyTime) -> bool {
        self.candidate != self.committee && now < self.committee_until(&self.candidate)
    }

    /// Whether to request promises again: a quarter of the lease has passed, or the proposed
    /// committee differs from the stored one.
    #[must_use]
    pub fn is_renewal_due(&self, now: PolicyTime) -> bool {
        let validity = self.settings.promise_ttl;
        self.candidate != self.committee || self.valid_until() < now + validity * 3 / 4
    }

    /// Records that an update based on version `base` is about to store the proposed committee.
    /// Until its result is known, the lease needs the promises of both committees.
    pub fn begin_committee_change(&mut self, base: u64) {
        let committee = self.candidate.clone();
        self.pending.push(PendingCommittee { base, committee });
    }

    /// Records that version `version` of the view contains `stored` as this holder's committee.
    /// Updates based on earlier versions have taken effect by now or never will.
    pub fn confirm_stored(&mut self, version: u64, stored: &LeaseCommittee) {
        self.committee.clone_from(stored);
        self.pending.retain(|change| change.base >= version);
        let kept = self.members_to_request();
        self.promises.retain(|peer, _| kept.contains(peer));
    }

    /// Records a promise of `peer` in reply to a request sent at `asked_at`.
    pub fn record_promise(&mut self, peer: IncarnationId, asked_at: PolicyTime) {
        let newest = self.promises.entry(peer).or_insert(asked_at);
        *newest = (*newest).max(asked_at);
    }

    /// End of the lease; in the past when the lease has lapsed.
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
        let mut times: SmallVec<[PolicyTime; 6]> =
            committee.iter().filter_map(|peer| self.promises.get(peer).copied()).collect();
        times.sort_unstable_by(|left, right| right.cmp(left));
        times
            .get(needed - 1)
            .map_or(PolicyTime::default(), |time| *time + self.settings.promise_ttl)
    }
}

/// Reply to a request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteReply {
    /// No promise is valid, and none will be made until the holder sends a higher version.
    Voted,
    /// A promise may still be valid.
    Refused,
}

/// Lease state of a committee member: its promises to and votes against each holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PromiseGiver {
    settings: LeaseSettings,
    last_requests: BTreeMap<IncarnationId, PolicyTime>,
    last_promises: BTreeMap<IncarnationId, PolicyTime>,
    votes: BTreeMap<IncarnationId, u64>,
}

impl PromiseGiver {
    /// Creates a committee member that has made no promises.
    #[must_use]
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            settings,
            last_requests: BTreeMap::new(),
            last_promises: BTreeMap::new(),
            votes: BTreeMap::new(),
        }
    }

    /// Handles a request for a promise by `holder`, whose copy of the view has version `seen`.
    /// Returns whether the promise is made.
    pub fn promise(&mut self, now: PolicyTime, holder: IncarnationId, seen: u64) -> bool {
        self.last_requests.insert(holder, now);
        if self.votes.get(&holder).is_some_and(|version| seen <= *version) {
            return false;
        }
        self.votes.remove(&holder);
        self.last_promises.insert(holder, now);
        true
    }

    /// Handles a request for a vote against `holder` by a taker that has read version `version` of
    /// the view.
    pub fn vote(&mut self, now: PolicyTime, holder: IncarnationId, version: u64) -> VoteReply {
        let validity = self.settings.promise_ttl + self.settings.rate_margin;
        if self.last_promises.get(&holder).is_some_and(|last| now < *last + validity) {
            return VoteReply::Refused;
        }
        let newest = self.votes.entry(holder).or_insert(version);
        *newest = (*newest).max(version);
        VoteReply::Voted
    }

    /// Whether the last request of `holder`, or `since` if that is later, is long enough ago to
    /// consider a takeover.
    #[must_use]
    pub fn is_unresponsive(
        &self,
        now: PolicyTime,
        holder: IncarnationId,
        since: PolicyTime,
    ) -> bool {
        let last = self.last_requests.get(&holder).copied().unwrap_or(since).max(since);
        now >= last + self.settings.promise_ttl + self.settings.rate_margin
    }

    /// Removes holders for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(IncarnationId) -> bool) {
        self.last_requests.retain(|holder, _| is_known(*holder));
        self.last_promises.retain(|holder, _| is_known(*holder));
        self.votes.retain(|holder, _| is_known(*holder));
    }
}

/// Lease state of the taker: one attempt to take over an unresponsive holder's endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TakeoverBid {
    /// The unresponsive holder.
    pub holder: IncarnationId,
    /// Version of the view that the bid is based on.
    pub version: u64,
    committee: LeaseCommittee,
    votes: SmallVec<[IncarnationId; 6]>,
}

impl TakeoverBid {
    /// Creates a bid against `holder`, whose committee in version `version` of the view is
    /// `committee`.
    #[must_use]
    pub fn new(holder: IncarnationId, version: u64, committee: LeaseCommittee) -> Self {
        Self { holder, version, committee, votes: SmallVec::new() }
    }

    /// Members to ask for a vote.
    #[must_use]
    pub const fn committee(&self) -> &LeaseCommittee {
        &self.committee
    }

    /// Counts a vote of `peer` cast under `version`; votes under other versions and repeated votes
    /// are ignored.
    pub fn record_vote(&mut self, peer: IncarnationId, version: u64) {
        let counts = version == self.version
            && self.committee.contains(&peer)
            && !self.votes.contains(&peer);
        if counts {
            self.votes.push(peer);
        }
    }

    /// Whether enough votes were cast to update the view, conditionally on [`Self::version`].
    #[must_use]
    pub fn is_won(&self) -> bool {
        votes_needed(self.committee.len()).is_some_and(|needed| self.votes.len() >= needed)
    }
}
