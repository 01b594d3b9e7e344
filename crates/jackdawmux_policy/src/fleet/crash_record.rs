//! Requests that bring down every endpoint that runs them.
//!
//! A request whose connection ended without an answer is blamed once its endpoint proves to be down
//! or to have started anew. An answer acquits it: a sound request that happened to run beside a
//! crash is answered soon after, a poisonous one never is.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::choice::EndpointKey;
use crate::clock::PolicyTime;

/// Crashes over all instances after which a request is not sent any more.
const CRASH_LIMIT: u32 = 3;
/// Time for which crashes are remembered after the latest one.
const CRASH_EXPIRY: Duration = Duration::from_secs(60);
/// Time within which an endpoint must prove to be down for its lost requests to be blamed.
const PROOF_WITHIN: Duration = Duration::from_secs(5);
/// Lost requests that await such a proof.
const PENDING_LIMIT: usize = 256;
/// Requests with crashes that are remembered.
const RECORD_LIMIT: usize = 1_024;
/// Requests that one heartbeat names.
pub const SHARED_LIMIT: usize = 8;

/// Digest of what makes a request the same when its caller sends it again.
pub type RequestDigest = u64;

/// Requests with the crashes that one instance has seen.
pub type SharedCrashes = SmallVec<[(RequestDigest, u32); SHARED_LIMIT]>;

#[derive(Clone, Copy, Debug)]
struct LostRequest {
    digest: RequestDigest,
    endpoint: EndpointKey,
    at: PolicyTime,
}

#[derive(Clone, Debug, Default)]
struct CrashCount {
    own: u32,
    others: HashMap<String, u32>,
    latest: PolicyTime,
}

impl CrashCount {
    fn total(&self) -> u32 {
        self.own + self.others.values().sum::<u32>()
    }
}

/// Crashes by request, seen here and told by others.
#[derive(Clone, Debug, Default)]
pub struct CrashRecord {
    pending: Vec<LostRequest>,
    counts: HashMap<RequestDigest, CrashCount>,
}

impl CrashRecord {
    /// Whether nothing is held against any request, so that digests need not be worked out.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// A request's connection ended without an answer.
    pub fn record_lost(&mut self, now: PolicyTime, digest: RequestDigest, endpoint: EndpointKey) {
        self.pending.retain(|lost| now.since(lost.at) <= PROOF_WITHIN);
        if self.pending.len() < PENDING_LIMIT {
            self.pending.push(LostRequest { digest, endpoint, at: now });
        }
    }

    /// An endpoint proved to be down or to have started anew.
    pub fn record_endpoint_down(&mut self, now: PolicyTime, endpoint: EndpointKey) {
        let (proved, rest): (Vec<LostRequest>, Vec<LostRequest>) =
            self.pending.drain(..).partition(|lost| lost.endpoint == endpoint);
        self.pending = rest;
        for lost in proved {
            if now.since(lost.at) <= PROOF_WITHIN {
                self.record_crash(now, lost.digest);
            }
        }
    }

    /// A request was answered.
    pub fn clear(&mut self, digest: RequestDigest) {
        self.counts.remove(&digest);
        self.pending.retain(|lost| lost.digest != digest);
    }

    /// Another instance tells what it has seen.
    pub fn apply_peer_crashes(
        &mut self,
        now: PolicyTime,
        instance: &str,
        crashes: &[(RequestDigest, u32)],
    ) {
        for (digest, count) in crashes {
            if let Some(entry) = self.entry(now, *digest) {
                let known = entry.others.insert(instance.to_owned(), *count).unwrap_or(0);
                if *count > known {
                    entry.latest = now;
                }
            }
        }
    }

    /// Whether a request is not to be sent any more.
    #[must_use]
    pub fn is_blocked(&self, now: PolicyTime, digest: RequestDigest) -> bool {
        self.counts.get(&digest).is_some_and(|count| {
            count.total() >= CRASH_LIMIT && now.since(count.latest) <= CRASH_EXPIRY
        })
    }

    /// What this instance has seen, for the others.
    #[must_use]
    pub fn shared(&self, now: PolicyTime) -> SharedCrashes {
        let fresh = |count: &CrashCount| now.since(count.latest) <= CRASH_EXPIRY;
        self.counts
            .iter()
            .filter(|(_, count)| count.own > 0 && fresh(count))
            .map(|(digest, count)| (*digest, count.own))
            .take(SHARED_LIMIT)
            .collect()
    }

    fn record_crash(&mut self, now: PolicyTime, digest: RequestDigest) {
        if let Some(entry) = self.entry(now, digest) {
            entry.own += 1;
            entry.latest = now;
        }
    }

    fn entry(&mut self, now: PolicyTime, digest: RequestDigest) -> Option<&mut CrashCount> {
        self.counts.retain(|_, count| now.since(count.latest) <= CRASH_EXPIRY);
        if self.counts.len() >= RECORD_LIMIT && !self.counts.contains_key(&digest) {
            return None;
        }
        let fresh = CrashCount { latest: now, ..CrashCount::default() };
        Some(self.counts.entry(digest).or_insert(fresh))
    }
}
