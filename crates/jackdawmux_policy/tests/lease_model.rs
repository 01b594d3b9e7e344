//! Exhaustive model of a lease, its committee and a takeover.
//!
//! Answers arrive at once or never: an answer that comes late only tells its receiver less. One holder, its committee of two, a second committee of two to which it may change, a taker in
//! the first committee, and the store. Messages are lost, delayed and reordered; every process may
//! pause at any point, which is the same as acting later; a write may take effect long after its
//! sender stopped waiting, and its answer may never come.

#[path = "support/explore.rs"]
mod explore;

use std::collections::BTreeSet;
use std::time::Duration;

use explore::explore;
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::identity::IncarnationId;
use jackdawmux_policy::lease::{
    LeaseCommittee, LeaseHolder, LeaseSettings, PromiseGiver, TakeoverBid, VoteAnswer,
};

const HOLDER: IncarnationId = IncarnationId(100);
const UNIT: Duration = Duration::from_secs(1);
const SETTINGS: LeaseSettings =
    LeaseSettings { promise_ttl: Duration::from_secs(1), rate_margin: Duration::ZERO };
/// Messages on their way at once.
const MESSAGE_LIMIT: usize = 2;
/// Requests for promises explored.
const ASK_LIMIT: usize = 2;
/// The taker's place among the givers.
const TAKER: usize = 0;

fn committee(which: usize) -> LeaseCommittee {
    (2 * which..2 * which + 2).map(|giver| IncarnationId(giver as u64)).collect()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Ask {
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
    asks_out: BTreeSet<Ask>,
    holder: LeaseHolder,
    holder_view: StoredView,
    has_changed: bool,
    givers: Vec<PromiseGiver>,
    giver_views: Vec<StoredView>,
    bid: Option<TakeoverBid>,
    has_touched: bool,
    asks: usize,
}

/// Adds the state that a change makes of the current one.
type Branch<'branch> = dyn FnMut(&dyn Fn(&mut World)) + 'branch;

/// What a run explores.
#[derive(Clone, Copy)]
struct Scope {
    changes_committee: bool,
    others_write: bool,
    giver_count: usize,
    /// Units of time explored.
    time_limit: u64,
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
            asks_out: BTreeSet::new(),
            holder,
            holder_view: store,
            has_changed: false,
            givers: vec![PromiseGiver::new(SETTINGS); scope.giver_count],
            giver_views: vec![store; scope.giver_count],
            bid: None,
            has_touched: false,
            asks: 0,
        }
    }

    fn clock(&self) -> PolicyTime {
        PolicyTime::default() + UNIT * u32::try_from(self.now).unwrap()
    }

    fn holder_may_send(&self) -> bool {
        self.holder_view.has_holder && self.clock() < self.holder.valid_until()
    }

    fn following(&self, scope: Scope) -> Vec<Self> {
        let mut all = Vec::new();
        let mut with = |change: &dyn Fn(&mut Self)| {
            let mut world = self.clone();
            change(&mut world);
            all.push(world);
        };
        if self.now < scope.time_limit {
            with(&|world| world.now += 1);
        }
        for giver in 0..scope.giver_count {
            let is_asked = self.holder.members_to_ask().contains(&IncarnationId(giver as u64));
            let has_room = self.asks_out.len() < MESSAGE_LIMIT && self.asks < ASK_LIMIT;
            if is_asked && self.holder_view.has_holder && has_room {
                with(&|world| {
                    let (asked_at, seen) = (world.clock(), world.holder_view.version);
                    world.asks += 1;
                    world.asks_out.insert(Ask { giver, asked_at, seen });
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
        if scope.changes_committee && !self.has_changed && self.holder_view.has_holder {
            with(&|world| {
                world.has_changed = true;
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
        for ask in &self.asks_out {
            // Losing a request is the same as never delivering it.
            with(&|world| world.deliver(*ask, true));
            with(&|world| world.deliver(*ask, false));
        }
        for write in &self.writes {
            with(&|world| world.apply(*write));
        }
        self.taker_steps(&mut with);
        all
    }

    fn taker_steps(&self, with: &mut Branch<'_>) {
        match &self.bid {
            None if self.store.has_holder => {
                // Silence is only a hint, so the model lets a bid open at any time.
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
                        if world.givers[giver].vote(now, HOLDER, version) == VoteAnswer::Voted {
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

    fn deliver(&mut self, ask: Ask, is_answered: bool) {
        self.asks_out.remove(&ask);
        let Ask { giver, asked_at, seen } = ask;
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
    let scope =
        Scope { changes_committee: false, others_write: true, giver_count: 2, time_limit: 3 };
    let count = explore(World::new(scope), |world| world.following(scope), World::check);
    assert!(count > 10_000, "only {count} states");
    println!("states={count}");
}

#[test]
fn holder_and_taker_never_both_own_while_the_committee_changes() {
    let scope =
        Scope { changes_committee: true, others_write: false, giver_count: 4, time_limit: 2 };
    let count = explore(World::new(scope), |world| world.following(scope), World::check);
    assert!(count > 10_000, "only {count} states");
    println!("states={count}");
}
