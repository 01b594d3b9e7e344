//! Requests that wait for tokens, and what the holders were asked and have answered.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use smallvec::SmallVec;

use super::members::{CapMember, CapMembers, TeamHolders};
use super::message::{CapAnswer, HolderId, TeamAsk, TeamId};
use super::{CapRefusal, HOLDER_TIMEOUT, SILENCE_TIME, TOKEN_LIFETIME};
use crate::clock::PolicyTime;

/// Maximum time that a request waits for a holder to reply.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// Retry time if no holder is known or replied.
const UNKNOWN_RETRY: Duration = Duration::from_millis(500);
/// Upper bound of the retry time of a request above the cap.
const MAX_RETRY: Duration = Duration::from_secs(2);
/// Minimum time for which an answer that grants nothing counts. A denial that lapses before the
/// holders of the other regions have replied would be asked for again, in a circle, until the wait
/// ends without a result.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(100);
/// Maximum time for which an answer that grants nothing counts. A holder that has just taken over
/// states up to 5 s, but others may take over from it.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(2);

/// Number of a request that waits, unique in the process.
pub type WaiterId = u64;

/// End of the wait of a request: when its token expires, or why it gets none.
pub type WaitEnd = Result<PolicyTime, CapRefusal>;

#[derive(Clone, Copy, Debug)]
struct CapWaiter {
    id: WaiterId,
    gives_up_at: PolicyTime,
}

/// Latest answer of a holder that granted less than it was asked for.
#[derive(Clone, Copy, Debug)]
struct HolderAnswer {
    holder: HolderId,
    is_denied: bool,
    until: PolicyTime,
}

/// Demand of one team at this instance.
#[derive(Clone, Debug, Default)]
struct TeamDemand {
    waiters: VecDeque<CapWaiter>,
    /// When the tokens expire that no request waits for.
    spare: SmallVec<[PolicyTime; 2]>,
    /// Number of the message that is in flight for the team; zero while it is not sent yet.
    asked: Option<u64>,
    /// Whether a holder failed to reply since the first of the waiting requests arrived.
    met_silence: bool,
    answers: SmallVec<[HolderAnswer; 3]>,
    holders: TeamHolders,
    generation: u64,
    /// Up to when the retry times stated so far use up the rate.
    promised_until: PolicyTime,
    /// Time in which the cap allows one request.
    interval: Duration,
}

impl TeamDemand {
    fn answer(&self, now: PolicyTime, holder: HolderId) -> Option<&HolderAnswer> {
        self.answers.iter().find(|answer| answer.holder == holder && now < answer.until)
    }

    fn refresh(&mut self, members: &CapMembers, team: TeamId) {
        if self.generation == members.generation {
            return;
        }
        self.generation = members.generation;
        self.holders = members.holders(team);
        // Another instance may hold the cap now.
        self.answers.retain(|answer| answer.is_denied);
    }

    /// Refuses the requests that have waited too long.
    fn give_up(&mut self, now: PolicyTime, ends: &mut Vec<(WaiterId, WaitEnd)>) {
        let refusal = CapRefusal::Unknown { retry_after: UNKNOWN_RETRY };
        self.waiters.retain(|waiter| {
            let is_late = now >= waiter.gives_up_at;
            if is_late {
                ends.push((waiter.id, Err(refusal)));
            }
            !is_late
        });
    }

    /// Refusal for one request that all holders refuse or do not answer.
    fn refusal(&mut self, now: PolicyTime) -> CapRefusal {
        let holders = &self.holders;
        let current = self.answers.iter().filter(|answer| {
            now < answer.until && holders.iter().any(|holder| holder.id == answer.holder)
        });
        let shortest = |is_denied: bool| {
            let matching = current.clone().filter(|answer| answer.is_denied == is_denied);
            matching.map(|answer| answer.until).min()
        };
        if let Some(until) = shortest(true) {
            // Consecutive refusals state consecutive times, so that the callers that were refused
            // return at the rate of the cap and not all at once.
            let at = self.promised_until.max(until).min(now + MAX_RETRY);
            self.promised_until = at + self.interval;
            return CapRefusal::OverCap { retry_after: at.since(now) };
        }
        let retry_after = shortest(false).map_or(UNKNOWN_RETRY, |until| until.since(now));
        CapRefusal::Unknown { retry_after: retry_after.min(UNKNOWN_RETRY) }
    }
}

/// A message to a holder whose tokens have not expired.
#[derive(Clone, Debug)]
struct PendingAsk {
    holder: HolderId,
    sent_at: PolicyTime,
    teams: SmallVec<[TeamAsk; 4]>,
    is_timed_out: bool,
}

/// What is asked next for a team.
pub(super) enum NextStep {
    /// Nothing now.
    Wait,
    /// Take from the own bucket; holds the number of tokens.
    TakeOwn(u32),
}

/// The requests that wait, by team, and the messages in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct CapClient {
    teams: HashMap<TeamId, TeamDemand>,
    asks: HashMap<u64, PendingAsk>,
    silent_until: HashMap<HolderId, PolicyTime>,
    /// Teams to be asked for by the next message to each holder.
    queued: Vec<(CapMember, SmallVec<[TeamId; 4]>)>,
    next_sequence: u64,
    ends: Vec<(WaiterId, WaitEnd)>,
    silenced: Vec<CapMember>,
}

impl CapClient {
    /// Removes the teams that are no longer in force. Requests that wait are refused.
    pub(super) fn retain(&mut self, is_kept: impl Fn(&TeamId) -> bool) {
        let Self { teams, ends, .. } = self;
        teams.retain(|team, demand| {
            if is_kept(team) {
                return true;
            }
            let refusal = CapRefusal::Unknown { retry_after: UNKNOWN_RETRY };
            ends.extend(demand.waiters.drain(..).map(|waiter| (waiter.id, Err(refusal))));
            false
        });
    }

    /// Takes a spare token or adds a request to those that wait. Returns the expiry of the token.
    pub(super) fn enter(
        &mut self,
        now: PolicyTime,
        team: TeamId,
        interval: Duration,
        waiter: WaiterId,
        deadline: PolicyTime,
    ) -> Option<PolicyTime> {
        let demand = self.teams.entry(team).or_default();
        demand.interval = interval;
        demand.spare.retain(|expiry| now < *expiry);
        if let Some(expiry) = demand.spare.pop() {
            return Some(expiry);
        }
        if demand.waiters.is_empty() {
            demand.met_silence = false;
        }
        let gives_up_at = deadline.min(now + MAX_WAIT);
        demand.waiters.push_back(CapWaiter { id: waiter, gives_up_at });
        None
    }

    /// Removes a request that no longer waits.
    pub(super) fn cancel(&mut self, team: TeamId, waiter: WaiterId) {
        if let Some(demand) = self.teams.get_mut(&team) {
            demand.waiters.retain(|waiting| waiting.id != waiter);
        }
    }

    /// Hands out tokens to the requests that wait; tokens left over are kept until they expire.
    pub(super) fn add_tokens(
        &mut self,
        now: PolicyTime,
        team: TeamId,
        count: u32,
        expiry: PolicyTime,
    ) {
        let Some(demand) = self.teams.get_mut(&team) else {
            return;
        };
        if now >= expiry {
            return;
        }
        demand.spare.retain(|spare| now < *spare);
        for _ in 0..count {
            match demand.waiters.pop_front() {
                Some(waiter) => self.ends.push((waiter.id, Ok(expiry))),
                None => demand.spare.push(expiry),
            }
        }
    }

    /// Records that a holder granted less than it was asked for.
    pub(super) fn record_answer(
        &mut self,
        now: PolicyTime,
        team: TeamId,
        holder: HolderId,
        is_denied: bool,
        retry_after: Duration,
    ) {
        let Some(demand) = self.teams.get_mut(&team) else {
            return;
        };
        demand.answers.retain(|answer| answer.holder != holder && now < answer.until);
        let until = now + retry_after.clamp(MIN_ANSWER_TIME, MAX_ANSWER_TIME);
        demand.answers.push(HolderAnswer { holder, is_denied, until });
    }

    /// Decides which holder is asked next for a team, or refuses the requests that wait.
    pub(super) fn advance(
        &mut self,
        now: PolicyTime,
        members: &CapMembers,
        team: TeamId,
    ) -> NextStep {
        let Some(demand) = self.teams.get_mut(&team) else {
            return NextStep::Wait;
        };
        demand.give_up(now, &mut self.ends);
        if demand.waiters.is_empty() || demand.asked.is_some() {
            return NextStep::Wait;
        }
        demand.refresh(members, team);
        let silent_until = |holder: &CapMember| {
            self.silent_until.get(&holder.id).copied().filter(|until| now < *until)
        };
        let unanswered = || demand.holders.iter().filter(|it| demand.answer(now, it.id).is_none());
        let mut next = unanswered().find(|holder| silent_until(holder).is_none()).copied();
        let has_answer = unanswered().count() < demand.holders.len();
        if next.is_none() && !has_answer && !demand.met_silence {
            // All holders are silent: ask the one that has been for the longest time.
            next = unanswered().min_by_key(|holder| silent_until(holder)).copied();
        }
        let Some(holder) = next else {
            while let Some(waiter) = demand.waiters.pop_front() {
                let refusal = demand.refusal(now);
                self.ends.push((waiter.id, Err(refusal)));
            }
            return NextStep::Wait;
        };
        if holder.id == members.own {
            return NextStep::TakeOwn(u32::try_from(demand.waiters.len()).unwrap_or(u32::MAX));
        }
        demand.asked = Some(0);
        match self.queued.iter_mut().find(|(queued, _)| *queued == holder) {
            Some((_, teams)) => teams.push(team),
            None => self.queued.push((holder, SmallVec::from_slice(&[team]))),
        }
        NextStep::Wait
    }

    /// Turns the queued teams into messages of at most `limit` teams each.
    pub(super) fn take_asks(
        &mut self,
        now: PolicyTime,
        limit: usize,
    ) -> Vec<(CapMember, u64, Vec<TeamAsk>)> {
        let mut messages = Vec::new();
        for (holder, teams) in std::mem::take(&mut self.queued) {
            for chunk in teams.chunks(limit) {
                self.next_sequence += 1;
                let sequence = self.next_sequence;
                let mut asked: SmallVec<[TeamAsk; 4]> = SmallVec::new();
                for team in chunk {
                    let Some(demand) = self.teams.get_mut(team) else {
                        continue;
                    };
                    let count = u32::try_from(demand.waiters.len()).unwrap_or(u32::MAX);
                    // The requests may have been cancelled or given a spare token meanwhile.
                    demand.asked = (count > 0).then_some(sequence);
                    if count > 0 {
                        asked.push(TeamAsk(*team, count));
                    }
                }
                if asked.is_empty() {
                    continue;
                }
                messages.push((holder, sequence, asked.to_vec()));
                let ask = PendingAsk {
                    holder: holder.id,
                    sent_at: now,
                    teams: asked,
                    is_timed_out: false,
                };
                self.asks.insert(sequence, ask);
            }
        }
        messages
    }

    /// Applies an answer. Returns the teams for which another holder may have to be asked; none if
    /// the answer is late, repeated or unknown.
    pub(super) fn accept(&mut self, now: PolicyTime, answer: &CapAnswer) -> SmallVec<[TeamId; 4]> {
        let expiry = self.asks.get(&answer.sequence).map(|ask| ask.sent_at + TOKEN_LIFETIME);
        // An expired message is left to `tick`, which counts its holder as silent.
        if expiry.is_none_or(|expiry| now >= expiry) {
            return SmallVec::new();
        }
        let (Some(expiry), Some(ask)) = (expiry, self.asks.remove(&answer.sequence)) else {
            return SmallVec::new();
        };
        self.silent_until.remove(&ask.holder);
        for TeamAsk(team, count) in &ask.teams {
            let found = answer.teams.iter().find(|found| found.team == *team);
            let granted = found.map_or(0, |found| found.granted.min(*count));
            self.add_tokens(now, *team, granted, expiry);
            if granted < *count {
                let is_denied = found.is_some_and(|found| found.is_denied);
                let stated = found.map_or(UNKNOWN_RETRY, super::TeamAnswer::retry_after);
                // Not all instances ask again at the same moment.
                let spread = u32::try_from((answer.asker ^ answer.sequence) % 11).unwrap_or(0);
                let retry_after = stated + stated * spread / 100;
                self.record_answer(now, *team, ask.holder, is_denied, retry_after);
            }
        }
        self.release(answer.sequence, &ask.teams);
        ask.teams.iter().map(|asked| asked.0).collect()
    }

    /// Handles holders that did not reply. Returns the teams for which another holder may have to be
    /// asked.
    pub(super) fn tick(&mut self, now: PolicyTime) -> SmallVec<[TeamId; 4]> {
        let mut released = SmallVec::new();
        let due: Vec<u64> = self
            .asks
            .iter()
            .filter(|(_, ask)| !ask.is_timed_out && now >= ask.sent_at + HOLDER_TIMEOUT)
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in due {
            let Some(ask) = self.asks.get_mut(&sequence) else {
                continue;
            };
            ask.is_timed_out = true;
            let (holder, teams) = (ask.holder, ask.teams.clone());
            let before = self.silent_until.insert(holder, now + SILENCE_TIME);
            if before.is_none_or(|until| until <= now)
                && let Some(member) = self.find_member(holder)
            {
                self.silenced.push(member);
            }
            self.release(sequence, &teams);
            for TeamAsk(team, _) in teams {
                if let Some(demand) = self.teams.get_mut(&team) {
                    demand.met_silence = true;
                }
                released.push(team);
            }
        }
        // A late answer still counts until the tokens expire.
        self.asks.retain(|_, ask| now < ask.sent_at + TOKEN_LIFETIME);
        self.silent_until.retain(|_, until| now < *until);
        released
    }

    /// When [`Self::tick`] is due; none if no answer is awaited.
    pub(super) fn next_due(&self) -> Option<PolicyTime> {
        let awaited = self.asks.values().filter(|ask| !ask.is_timed_out);
        awaited.map(|ask| ask.sent_at + HOLDER_TIMEOUT).min()
    }

    pub(super) fn take_ends(&mut self) -> Vec<(WaiterId, WaitEnd)> {
        std::mem::take(&mut self.ends)
    }

    pub(super) fn extend_ends(&mut self, ends: impl Iterator<Item = (WaiterId, WaitEnd)>) {
        self.ends.extend(ends);
    }

    pub(super) fn take_silenced(&mut self) -> Vec<CapMember> {
        std::mem::take(&mut self.silenced)
    }

    /// The message is no longer awaited, so that another holder may be asked.
    fn release(&mut self, sequence: u64, teams: &[TeamAsk]) {
        for TeamAsk(team, _) in teams {
            if let Some(demand) = self.teams.get_mut(team)
                && demand.asked == Some(sequence)
            {
                demand.asked = None;
            }
        }
    }

    fn find_member(&self, holder: HolderId) -> Option<CapMember> {
        let mut holders = self.teams.values().flat_map(|demand| demand.holders.iter());
        holders.find(|member| member.id == holder).copied()
    }
}
