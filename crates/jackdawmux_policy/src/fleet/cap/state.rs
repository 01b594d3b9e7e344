//! The part that one instance has in the caps: what it holds and what it asks for.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::client::{CapClient, NextStep, WaitEnd, WaiterId};
use super::holder::CapHolder;
use super::members::{CapMembers, MemberChange};
use super::message::{CapAnswer, CapAsk, HolderId, MAX_TEAMS_PER_ASK, TeamAnswer, TeamAsk, TeamId};
use super::{MAX_PROOF_AGE, TAKEOVER_DELAY, TOKEN_LIFETIME};
use crate::clock::PolicyTime;

/// Cap of a team over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapLimit {
    /// Requests per second.
    pub rate: f64,
    /// Requests in addition to the rate.
    pub burst: f64,
}

impl CapLimit {
    /// Returns the limit, or none if the rate is not a positive number.
    #[must_use]
    pub fn new(rate: f64, burst: f64) -> Option<Self> {
        let is_limited = rate.is_finite() && rate > 0.0;
        let burst = if burst.is_finite() { burst.max(0.0) } else { 0.0 };
        is_limited.then_some(Self { rate, burst })
    }

    fn interval(&self) -> Duration {
        Duration::try_from_secs_f64(1.0 / self.rate).unwrap_or(Duration::MAX)
    }
}

/// Caps as one instance sees them.
#[derive(Clone, Debug)]
pub struct CapState {
    asker: u64,
    own_region: String,
    members: CapMembers,
    holder: CapHolder,
    client: CapClient,
    /// Start of the latest read that confirmed the list of instances.
    proven_at: Option<PolicyTime>,
    /// When this process took over the registration of an earlier one.
    inherited_at: Option<PolicyTime>,
}

impl CapState {
    /// Creates the state of an instance that knows no others. `asker` is a random number.
    #[must_use]
    pub fn new(asker: u64, own: &str, own_region: &str) -> Self {
        Self {
            asker,
            own_region: own_region.to_owned(),
            members: CapMembers::new(HolderId::of(own), own_region),
            holder: CapHolder::default(),
            client: CapClient::default(),
            proven_at: None,
            inherited_at: None,
        }
    }

    /// Applies the caps of the configuration in force.
    pub fn set_limits(&mut self, now: PolicyTime, limits: &HashMap<TeamId, CapLimit>) {
        self.holder.set_limits(now, limits);
        self.client.retain(|team| limits.contains_key(team));
    }

    /// Applies the registration of an instance; `address` is its cap address, if it states one.
    pub fn register(
        &mut self,
        now: PolicyTime,
        name: &str,
        region: &str,
        address: Option<SocketAddr>,
    ) -> MemberChange {
        let id = HolderId::of(name);
        let Some(address) = address else {
            return self.remove(now, id);
        };
        if self.members.region_of(id).is_some_and(|known| known != region) {
            self.remove(now, id);
        }
        let change = self.members.insert(id, region, address);
        if change == MemberChange::Joined && id == self.members.own && !self.has_predecessor(now) {
            self.holder.start(now);
        }
        self.holder.set_divisor(now, self.members.region_count());
        change
    }

    /// Applies the removal of an instance's registration.
    pub fn withdraw(&mut self, now: PolicyTime, name: &str) -> MemberChange {
        let id = HolderId::of(name);
        if self.members.region_of(id).is_none() && id != self.members.own {
            // It may have been registered while nothing was read, and have held caps of this region.
            self.holder.record_left(now, id, self.members.own);
        }
        self.remove(now, id)
    }

    /// Applies a complete list of the instances with their regions and cap addresses.
    pub fn replace<'list>(
        &mut self,
        now: PolicyTime,
        list: impl Iterator<Item = (&'list str, &'list str, Option<SocketAddr>)>,
    ) {
        // The list does not tell which instances held caps since the last read and have left.
        let has_gap = self.proven_at.is_none_or(|at| now.since(at) >= TAKEOVER_DELAY);
        let mut listed = HashSet::new();
        for (name, region, address) in list {
            listed.insert(HolderId::of(name));
            self.register(now, name, region, address);
        }
        for id in self.members.ids() {
            if !listed.contains(&id) {
                self.remove(now, id);
            }
        }
        if has_gap && !self.has_predecessor(now) {
            self.holder.restart_all(now + MAX_PROOF_AGE);
        }
    }

    /// This process replaced the registration of an earlier one of its name, which has ended. The
    /// holders of the caps are the same as before, so the empty buckets fill at once.
    pub fn inherit(&mut self, now: PolicyTime) {
        self.inherited_at = Some(now);
        self.holder.resume(now);
    }

    fn has_predecessor(&self, now: PolicyTime) -> bool {
        self.inherited_at.is_some_and(|at| now.since(at) < TAKEOVER_DELAY)
    }

    /// States the age of the read that confirmed the list of instances; none if there was none.
    pub fn observe_proof(&mut self, now: PolicyTime, age: Option<Duration>) {
        self.proven_at = age.map(|age| now.before(age));
    }

    /// Grants nothing from now on. Tokens can still be asked for.
    pub const fn stop_granting(&mut self) {
        self.holder.stop();
    }

    /// Requests a token. Returns the end of the wait if it is known at once; otherwise
    /// [`Self::take_ends`] states it later.
    pub fn acquire(
        &mut self,
        now: PolicyTime,
        team: TeamId,
        limit: CapLimit,
        waiter: WaiterId,
        deadline: PolicyTime,
    ) -> Option<WaitEnd> {
        let spare = self.client.enter(now, team, limit.interval(), waiter, deadline);
        if let Some(expiry) = spare {
            return Some(Ok(expiry));
        }
        let others = self.client.take_ends();
        self.advance(now, team);
        let mut ends = self.client.take_ends();
        let own = ends.iter().position(|(ended, _)| *ended == waiter);
        let own = own.map(|position| ends.swap_remove(position).1);
        self.client.extend_ends(others.into_iter().chain(ends));
        own
    }

    /// The request no longer waits.
    pub fn cancel(&mut self, team: TeamId, waiter: WaiterId) {
        self.client.cancel(team, waiter);
    }

    /// Returns a token that was not used.
    pub fn give_back(&mut self, now: PolicyTime, team: TeamId, expiry: PolicyTime) {
        self.client.add_tokens(now, team, 1, expiry);
    }

    /// Answers another instance.
    pub fn serve(&mut self, now: PolicyTime, ask: &CapAsk) -> CapAnswer {
        let teams = ask.teams.iter().take(MAX_TEAMS_PER_ASK).map(|TeamAsk(team, count)| {
            let (granted, denial) =
                self.holder.take(now, &self.members, self.proven_at, *team, *count);
            let retry_after = denial.map_or(Duration::ZERO, |denial| denial.retry_after);
            TeamAnswer {
                team: *team,
                granted,
                is_denied: denial.is_some_and(|denial| denial.is_denied),
                retry_ms: u32::try_from(retry_after.as_micros().div_ceil(1_000))
                    .unwrap_or(u32::MAX),
            }
        });
        CapAnswer { asker: ask.asker, sequence: ask.sequence, teams: teams.collect() }
    }

    /// Applies the answer of a holder. Returns whether it was awaited.
    pub fn accept(&mut self, now: PolicyTime, answer: &CapAnswer) -> bool {
        if answer.asker != self.asker {
            return false;
        }
        let teams = self.client.accept(now, answer);
        for team in &teams {
            self.advance(now, *team);
        }
        !teams.is_empty()
    }

    /// Handles holders that did not reply and requests that have waited too long.
    pub fn tick(&mut self, now: PolicyTime) {
        for team in self.client.tick(now) {
            self.advance(now, team);
        }
    }

    /// When [`Self::tick`] is due; none while no answer is awaited.
    #[must_use]
    pub fn next_due(&self) -> Option<PolicyTime> {
        self.client.next_due()
    }

    /// Takes the messages to send. Requests of several teams and requests that arrived together
    /// share a message.
    pub fn take_asks(&mut self, now: PolicyTime) -> Vec<(SocketAddr, CapAsk)> {
        let asks = self.client.take_asks(now, MAX_TEAMS_PER_ASK).into_iter();
        let asks = asks.map(|(holder, sequence, teams)| {
            (holder.address, CapAsk { asker: self.asker, sequence, teams })
        });
        asks.collect()
    }

    /// Takes the requests that no longer wait.
    pub fn take_ends(&mut self) -> Vec<(WaiterId, WaitEnd)> {
        self.client.take_ends()
    }

    /// Takes the addresses of the holders that began to be silent.
    pub fn take_silenced(&mut self) -> Vec<SocketAddr> {
        self.client.take_silenced().iter().map(|holder| holder.address).collect()
    }

    fn advance(&mut self, now: PolicyTime, team: TeamId) {
        while let NextStep::TakeOwn(count) = self.client.advance(now, &self.members, team) {
            let own = self.members.own;
            let (granted, denial) =
                self.holder.take(now, &self.members, self.proven_at, team, count);
            self.client.add_tokens(now, team, granted, now + TOKEN_LIFETIME);
            if let Some(denial) = denial {
                let (is_denied, retry_after) = (denial.is_denied, denial.retry_after);
                self.client.record_answer(now, team, own, is_denied, retry_after);
            }
        }
    }

    fn remove(&mut self, now: PolicyTime, id: HolderId) -> MemberChange {
        let is_here = self.members.region_of(id) == Some(self.own_region.as_str());
        if !self.members.remove(id) {
            return MemberChange::Same;
        }
        if is_here && id != self.members.own {
            self.holder.record_left(now, id, self.members.own);
        }
        self.holder.set_divisor(now, self.members.region_count());
        MemberChange::Left
    }
}
