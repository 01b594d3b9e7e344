//! Requests that bring down the upstreams that run them.
//!
//! When an endpoint dies, every request it was running becomes a suspect. A suspect is run again
//! only alone on an endpoint, so that a second death is blamed on it and on nothing else; then it
//! is refused for as long as it is remembered. Suspicion is shared between instances.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::PolicyTime;

/// Digest of what makes a request the same request when its caller sends it again.
pub type RequestDigest = u64;

/// Standing of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectLevel {
    /// Nothing is known against it.
    Clear,
    /// It ran on an endpoint that died; run it alone.
    Suspect,
    /// It ran alone on an endpoint that died; never run it.
    Convicted,
}

/// Bounds of the list.
#[derive(Clone, Copy, Debug)]
pub struct PoisonSettings {
    /// Time for which a request is remembered after its last death.
    pub expiry: Duration,
    /// Most requests remembered.
    pub limit: usize,
}

#[derive(Clone, Copy, Debug)]
struct SuspectEntry {
    level: SuspectLevel,
    expires: PolicyTime,
}

/// Suspects known to this instance.
#[derive(Clone, Debug)]
pub struct SuspectList {
    settings: PoisonSettings,
    entries: HashMap<RequestDigest, SuspectEntry>,
}

impl SuspectList {
    /// An empty list.
    #[must_use]
    pub fn new(settings: PoisonSettings) -> Self {
        Self { settings, entries: HashMap::new() }
    }

    /// Standing of a request.
    #[must_use]
    pub fn level(&self, now: PolicyTime, digest: RequestDigest) -> SuspectLevel {
        match self.entries.get(&digest) {
            Some(entry) if now < entry.expires => entry.level,
            Some(_) | None => SuspectLevel::Clear,
        }
    }

    /// An endpoint died while it ran the request; `was_alone` when it ran nothing else.
    /// Returns the new standing, to be shared with peers.
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

    /// A suspect ran alone to its end without harm.
    pub fn clear(&mut self, digest: RequestDigest) {
        self.entries.remove(&digest);
    }

    /// A peer shared a standing; the graver one counts.
    pub fn apply(&mut self, now: PolicyTime, digest: RequestDigest, level: SuspectLevel) {
        if self.entries.len() >= self.settings.limit {
            self.entries.retain(|_, entry| now < entry.expires);
        }
        if self.entries.len() >= self.settings.limit && !self.entries.contains_key(&digest) {
            return;
        }
        let graver = self.level(now, digest).max(level);
        let expires = now + self.settings.expiry;
        self.entries.insert(digest, SuspectEntry { level: graver, expires });
    }
}
