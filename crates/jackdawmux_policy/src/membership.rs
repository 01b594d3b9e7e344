//! Membership of one instance in its group: joining, leases, takeovers and leaving.
//!
//! Every change of the stored view is an update conditional on the version that the change is
//! based on; an instance has at most one update pending. Instances exchange everything else
//! directly, so that service continues while the store is unreachable.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use smallvec::SmallVec;
use strum::Display;

use crate::clock::PolicyTime;
use crate::group::{GroupMember, GroupView, OwnerMove};
use crate::identity::{IncarnationId, mix64};
use crate::lease::{
    LeaseCommittee, LeaseHolder, LeaseSettings, PromiseGiver, TakeoverBid, VoteReply,
};
use crate::message::SteeringMessage;
use crate::table::RouteTable;

/// Time without a frame after which a peer of a small group is no longer listed to callers and
/// receives no forwarded requests.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time added to the peer timeout for each round after the first that a heartbeat to the whole
/// group takes.
const ROUND_TIMEOUT_INCREMENT: Duration = Duration::from_millis(400);
/// Maximum number of peers that receive one heartbeat; a larger group is covered in rounds.
pub const HEARTBEAT_FAN_OUT: usize = 12;
/// Extra waiting time for each rank before a takeover bid, so that bids rarely collide.
const BID_STAGGER: Duration = Duration::from_millis(400);
/// Minimum interval between updates that only raise the view's version to end votes.
const TOUCH_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between requested reads of the view.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which the store counts as reachable after a reply.
const STORE_REPLY_TTL: Duration = Duration::from_secs(3);

/// An event for the event timeline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MembershipEvent {
    /// This instance is in the stored view.
    Joined,
    /// The stored view no longer contains this instance.
    Removed,
    /// This instance's lease became valid.
    LeaseHeld,
    /// This instance's lease lapsed.
    LeaseLapsed,
    /// A bid for an unresponsive member's endpoints has started.
    BidOpened,
    /// The removal of an unresponsive member is about to be written.
    TakeoverPlanned,
}

/// An action that the caller must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send a message to a peer.
    Send(IncarnationId, SteeringMessage),
    /// Replace the stored view if its version is still `expected`; zero means that it must not
    /// exist yet.
    Write {
        /// Version that the stored view must have.
        expected: u64,
        /// The new view.
        view: GroupView,
    },
    /// Read the stored view: an update is due, and the store has not replied recently.
    ReadView,
    /// Record an event in the event timeline, with the peer that it concerns.
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
    last_frames: HashMap<IncarnationId, PolicyTime>,
    leaving_peers: HashSet<IncarnationId>,
    first_listed_at: HashMap<IncarnationId, PolicyTime>,
    store_replied_at: Option<PolicyTime>,
    is_write_pending: bool,
    is_leaving: bool,
    is_member: bool,
    was_leased: bool,
    last_touch: Option<PolicyTime>,
    read_requested_at: Option<PolicyTime>,
}

impl GroupMembership {
    /// Creates the membership state of `own`, which has not joined yet.
    #[must_use]
    pub fn new(own: GroupMember, settings: LeaseSettings) -> Self {
        Self {
            own,
            version: 0,
            view: GroupView::default(),
            holder: LeaseHolder::new(settings),
            giver: PromiseGiver::new(settings),
            bid: None,
            last_frames: HashMap::new(),
            leaving_peers: HashSet::new(),
            first_listed_at: HashMap::new(),
            store_replied_at: None,
            is_write_pending: false,
            is_leaving: false,
            is_member: false,
            was_leased: false,
            last_touch: None,
            read_requested_at: None,
        }
    }

    /// Process of this instance.
    #[must_use]
    pub const fn own(&self) -> IncarnationId {
        self.own.incarnation
    }

    /// Newest known version of the stored view.
    #[must_use]
    pub const fn view(&self) -> &GroupView {
        &self.view
    }

    /// Version number of the view that [`Self::view`] returns.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Whether the newest known view contains this instance.
    #[must_use]
    pub const fn is_member(&self) -> bool {
        self.is_member
    }

    /// Whether a planned stop has started.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// End of the lease on owned endpoints; the start of the clock when this instance is not a
    /// member.
    #[must_use]
    pub fn lease_until(&self) -> PolicyTime {
        if self.is_member { self.holder.valid_until() } else { PolicyTime::default() }
    }

    /// Whether a peer has sent a frame within the peer timeout; always true for this instance.
    #[must_use]
    pub fn is_alive(&self, now: PolicyTime, peer: IncarnationId) -> bool {
        peer == self.own.incarnation
            || self
                .last_frames
                .get(&peer)
                .is_some_and(|received| now.since(*received) < self.peer_timeout())
    }

    /// Time without a frame after which a peer counts as unreachable, by the size of the group.
    fn peer_timeout(&self) -> Duration {
        let rounds = self.view.members.len().div_ceil(HEARTBEAT_FAN_OUT).saturating_sub(1);
        PEER_TIMEOUT + ROUND_TIMEOUT_INCREMENT * u32::try_from(rounds).unwrap_or(u32::MAX)
    }

    /// Whether callers may be sent to a member: it is alive, and neither the view nor its own
    /// heartbeats, which also arrive while the store is unreachable, state that it is leaving.
    #[must_use]
    pub fn is_usable(&self, now: PolicyTime, member: &GroupMember) -> bool {
        let peer = member.incarnation;
        !member.is_leaving && !self.leaving_peers.contains(&peer) && self.is_alive(now, peer)
    }

    /// Peers, members or not, that have sent a frame within the peer timeout.
    pub fn live_peers(&self, now: PolicyTime) -> impl Iterator<Item = IncarnationId> + '_ {
        self.last_frames
            .iter()
            .filter(move |(_, received)| now.since(**received) < self.peer_timeout())
            .map(|(peer, _)| *peer)
    }

    /// Begins a planned stop.
    pub const fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Records the arrival of a frame from a peer.
    pub fn record_frame(&mut self, now: PolicyTime, peer: IncarnationId) {
        self.last_frames.insert(peer, now);
    }

    /// Records that the store replied to a call.
    pub const fn record_store_reply(&mut self, now: PolicyTime) {
        self.store_replied_at = Some(now);
    }

    /// Records that the pending update has ended, with any result.
    pub const fn end_write(&mut self) {
        self.is_write_pending = false;
    }

    /// Applies a view that was read from the store or sent by a peer, unless it is not newer than
    /// the known one. Returns whether it was applied.
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
            self.first_listed_at.entry(member.incarnation).or_insert(now);
        }
        let view = &self.view;
        self.first_listed_at.retain(|peer, _| view.member(*peer).is_some());
        self.leaving_peers.retain(|peer| view.member(*peer).is_some());
        self.giver.retain(|holder| view.member(holder).is_some());
        // Votes cast under an older version do not count towards an update of this one.
        self.bid = None;
        true
    }

    /// Handles a message of a peer as far as it concerns membership and leases.
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
                    let reply = SteeringMessage::PromiseGiven { asked_at: *asked_at };
                    actions.push(MembershipAction::Send(peer, reply));
                }
            }
            SteeringMessage::PromiseGiven { asked_at } => {
                self.holder.record_promise(peer, *asked_at)
            }
            SteeringMessage::VoteAsk { holder, version } => {
                if self.giver.vote(now, *holder, *version) == VoteReply::Voted {
                    let reply = SteeringMessage::VoteMade { holder: *holder, version: *version };
                    actions.push(MembershipAction::Send(peer, reply));
                }
            }
            SteeringMessage::VoteMade { holder, version } => {
                self.count_vote(peer, *holder, *version)
            }
            SteeringMessage::ViewAsk { seen } => {
                if self.version > *seen {
                    let (version, view) = (self.version, self.view.clone());
                    let reply = SteeringMessage::ViewOffer { version, view };
                    actions.push(MembershipAction::Send(peer, reply));
                }
            }
            SteeringMessage::Heartbeat(heartbeat) => {
                if heartbeat.is_leaving {
                    self.leaving_peers.insert(peer);
                }
                if heartbeat.view_version > self.version {
                    let request = SteeringMessage::ViewAsk { seen: self.version };
                    actions.push(MembershipAction::Send(peer, request));
                }
            }
            SteeringMessage::ViewOffer { .. } | SteeringMessage::Suspect { .. } => {}
        }
    }

    /// Periodic work: requests promises, bids against unresponsive members and plans the next
    /// update. `released` are endpoints that the schedulers have stopped using.
    pub fn heartbeat(
        &mut self,
        now: PolicyTime,
        table: &RouteTable,
        released: &[OwnerMove],
    ) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        self.report_lease_change(now, &mut actions);
        self.propose_committee(now);
        let targets = if self.holder.is_renewal_due(now) {
            self.holder.members_to_request()
        } else {
            SmallVec::new()
        };
        for peer in targets {
            let request = SteeringMessage::PromiseAsk { asked_at: now, seen: self.version };
            actions.push(MembershipAction::Send(peer, request));
        }
        self.pursue_takeover(now, &mut actions);
        self.plan_write(now, table, released, &mut actions);
        actions
    }

    /// The view without this instance and its version, to be written after this instance has
    /// stopped and no request runs; `None` when it is not a member.
    #[must_use]
    pub fn departure_view(&self) -> Option<(u64, GroupView)> {
        if !self.is_member {
            return None;
        }
        let mut view = self.view.clone();
        view.leave(self.own.incarnation);
        Some((self.version, view))
    }

    /// Whether `holder`, whose view is no newer than this instance's, is not in the view. The votes
    /// against it were dropped with its removal, so only this check denies it a new promise.
    fn was_removed(&self, holder: IncarnationId, seen: u64) -> bool {
        seen <= self.version && self.view.member(holder).is_none()
    }

    fn report_lease_change(&mut self, now: PolicyTime, actions: &mut Vec<MembershipAction>) {
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
        let is_intact = current
            .iter()
            .all(|peer| self.view.member(*peer).is_some_and(|member| !member.is_leaving));
        let preferred =
            self.view.preferred_committee(self.own.incarnation, |peer| self.is_alive(now, peer));
        // Keeps a committee whose members are all in the view and not leaving, unless a larger one
        // is possible.
        if is_intact && current.len() >= preferred.len() {
            let current = current.clone();
            self.holder.propose(&current);
        } else {
            self.holder.propose(&preferred);
        }
    }

    fn is_store_up(&self, now: PolicyTime) -> bool {
        self.store_replied_at.is_some_and(|replied| now.since(replied) < STORE_REPLY_TTL)
    }

    fn request_read(&mut self, now: PolicyTime, actions: &mut Vec<MembershipAction>) {
        if self.read_requested_at.is_none_or(|requested| now.since(requested) >= READ_INTERVAL) {
            self.read_requested_at = Some(now);
            actions.push(MembershipAction::ReadView);
        }
    }

    fn pursue_takeover(&mut self, now: PolicyTime, actions: &mut Vec<MembershipAction>) {
        if self.is_leaving || !self.is_member {
            self.bid = None;
            return;
        }
        if !self.is_store_up(now) {
            // Requests votes only while the store is reachable, since a takeover needs an update.
            self.bid = None;
            if self.unresponsive_member(now).is_some() {
                self.request_read(now, actions);
            }
            return;
        }
        if self.bid.is_none() {
            self.open_bid(now, actions);
        }
        let Some(bid) = self.bid.clone() else {
            return;
        };
        if !self.is_unresponsive(now, bid.holder) {
            self.bid = None;
            return;
        }
        for peer in bid.committee() {
            if *peer != self.own.incarnation {
                let request = SteeringMessage::VoteAsk { holder: bid.holder, version: bid.version };
                actions.push(MembershipAction::Send(*peer, request));
            }
        }
        if bid.committee().contains(&self.own.incarnation)
            && self.giver.vote(now, bid.holder, bid.version) == VoteReply::Voted
        {
            self.count_vote(self.own.incarnation, bid.holder, bid.version);
        }
    }

    fn open_bid(&mut self, now: PolicyTime, actions: &mut Vec<MembershipAction>) {
        if let Some((holder, committee)) = self.unresponsive_member(now) {
            self.bid = Some(TakeoverBid::new(holder, self.version, committee));
            actions.push(MembershipAction::Event(MembershipEvent::BidOpened, Some(holder)));
        }
    }

    /// An unresponsive member that this instance may bid against now, with its committee.
    fn unresponsive_member(&self, now: PolicyTime) -> Option<(IncarnationId, LeaseCommittee)> {
        let unresponsive = self.view.members.iter().find(|member| {
            let rank = self.bid_rank(now, member.incarnation);
            let due = now.before(BID_STAGGER * rank);
            member.incarnation != self.own.incarnation
                && member.committee.contains(&self.own.incarnation)
                && self.is_unresponsive(due, member.incarnation)
        });
        unresponsive.map(|member| (member.incarnation, member.committee.clone()))
    }

    fn is_unresponsive(&self, now: PolicyTime, holder: IncarnationId) -> bool {
        let since = self.first_listed_at.get(&holder).copied().unwrap_or(now);
        self.giver.is_unresponsive(now, holder, since)
    }

    /// Number of live members that may bid against `holder` earlier than this instance, at most 8.
    fn bid_rank(&self, now: PolicyTime, holder: IncarnationId) -> u32 {
        let weight = |peer: IncarnationId| mix64(holder.0 ^ mix64(peer.0));
        let own = weight(self.own.incarnation);
        let earlier = self.view.members.iter().filter(|member| {
            member.incarnation != holder
                && self.is_alive(now, member.incarnation)
                && weight(member.incarnation) < own
        });
        u32::try_from(earlier.count()).unwrap_or(u32::MAX).min(8)
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
        if self.is_write_pending {
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
            self.request_read(now, actions);
            return;
        }
        if is_touch {
            self.last_touch = Some(now);
        }
        let own = self.own.incarnation;
        let stored = self.view.member(own).map(|member| &member.committee);
        if stored.is_some() && stored != next.member(own).map(|member| &member.committee) {
            self.holder.begin_committee_change(self.version);
        }
        self.is_write_pending = true;
        actions.push(MembershipAction::Write { expected: self.version, view: next });
    }

    /// Whether to raise the view's version without other changes. Votes of an abandoned takeover
    /// may keep a member from renewing its lease; they end when it sends a higher version.
    fn is_touch_due(&self, now: PolicyTime) -> bool {
        let has_lapsed = self.is_member && now >= self.lease_until();
        has_lapsed && self.last_touch.is_none_or(|touched| now.since(touched) >= TOUCH_INTERVAL)
    }
}
