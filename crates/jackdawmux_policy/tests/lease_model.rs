//! Exhaustive model of a lease, its committee and a takeover.
//!
//! The model has one holder, its committee of two, a second committee of two to which the holder
//! may change, a taker in the first committee, and the store. Requests are lost, delayed and
//! reordered. Replies arrive immediately or never, because a delayed reply only gives its receiver
//! less information. Every process may pause at any point, which is the same as acting later. A
//! write may take effect long after its sender stopped waiting, and its reply may never arrive.

#[path = "support/explore.rs"]
mod explore;

use std::collections::BTreeSet;
use std::time::Duration;

use explore::explore;
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::identity::IncarnationId;
use jackdawmux_policy::lease::{
    LeaseCommittee, LeaseHolder, LeaseSettings, PromiseGiver, TakeoverBid, VoteReply,
};

const HOLDER: IncarnationId = IncarnationId(100);
const UNIT: Duration = Duration::from_secs(1);
const SETTINGS: LeaseSettings =
    LeaseSettings { promise_ttl: Duration::from_secs(1), rate_margin: Duration::ZERO };
/// Maximum number of requests for promises in transit.
const MAX_REQUESTS_IN_TRANSIT: usize = 2;
/// Maximum number of requests for promises in a run.
const MAX_REQUESTS: usize = 2;
/// Index of the taker among the promise givers.
const TAKER: usize = 0;

fn committee(index: usize) -> LeaseCommittee {
    (2 * index..2 * index + 2).map(|giver| IncarnationId(giver as u64)).collect()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct PromiseRequest {
    giver: usize,
    asked_at: PolicyTime,
    seen: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Write {
    TakeOver { expected: u64 },
    ChangeCommittee { expected: u64 },
    Touch { expected: u64 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct StoredView {
    version: u64,
    has_holder: bool,
    committee: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    store: StoredView,
    writes: BTreeSet<Write>,
    requests_in_transit: BTreeSet<PromiseRequest>,
    holder: LeaseHolder,
    holder_view: StoredView,
    has_changed_committee: bool,
    givers: Vec<PromiseGiver>,
    giver_views: Vec<StoredView>,
    bid: Option<TakeoverBid>,
    has_touched: bool,
    request_count: usize,
}

/// Adds the successor state that results from a change.
type Branch<'branch> = dyn FnMut(&dyn Fn(&mut World)) + 'branch;

/// Scope of one exploration.
#[derive(Clone, Copy)]
struct Scope {
    changes_committee: bool,
    others_write: bool,
    giver_count: usize,
    /// Last time explored, in units of [`UNIT`].
    max_time: u64,
}

impl World {
    fn new(scope: Scope) -> Self {
        let store = StoredView { version: 1, has_holder: true, committee: 0 };
        let mut holder = LeaseHolder::new(SETTINGS);
        holder.confirm_stored(1, &committee(0));
        Self {
            now: 1,
            store,
            writes: BTreeSet::new(),
            requests_in_transit: BTreeSet::new(),
            holder,
            holder_view: store,
            has_changed_committee: false,
            givers: vec![PromiseGiver::new(SETTINGS); scope.giver_count],
            giver_views: vec![store; scope.giver_count],
            bid: None,
            has_touched: false,
            request_count: 0,
        }
    }

    fn clock(&self) -> PolicyTime {
        PolicyTime::default() + UNIT * u32::try_from(self.now).unwrap()
    }

    fn holder_may_send(&self) -> bool {
        self.holder_view.has_holder && self.clock() < self.holder.valid_until()
    }

    fn successors(&self, scope: Scope) -> Vec<Self> {
        let mut all = Vec::new();
        let mut with = |change: &dyn Fn(&mut Self)| {
            let mut world = self.clone();
            change(&mut world);
            all.push(world);
        };
        if self.now < scope.max_time {
            with(&|world| world.now += 1);
        }
        for giver in 0..scope.giver_count {
            let is_requested =
                self.holder.members_to_request().contains(&IncarnationId(giver as u64));
            let has_room = self.requests_in_transit.len() < MAX_REQUESTS_IN_TRANSIT
                && self.request_count < MAX_REQUESTS;
            if is_requested && self.holder_view.has_holder && has_room {
                with(&|world| {
                    let (asked_at, seen) = (world.clock(), world.holder_view.version);
                    world.request_count += 1;
                    world.requests_in_transit.insert(PromiseRequest { giver, asked_at, seen });
                });
            }
            if self.giver_views[giver] != self.store && giver < 2 {
                with(&|world| world.giver_views[giver] = world.store);
            }
        }
        if self.holder_view != self.store {
            with(&|world| {
                world.holder_view = world.store;
                let stored = committee(world.store.committee);
                world.holder.confirm_stored(world.store.version, &stored);
            });
        }
        if scope.changes_committee && !self.has_changed_committee && self.holder_view.has_holder {
            with(&|world| {
                world.has_changed_committee = true;
                let base = world.holder_view.version;
                world.holder.propose(&committee(1));
                world.holder.begin_committee_change(base);
                world.writes.insert(Write::ChangeCommittee { expected: base });
            });
        }
        if scope.others_write && !self.has_touched {
            with(&|world| {
                world.has_touched = true;
                let expected = world.store.version;
                world.writes.insert(Write::Touch { expected });
            });
        }
        for request in &self.requests_in_transit {
            // A lost request is the same as one that is never delivered.
            with(&|world| world.deliver(*request, true));
            with(&|world| world.deliver(*request, false));
        }
        for write in &self.writes {
            with(&|world| world.apply(*write));
        }
        self.add_taker_steps(&mut with);
        all
    }

    fn add_taker_steps(&self, with: &mut Branch<'_>) {
        match &self.bid {
            None if self.store.has_holder => {
                // Being unresponsive is only a hint, so the model lets a bid open at any time.
                with(&|world| {
                    let (version, members) =
                        (world.store.version, committee(world.store.committee));
                    world.bid = Some(TakeoverBid::new(HOLDER, version, members));
                });
            }
            None => {}
            Some(bid) => {
                for member in bid.committee() {
                    let giver = usize::try_from(member.0).unwrap();
                    let version = bid.version;
                    with(&|world| {
                        let now = world.clock();
                        if world.givers[giver].vote(now, HOLDER, version) == VoteReply::Voted {
                            world.bid.iter_mut().for_each(|bid| {
                                bid.record_vote(IncarnationId(giver as u64), version);
                            });
                        }
                    });
                }
                if bid.is_won() {
                    let expected = bid.version;
                    with(&|world| {
                        world.writes.insert(Write::TakeOver { expected });
                    });
                }
                if self.giver_views[TAKER].version > bid.version {
                    with(&|world| world.bid = None);
                }
            }
        }
    }

    fn deliver(&mut self, request: PromiseRequest, is_answered: bool) {
        self.requests_in_transit.remove(&request);
        let PromiseRequest { giver, asked_at, seen } = request;
        let view = self.giver_views[giver];
        let was_removed = seen <= view.version && !view.has_holder;
        let now = self.clock();
        if !was_removed && self.givers[giver].promise(now, HOLDER, seen) && is_answered {
            self.holder.record_promise(IncarnationId(giver as u64), asked_at);
        }
    }

    fn apply(&mut self, write: Write) {
        self.writes.remove(&write);
        let version = self.store.version;
        match write {
            Write::TakeOver { expected } if expected == version => {
                self.store.has_holder = false;
                self.store.version += 1;
            }
            Write::ChangeCommittee { expected } if expected == version => {
                self.store.committee = 1;
                self.store.version += 1;
            }
            Write::Touch { expected } if expected == version => self.store.version += 1,
            Write::TakeOver { .. } | Write::ChangeCommittee { .. } | Write::Touch { .. } => {}
        }
    }

    fn check(&self) {
        assert!(
            self.store.has_holder || !self.holder_may_send(),
            "holder and taker both own: {self:#?}"
        );
    }
}

#[test]
fn holder_and_taker_never_both_own() {
    let scope = Scope { changes_committee: false, others_write: true, giver_count: 2, max_time: 3 };
    let count = explore(World::new(scope), |world| world.successors(scope), World::check);
    assert!(count > 10_000, "only {count} states");
    println!("states={count}");
}

#[test]
fn holder_and_taker_never_both_own_while_the_committee_changes() {
    let scope = Scope { changes_committee: true, others_write: false, giver_count: 4, max_time: 2 };
    let count = explore(World::new(scope), |world| world.successors(scope), World::check);
    assert!(count > 10_000, "only {count} states");
    println!("states={count}");
}
