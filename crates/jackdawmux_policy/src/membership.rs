//! Membership of one instance in its group: joining, leases, takeovers and leaving.
//!
//! The stored view is only ever changed by a conditional update on the version that a change was
//! planned from; one update is out at a time. Everything else passes between instances, so that
//! service goes on while the store is away.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use smallvec::SmallVec;
use strum::Display;

use crate::clock::PolicyTime;
use crate::group::{GroupMember, GroupView, OwnerMove};
use crate::identity::{IncarnationId, mix64};
use crate::lease::{
    LeaseCommittee, LeaseHolder, LeaseSettings, PromiseGiver, TakeoverBid, VoteAnswer,
};
use crate::message::SteeringMessage;
use crate::table::RouteTable;

/// Silence after which a peer of a small group is no longer named to callers or passed requests.
const PEER_SILENCE: Duration = Duration::from_millis(1_200);
/// Silence added for each further round that a heartbeat to the whole group takes.
const ROUND_SILENCE: Duration = Duration::from_millis(400);
/// Peers that each heartbeat goes to; a larger group is covered in rounds.
pub const HEARTBEAT_FANOUT: usize = 12;
/// Extra silence for each rank before a takeover is bid for, so that bids rarely collide.
const BID_STAGGER: Duration = Duration::from_millis(400);
/// Pause between updates that only raise the view's version to end votes.
const TOUCH_PAUSE: Duration = Duration::from_secs(1);
/// Pause between reads of the view that are asked for.
const READ_PAUSE: Duration = Duration::from_secs(1);
/// Time for which a store answer counts as a sign that the store is up.
const STORE_FRESH: Duration = Duration::from_secs(3);

/// Something worth a line in the time line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MembershipEvent {
    /// This instance is in the stored view.
    Joined,
    /// The stored view no longer names this instance.
    Removed,
    /// This instance's lease began to hold.
    LeaseHeld,
    /// This instance's lease lapsed.
    LeaseLapsed,
    /// A bid for a silent member's endpoints began.
    BidOpened,
    /// A silent member's removal is being written.
    TakeoverPlanned,
}

/// Something the caller must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send a message to a peer.
    Send(IncarnationId, SteeringMessage),
    /// Replace the stored view if it is still at `expected`; zero means it must not exist.
    Write {
        /// Version that must be current.
        expected: u64,
        /// The new view.
        view: GroupView,
    },
    /// Read the stored view: something is to be done, and the store has not answered lately.
    ReadView,
    /// An event for the time line, with the peer that it concerns.
    Event(MembershipEvent, Option<IncarnationId>),
}

/// Membership state of one instance.
#[derive(Debug)]
pub struct GroupMembership {
    own: GroupMember,
    version: u64,
    view: GroupView,
    holder: LeaseHolder,
    giver: PromiseGiver,
    bid: Option<TakeoverBid>,
    heard: HashMap<IncarnationId, PolicyTime>,
    leaving: HashSet<IncarnationId>,
    first_seen: HashMap<IncarnationId, PolicyTime>,
    store_seen: Option<PolicyTime>,
    is_write_out: bool,
    is_leaving: bool,
    is_member: bool,
    was_leased: bool,
    touched_at: Option<PolicyTime>,
    read_asked: Option<PolicyTime>,
}

impl GroupMembership {
    /// Membership of `own`, which has not joined yet.
    #[must_use]
    pub fn new(own: GroupMember, settings: LeaseSettings) -> Self {
        Self {
            own,
            version: 0,
            view: GroupView::default(),
            holder: LeaseHolder::new(settings),
            giver: PromiseGiver::new(settings),
            bid: None,
            heard: HashMap::new(),
            leaving: HashSet::new(),
            first_seen: HashMap::new(),
            store_seen: None,
            is_write_out: false,
            is_leaving: false,
            is_member: false,
            was_leased: false,
            touched_at: None,
            read_asked: None,
        }
    }

    /// This instance's process.
    #[must_use]
    pub const fn own(&self) -> IncarnationId {
        self.own.incarnation
    }

    /// The view last seen.
    #[must_use]
    pub const fn view(&self) -> &GroupView {
        &self.view
    }

    /// Version of the view last seen.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Whether the view last seen names this instance.
    #[must_use]
    pub const fn is_member(&self) -> bool {
        self.is_member
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// End of the lease on owned endpoints.
    #[must_use]
    pub fn lease_until(&self) -> PolicyTime {
        if self.is_member { self.holder.valid_until() } else { PolicyTime::default() }
    }

    /// Whether a peer has been heard of lately.
    #[must_use]
    pub fn is_alive(&self, now: PolicyTime, peer: IncarnationId) -> bool {
        peer == self.own.incarnation
            || self.heard.get(&peer).is_some_and(|heard| now.since(*heard) < self.silence())
    }

    /// Silence after which a peer counts as gone, by the size of the group.
    fn silence(&self) -> Duration {
        let rounds = self.view.members.len().div_ceil(HEARTBEAT_FANOUT).saturating_sub(1);
        PEER_SILENCE + ROUND_SILENCE * u32::try_from(rounds).unwrap_or(u32::MAX)
    }

    /// Whether callers may be sent to a member: heard of lately and not leaving, by the view or by
    /// its own word, which also travels while the store is away.
    #[must_use]
    pub fn is_usable(&self, now: PolicyTime, member: &GroupMember) -> bool {
        let peer = member.incarnation;
        !member.is_leaving && !self.leaving.contains(&peer) && self.is_alive(now, peer)
    }

    /// Peers heard of lately, members or not.
    pub fn live_peers(&self, now: PolicyTime) -> impl Iterator<Item = IncarnationId> + '_ {
        self.heard
            .iter()
            .filter(move |(_, heard)| now.since(**heard) < self.silence())
            .map(|(peer, _)| *peer)
    }

    /// A planned stop begins.
    pub const fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// A frame of a peer arrived.
    pub fn hear(&mut self, now: PolicyTime, peer: IncarnationId) {
        self.heard.insert(peer, now);
    }

    /// The store answered a call.
    pub const fn record_store_answer(&mut self, now: PolicyTime) {
        self.store_seen = Some(now);
    }

    /// The update that was out has ended, in whatever way.
    pub const fn end_write(&mut self) {
        self.is_write_out = false;
    }

    /// A view was read from the store or passed on by a peer; older ones are ignored.
    /// Says whether it was newer.
    pub fn apply_view(&mut self, now: PolicyTime, version: u64, view: GroupView) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.view = view;
        self.is_member = self.view.member(self.own.incarnation).is_some();
        let stored = self.view.member(self.own.incarnation);
        let committee = stored.map(|member| member.committee.clone()).unwrap_or_default();
        self.holder.confirm_stored(version, &committee);
        for member in &self.view.members {
            self.first_seen.entry(member.incarnation).or_insert(now);
        }
        let view = &self.view;
        self.first_seen.retain(|peer, _| view.member(*peer).is_some());
        self.leaving.retain(|peer| view.member(*peer).is_some());
        self.giver.retain(|holder| view.member(holder).is_some());
        // Votes made under an older version do not count for an update of this one.
        self.bid = None;
        true
    }

    /// A lease message of a peer arrived.
    pub fn receive(
        &mut self,
        now: PolicyTime,
        peer: IncarnationId,
        message: &SteeringMessage,
        actions: &mut Vec<MembershipAction>,
    ) {
        match message {
            SteeringMessage::PromiseAsk { asked_at, seen } => {
                if !self.was_removed(peer, *seen) && self.giver.promise(now, peer, *seen) {
                    let answer = SteeringMessage::PromiseGiven { asked_at: *asked_at };
                    actions.push(MembershipAction::Send(peer, answer));
                }
            }
            SteeringMessage::PromiseGiven { asked_at } => {
                self.holder.record_promise(peer, *asked_at)
            }
            SteeringMessage::VoteAsk { holder, version } => {
                if self.giver.vote(now, *holder, *version) == VoteAnswer::Voted {
                    let answer = SteeringMessage::VoteMade { holder: *holder, version: *version };
                    actions.push(MembershipAction::Send(peer, answer));
                }
            }
            SteeringMessage::VoteMade { holder, version } => {
                self.count_vote(peer, *holder, *version)
            }
            SteeringMessage::ViewAsk { seen } => {
                if self.version > *seen {
                    let (version, view) = (self.version, self.view.clone());
                    let answer = SteeringMessage::ViewOffer { version, view };
                    actions.push(MembershipAction::Send(peer, answer));
                }
            }
            SteeringMessage::Heartbeat(heartbeat) => {
                if heartbeat.is_leaving {
                    self.leaving.insert(peer);
                }
                if heartbeat.view_version > self.version {
                    let ask = SteeringMessage::ViewAsk { seen: self.version };
                    actions.push(MembershipAction::Send(peer, ask));
                }
            }
            SteeringMessage::ViewOffer { .. } | SteeringMessage::Suspect { .. } => {}
        }
    }

    /// Regular work: ask for promises, watch for silent members and plan the next update.
    /// `released` are endpoints that the schedulers have stopped using.
    pub fn heartbeat(
        &mut self,
        now: PolicyTime,
        table: &RouteTable,
        released: &[OwnerMove],
    ) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        self.note_lease(now, &mut actions);
        self.propose_committee(now);
        let asked = if self.holder.is_renewal_due(now) {
            self.holder.members_to_ask()
        } else {
            SmallVec::new()
        };
        for peer in asked {
            let ask = SteeringMessage::PromiseAsk { asked_at: now, seen: self.version };
            actions.push(MembershipAction::Send(peer, ask));
        }
        self.watch_silent(now, &mut actions);
        self.plan_write(now, table, released, &mut actions);
        actions
    }

    /// The view without this instance, to be written once it has stopped and nothing runs.
    #[must_use]
    pub fn departure_view(&self) -> Option<(u64, GroupView)> {
        if !self.is_member {
            return None;
        }
        let mut view = self.view.clone();
        view.leave(self.own.incarnation);
        Some((self.version, view))
    }

    /// Whether a holder that has seen no more than this instance was taken out of the view. The
    /// votes against it ended with its removal, so this alone keeps it from a new promise.
    fn was_removed(&self, holder: IncarnationId, seen: u64) -> bool {
        seen <= self.version && self.view.member(holder).is_none()
    }

    fn note_lease(&mut self, now: PolicyTime, actions: &mut Vec<MembershipAction>) {
        let is_leased = self.is_member && now < self.lease_until();
        if is_leased != self.was_leased {
            self.was_leased = is_leased;
            let event =
                if is_leased { MembershipEvent::LeaseHeld } else { MembershipEvent::LeaseLapsed };
            actions.push(MembershipAction::Event(event, None));
        }
    }

    fn propose_committee(&mut self, now: PolicyTime) {
        if !self.is_member {
            return;
        }
        let current = self.holder.committee();
        let is_sound = current
            .iter()
            .all(|peer| self.view.member(*peer).is_some_and(|member| !member.is_leaving));
        let wanted =
            self.view.preferred_committee(self.own.incarnation, |peer| self.is_alive(now, peer));
        // A committee is left alone while all of it are members, unless it could be larger.
        if is_sound && current.len() >= wanted.len() {
            let current = current.clone();
            self.holder.propose(&current);
        } else {
            self.holder.propose(&wanted);
        }
    }

    fn is_store_up(&self, now: PolicyTime) -> bool {
        self.store_seen.is_some_and(|seen| now.since(seen) < STORE_FRESH)
    }

    fn ask_read(&mut self, now: PolicyTime, actions: &mut Vec<MembershipAction>) {
        if self.read_asked.is_none_or(|asked| now.since(asked) >= READ_PAUSE) {
            self.read_asked = Some(now);
            actions.push(MembershipAction::ReadView);
        }
    }

    fn watch_silent(&mut self, now: PolicyTime, actions: &mut Vec<MembershipAction>) {
        if self.is_leaving || !self.is_member {
            self.bid = None;
            return;
        }
        if !self.is_store_up(now) {
            // Votes are asked for only while the store can settle what they are for.
            self.bid = None;
            if self.silent_member(now).is_some() {
                self.ask_read(now, actions);
            }
            return;
        }
        if self.bid.is_none() {
            self.open_bid(now, actions);
        }
        let Some(bid) = self.bid.clone() else {
            return;
        };
        if !self.is_silent(now, bid.holder) {
            self.bid = None;
            return;
        }
        for peer in bid.committee() {
            if *peer != self.own.incarnation {
                let ask = SteeringMessage::VoteAsk { holder: bid.holder, version: bid.version };
                actions.push(MembershipAction::Send(*peer, ask));
            }
        }
        if bid.committee().contains(&self.own.incarnation)
            && self.giver.vote(now, bid.holder, bid.version) == VoteAnswer::Voted
        {
            self.count_vote(self.own.incarnation, bid.holder, bid.version);
        }
    }

    fn open_bid(&mut self, now: PolicyTime, actions: &mut Vec<MembershipAction>) {
        if let Some((holder, committee)) = self.silent_member(now) {
            self.bid = Some(TakeoverBid::new(holder, self.version, committee));
            actions.push(MembershipAction::Event(MembershipEvent::BidOpened, Some(holder)));
        }
    }

    /// A silent member that it is this instance's turn to bid against.
    fn silent_member(&self, now: PolicyTime) -> Option<(IncarnationId, LeaseCommittee)> {
        let silent = self.view.members.iter().find(|member| {
            let rank = self.rank_against(now, member.incarnation);
            let due = now.before(BID_STAGGER * rank);
            member.incarnation != self.own.incarnation
                && member.committee.contains(&self.own.incarnation)
                && self.is_silent(due, member.incarnation)
        });
        silent.map(|member| (member.incarnation, member.committee.clone()))
    }

    fn is_silent(&self, now: PolicyTime, holder: IncarnationId) -> bool {
        let since = self.first_seen.get(&holder).copied().unwrap_or(now);
        self.giver.is_unresponsive(now, holder, since)
    }

    /// How many living members are to bid against `holder` before this one.
    fn rank_against(&self, now: PolicyTime, holder: IncarnationId) -> u32 {
        let weight = |peer: IncarnationId| mix64(holder.0 ^ mix64(peer.0));
        let own = weight(self.own.incarnation);
        let before = self.view.members.iter().filter(|member| {
            member.incarnation != holder
                && self.is_alive(now, member.incarnation)
                && weight(member.incarnation) < own
        });
        u32::try_from(before.count()).unwrap_or(u32::MAX).min(8)
    }

    fn count_vote(&mut self, peer: IncarnationId, holder: IncarnationId, version: u64) {
        if let Some(bid) = self.bid.as_mut().filter(|bid| bid.holder == holder) {
            bid.record_vote(peer, version);
        }
    }

    fn plan_write(
        &mut self,
        now: PolicyTime,
        table: &RouteTable,
        released: &[OwnerMove],
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.is_write_out {
            return;
        }
        let mut next = self.view.clone();
        if !self.is_member && !self.is_leaving {
            next.join(self.own.clone());
        }
        if self.is_leaving {
            next.mark_leaving(self.own.incarnation);
        }
        if let Some(bid) = self.bid.as_ref().filter(|bid| bid.is_won()) {
            next.remove(bid.holder);
            let event = MembershipEvent::TakeoverPlanned;
            actions.push(MembershipAction::Event(event, Some(bid.holder)));
        }
        next.hand_over(self.own.incarnation, released);
        if self.is_member && !self.is_leaving {
            next.take_unowned(self.own.incarnation, table);
        }
        let changes_committee = self.is_member && self.holder.is_candidate_ready(now);
        if changes_committee {
            let committee =
                next.preferred_committee(self.own.incarnation, |peer| self.is_alive(now, peer));
            self.holder.propose(&committee);
            if self.holder.is_candidate_ready(now) {
                next.set_committee(self.own.incarnation, &committee);
            }
        }
        let is_touch = next == self.view && self.is_touch_due(now);
        next.touches += u64::from(is_touch);
        if next == self.view {
            return;
        }
        if !self.is_store_up(now) {
            self.ask_read(now, actions);
            return;
        }
        if is_touch {
            self.touched_at = Some(now);
        }
        let own = self.own.incarnation;
        let stored = self.view.member(own).map(|member| &member.committee);
        if stored.is_some() && stored != next.member(own).map(|member| &member.committee) {
            self.holder.begin_committee_change(self.version);
        }
        self.is_write_out = true;
        actions.push(MembershipAction::Write { expected: self.version, view: next });
    }

    /// A member without its lease may be held back by votes of an abandoned takeover; those end
    /// when it can show a higher version.
    fn is_touch_due(&self, now: PolicyTime) -> bool {
        let has_lapsed = self.is_member && now >= self.lease_until();
        has_lapsed && self.touched_at.is_none_or(|touched| now.since(touched) >= TOUCH_PAUSE)
    }
}
