//! Detection of poison requests: requests that crash the upstreams that run them.
//!
//! When an endpoint crashes, every request that it was running becomes a suspect. A suspect is run
//! again only when it is alone on an endpoint, so that a second crash can be attributed to it.
//! After such a crash it is blocked until its entry expires. Instances share their suspects.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::PolicyTime;

/// Digest of the parts of a request that stay the same when its caller sends it again.
pub type RequestDigest = u64;

/// How far a request is suspected of crashing endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectLevel {
    /// No crash is recorded for it.
    Clear,
    /// It ran on an endpoint that crashed; run it alone.
    Suspect,
    /// It was a suspect and ran alone on an endpoint that crashed; refuse it.
    Convicted,
}

/// Limits of a [`SuspectList`].
#[derive(Clone, Copy, Debug)]
pub struct PoisonSettings {
    /// Time for which a request stays in the list after the last crash recorded for it.
    pub retention: Duration,
    /// Maximum number of requests in the list.
    pub limit: usize,
}

#[derive(Clone, Copy, Debug)]
struct SuspectEntry {
    level: SuspectLevel,
    expires_at: PolicyTime,
}

/// Suspect and blocked requests known to this instance.
#[derive(Clone, Debug)]
pub struct SuspectList {
    settings: PoisonSettings,
    entries: HashMap<RequestDigest, SuspectEntry>,
}

impl SuspectList {
    /// Creates an empty list.
    #[must_use]
    pub fn new(settings: PoisonSettings) -> Self {
        Self { settings, entries: HashMap::new() }
    }

    /// Current level of a request; `Clear` when it has no entry or the entry has expired.
    #[must_use]
    pub fn level(&self, now: PolicyTime, digest: RequestDigest) -> SuspectLevel {
        match self.entries.get(&digest) {
            Some(entry) if now < entry.expires_at => entry.level,
            Some(_) | None => SuspectLevel::Clear,
        }
    }

    /// Records that an endpoint crashed while it ran the request; `was_alone` when it ran no other
    /// request. Returns the new level, to be shared with peers.
    pub fn record_crash(
        &mut self,
        now: PolicyTime,
        digest: RequestDigest,
        was_alone: bool,
    ) -> SuspectLevel {
        let level = match (self.level(now, digest), was_alone) {
            (SuspectLevel::Clear | SuspectLevel::Suspect, false) => SuspectLevel::Suspect,
            (SuspectLevel::Clear, true) => SuspectLevel::Suspect,
            (SuspectLevel::Suspect, true) | (SuspectLevel::Convicted, _) => SuspectLevel::Convicted,
        };
        self.apply(now, digest, level);
        level
    }

    /// Removes a request from the list after it ran alone without a crash.
    pub fn clear(&mut self, digest: RequestDigest) {
        self.entries.remove(&digest);
    }

    /// Applies a level, from this instance or a peer; the higher of the old and the new level is
    /// kept. When the list is full of unexpired entries, a new request is not added.
    pub fn apply(&mut self, now: PolicyTime, digest: RequestDigest, level: SuspectLevel) {
        if self.entries.len() >= self.settings.limit {
            self.entries.retain(|_, entry| now < entry.expires_at);
        }
        if self.entries.len() >= self.settings.limit && !self.entries.contains_key(&digest) {
            return;
        }
        let highest = self.level(now, digest).max(level);
        let expires_at = now + self.settings.retention;
        self.entries.insert(digest, SuspectEntry { level: highest, expires_at });
    }
}
