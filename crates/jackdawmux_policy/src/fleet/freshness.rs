//! Finds out that updates are missing although no call to the update source has failed.
//!
//! A watch that waits shows nothing about the source: its reply may have been lost, or the source
//! may have stopped responding after it accepted the call. Heartbeats state the newest change that
//! each instance has applied; an instance that stays behind one of its peers must ask again.

use std::time::Duration;

use strum::EnumCount;

use super::position::{SourcePosition, WatchTopic};
use crate::clock::PolicyTime;

/// Newest change applied, by topic.
pub type NewestChanges = [SourcePosition; WatchTopic::COUNT];

/// Compares the changes that this instance has applied with those that its peers have.
#[derive(Clone, Copy, Debug, Default)]
pub struct FreshnessTracker {
    topics: [TopicFreshness; WatchTopic::COUNT],
}

#[derive(Clone, Copy, Debug, Default)]
struct TopicFreshness {
    applied: SourcePosition,
    /// Newest change that a peer has reported or that a check has covered.
    known: SourcePosition,
    /// Since when a peer has been ahead while this instance was waiting for updates.
    behind_since: Option<PolicyTime>,
    /// Since when a call to the source has been waiting for updates.
    waiting_since: Option<PolicyTime>,
    /// When a call for this topic was last answered, by the source or by a relay.
    replied_at: Option<PolicyTime>,
}

impl FreshnessTracker {
    /// Records the newest change among the updates that were applied.
    pub fn record_applied(&mut self, topic: WatchTopic, newest: SourcePosition) {
        let state = &mut self.topics[topic as usize];
        state.applied = state.applied.max(newest);
        if state.applied >= state.known {
            state.known = state.applied;
            state.behind_since = None;
        }
    }

    /// Records the newest change that a peer has applied.
    pub fn record_peer(&mut self, now: PolicyTime, topic: WatchTopic, newest: SourcePosition) {
        let state = &mut self.topics[topic as usize];
        if newest > state.known {
            state.known = newest;
            state.behind_since.get_or_insert(now);
        }
    }

    /// Records that a call starts to wait for updates. It returns those that peers have reported
    /// before at once.
    pub fn start_call(&mut self, now: PolicyTime, topic: WatchTopic) {
        self.topics[topic as usize].waiting_since = Some(now);
    }

    /// Records that no call waits for updates.
    pub fn end_call(&mut self, topic: WatchTopic) {
        self.topics[topic as usize].waiting_since = None;
    }

    /// Records that a call for a topic was answered, also without updates.
    pub fn record_reply(&mut self, now: PolicyTime, topic: WatchTopic) {
        self.topics[topic as usize].replied_at = Some(now);
    }

    /// Returns the time since the latest reply for a topic; none before the first.
    #[must_use]
    pub fn reply_age(&self, now: PolicyTime, topic: WatchTopic) -> Option<Duration> {
        self.topics[topic as usize].replied_at.map(|at| now.since(at))
    }

    /// Returns whether a peer has been ahead for at least `grace` while a call was waiting; the call
    /// should have returned by then. Each change that a peer reports is returned once.
    pub fn take_behind(&mut self, now: PolicyTime, topic: WatchTopic, grace: Duration) -> bool {
        let state = &mut self.topics[topic as usize];
        let since =
            state.behind_since.zip(state.waiting_since).map(|(behind, call)| behind.max(call));
        let is_behind = since.is_some_and(|since| now.since(since) >= grace);
        if is_behind {
            state.behind_since = None;
        }
        is_behind
    }

    /// Returns the newest change applied, by topic.
    #[must_use]
    pub fn applied(&self) -> NewestChanges {
        self.topics.map(|state| state.applied)
    }
}
