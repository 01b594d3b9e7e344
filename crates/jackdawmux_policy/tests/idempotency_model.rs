//! Exhaustive model of at-most-once execution for idempotency keys chosen by callers.
//!
//! The model has two entries, two keys in one shard, and one store. Callers send each key to any
//! entry, concurrently or later. A store call may take effect long after its sender has stopped
//! waiting, its reply may be lost, and a read may return the object before its last update. A
//! process may pause anywhere, which is equivalent to acting later, and one entry may be replaced
//! by a new process with empty state.

#[path = "support/explore.rs"]
mod explore;

use std::collections::BTreeSet;

use explore::explore;
use jackdawmux_policy::claim::{
    ClaimAction, ClaimActions, ClaimDecision, ClaimRecord, ClaimReply, ClaimSettings, ClaimShard,
    ClaimWriter,
};
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::idempotency::{
    BeginDecision, ExecutionOutcome, IdempotencyRegister, IdempotencySettings, KeyDigest,
};
use jackdawmux_policy::identity::IncarnationId;

const KEYS: usize = 2;
const NOW: PolicyTime = PolicyTime(1);
const NOW_MS: u64 = 1;
const CLAIMS: ClaimSettings =
    ClaimSettings { retention_ms: 1_000_000, claim_limit: 100, batch_limit: 10 };

fn once_settings() -> IdempotencySettings {
    IdempotencySettings {
        retention: std::time::Duration::from_secs(1_000),
        key_limit: 100,
        response_bytes_limit: 1_000,
    }
}

fn key(index: usize) -> KeyDigest {
    KeyDigest([u8::try_from(index).unwrap(); 16])
}

fn index_of(key: KeyDigest) -> usize {
    usize::from(key.0[0])
}

/// Stage of one key at an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum KeyStage {
    Idle,
    Claiming,
    /// The claim is held; the request may be sent at any later time.
    Ready,
    /// The request was sent to the upstream.
    Sent,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    register: IdempotencyRegister<u8>,
    writer: ClaimWriter,
    stages: [KeyStage; KEYS],
}

impl Entry {
    fn new(id: u64) -> Self {
        Self {
            register: IdempotencyRegister::new(once_settings()),
            writer: ClaimWriter::new(IncarnationId(id)),
            stages: [KeyStage::Idle; KEYS],
        }
    }
}

/// A store call in flight.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Call {
    /// The calling entry and its process; a reply to a replaced process is discarded.
    entry: usize,
    process: u64,
    write: Option<(u64, Vec<(KeyDigest, u64)>)>,
    /// Whether the sender is still waiting for the reply.
    is_awaited: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    entries: [Entry; 2],
    processes: [u64; 2],
    version: u64,
    shard: ClaimShard,
    previous: ClaimShard,
    calls: BTreeSet<Call>,
    /// Number of executions of each key.
    runs: [u8; KEYS],
    /// Number of times that "not run" was reported for a key after it had run.
    false_not_run: u8,
    arrivals: u8,
    lost_replies: u8,
    stale_reads: u8,
    replacements: u8,
}

#[derive(Clone, Copy)]
struct Scope {
    arrivals: u8,
    lost_replies: u8,
    stale_reads: u8,
    replacements: u8,
}

impl World {
    fn new() -> Self {
        Self {
            entries: [Entry::new(10), Entry::new(20)],
            processes: [10, 20],
            version: 0,
            shard: ClaimShard::default(),
            previous: ClaimShard::default(),
            calls: BTreeSet::new(),
            runs: [0; KEYS],
            false_not_run: 0,
            arrivals: 0,
            lost_replies: 0,
            stale_reads: 0,
            replacements: 0,
        }
    }

    fn successors(&self, scope: Scope) -> Vec<Self> {
        let mut successors = Vec::new();
        let mut with = |change: &dyn Fn(&mut Self)| {
            let mut world = self.clone();
            change(&mut world);
            successors.push(world);
        };
        for entry in 0..2 {
            for index in 0..KEYS {
                if self.arrivals < scope.arrivals {
                    with(&|world| world.arrive(entry, index));
                }
                match self.entries[entry].stages[index] {
                    KeyStage::Idle => {}
                    KeyStage::Claiming => with(&|world| world.cancel(entry, index)),
                    KeyStage::Ready => {
                        with(&|world| world.send(entry, index));
                        with(&|world| world.cancel(entry, index));
                    }
                    KeyStage::Sent => {
                        with(&|world| world.end(entry, index, ExecutionOutcome::Ran(Some((7, 1)))));
                        with(&|world| world.end(entry, index, ExecutionOutcome::Unknown));
                    }
                }
            }
            if self.replacements < scope.replacements {
                with(&|world| world.replace(entry));
            }
        }
        for call in &self.calls {
            with(&|world| world.execute(call, true, false));
            if call.is_awaited && self.lost_replies < scope.lost_replies {
                with(&|world| world.execute(call, false, false));
                with(&|world| world.abandon(call));
            }
            if call.write.is_none() && self.stale_reads < scope.stale_reads {
                with(&|world| world.execute(call, true, true));
            }
        }
        successors
    }

    fn arrive(&mut self, entry: usize, index: usize) {
        self.arrivals += 1;
        let decision = self.entries[entry].register.begin(NOW, key(index), PolicyTime(1_000_000));
        match decision {
            BeginDecision::Run => {
                self.entries[entry].stages[index] = KeyStage::Claiming;
                let actions = self.entries[entry].writer.request(&CLAIMS, NOW_MS, key(index));
                self.apply_actions(entry, actions);
            }
            BeginDecision::Join
            | BeginDecision::Replay(_)
            | BeginDecision::ResponseDropped
            | BeginDecision::Unknown
            | BeginDecision::Full => {}
        }
    }

    fn apply_actions(&mut self, entry: usize, actions: ClaimActions) {
        for action in actions {
            let process = self.processes[entry];
            match action {
                ClaimAction::Read => {
                    self.calls.insert(Call { entry, process, write: None, is_awaited: true });
                }
                ClaimAction::Write { expected, content } => {
                    let claims = content.claims.iter().map(|(k, r)| (*k, r.claimant.0)).collect();
                    let write = Some((expected, claims));
                    self.calls.insert(Call { entry, process, write, is_awaited: true });
                }
                ClaimAction::Decide(decided, decision) => {
                    let index = index_of(decided);
                    if self.entries[entry].stages[index] != KeyStage::Claiming {
                        continue;
                    }
                    match decision {
                        ClaimDecision::Won => {
                            self.entries[entry].stages[index] = KeyStage::Ready;
                        }
                        ClaimDecision::Held(_) => self.end(entry, index, ExecutionOutcome::Unknown),
                        ClaimDecision::Full => self.end(entry, index, ExecutionOutcome::NotRun),
                    }
                }
            }
        }
    }

    /// Abandons a request that has not been sent; "not run" is reported to its caller.
    fn cancel(&mut self, entry: usize, index: usize) {
        self.entries[entry].writer.cancel(key(index));
        self.end(entry, index, ExecutionOutcome::NotRun);
    }

    fn send(&mut self, entry: usize, index: usize) {
        if self.entries[entry].register.mark_sent(key(index)) {
            self.entries[entry].stages[index] = KeyStage::Sent;
            self.runs[index] += 1;
        }
    }

    fn end(&mut self, entry: usize, index: usize, outcome: ExecutionOutcome<u8>) {
        let was_sent = self.entries[entry].stages[index] == KeyStage::Sent;
        if was_sent && outcome == ExecutionOutcome::NotRun {
            self.false_not_run += 1;
        }
        self.entries[entry].stages[index] = KeyStage::Idle;
        self.entries[entry].register.end(NOW, key(index), outcome);
    }

    fn replace(&mut self, entry: usize) {
        self.replacements += 1;
        self.processes[entry] += 1;
        self.entries[entry] = Entry::new(self.processes[entry]);
    }

    /// Executes a call at the store. `is_delivered`: its sender receives the reply; `is_stale`: a
    /// read returns the object before its last update.
    fn execute(&mut self, call: &Call, is_delivered: bool, is_stale: bool) {
        self.calls.remove(call);
        self.stale_reads += u8::from(is_stale);
        let reply = match &call.write {
            None if is_stale => {
                ClaimReply::Content(self.version.saturating_sub(1), self.previous.clone())
            }
            None => ClaimReply::Content(self.version, self.shard.clone()),
            Some((expected, claims)) if *expected == self.version => {
                self.previous = std::mem::take(&mut self.shard);
                self.shard = shard_of(claims);
                self.version += 1;
                ClaimReply::Written(self.version)
            }
            Some(_) => ClaimReply::Conflict,
        };
        if !call.is_awaited || call.process != self.processes[call.entry] {
            return;
        }
        let reply = if is_delivered { reply } else { self.lose_reply(call) };
        let actions = self.entries[call.entry].writer.reply(&CLAIMS, NOW_MS, reply);
        self.apply_actions(call.entry, actions);
    }

    /// The sender stops waiting; an update may still take effect later.
    fn abandon(&mut self, call: &Call) {
        self.calls.remove(call);
        let reply = self.lose_reply(call);
        if call.write.is_some() {
            self.calls.insert(Call { is_awaited: false, ..call.clone() });
        }
        if call.process == self.processes[call.entry] {
            let actions = self.entries[call.entry].writer.reply(&CLAIMS, NOW_MS, reply);
            self.apply_actions(call.entry, actions);
        }
    }

    fn lose_reply(&mut self, call: &Call) -> ClaimReply {
        self.lost_replies += 1;
        if call.write.is_some() { ClaimReply::Unknown } else { ClaimReply::ReadFailed }
    }

    fn check(&self) {
        assert!(self.runs.iter().all(|runs| *runs <= 1), "a key was executed twice: {self:#?}");
        assert_eq!(self.false_not_run, 0, "not-run reported after execution: {self:#?}");
    }
}

fn shard_of(claims: &[(KeyDigest, u64)]) -> ClaimShard {
    let mut content = ClaimShard::default();
    for (key, claimant) in claims {
        let record = ClaimRecord { claimant: IncarnationId(*claimant), claimed_ms: NOW_MS };
        content.claims.insert(*key, record);
    }
    content
}

#[rstest::rstest]
#[case::lost_replies(Scope { arrivals: 3, lost_replies: 2, stale_reads: 0, replacements: 0 })]
#[case::stale_reads(Scope { arrivals: 3, lost_replies: 1, stale_reads: 1, replacements: 0 })]
#[case::replaced_process(Scope { arrivals: 3, lost_replies: 1, stale_reads: 0, replacements: 1 })]
fn a_key_runs_at_most_once(#[case] scope: Scope) {
    let count = explore(World::new(), |world| world.successors(scope), World::check);
    println!("states={count}");
    assert!(count > 1_000, "explored only {count} states");
}
