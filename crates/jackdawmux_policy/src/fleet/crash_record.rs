//! Poison request detection: blocks requests that crash every endpoint that runs them.
//!
//! A request whose connection ended without a response is a suspect. A crash is recorded for it
//! once its endpoint is found to be down or restarted. A refused connection shows this only if a
//! connection to another endpoint can be opened afterwards; otherwise this instance may be
//! partitioned from all endpoints, none of which has crashed. A response clears the request: a harmless
//! request that happened to run during a crash gets a response soon after, and a poison request
//! never does.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use super::choice::EndpointKey;
use crate::clock::PolicyTime;

/// Number of crashes over all instances from which on a request is blocked.
const CRASH_LIMIT: u32 = 3;
/// Time for which the crashes of a request are kept after the latest one.
const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// Time within which an endpoint must be found to be down for a crash to be recorded for the
/// requests that were lost there.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of lost requests that wait for such a confirmation.
const MAX_PENDING_REQUESTS: usize = 256;
/// Maximum number of requests for which crashes are kept.
const MAX_RECORDED_REQUESTS: usize = 1_024;
/// Maximum number of requests that one heartbeat reports.
pub const SHARED_LIMIT: usize = 8;

/// Digest of the parts of a request that stay the same when its caller sends it again.
pub type RequestDigest = u64;

/// Requests with the number of crashes that one instance has recorded.
pub type SharedCrashes = SmallVec<[(RequestDigest, u32); SHARED_LIMIT]>;

#[derive(Clone, Copy, Debug)]
struct LostRequest {
    digest: RequestDigest,
    endpoint: EndpointKey,
    at: PolicyTime,
    /// Whether the endpoint has refused a connection since.
    is_refused: bool,
}

#[derive(Clone, Debug, Default)]
struct CrashCount {
    own: u32,
    peers: HashMap<String, u32>,
    latest: PolicyTime,
}

impl CrashCount {
    fn total(&self) -> u32 {
        self.own + self.peers.values().sum::<u32>()
    }
}

/// Crashes by request, recorded by this instance and reported by its peers.
#[derive(Clone, Debug, Default)]
pub struct CrashRecord {
    pending: Vec<LostRequest>,
    counts: HashMap<RequestDigest, CrashCount>,
}

impl CrashRecord {
    /// Returns whether no crashes are recorded, so that digests need not be computed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Records that the connection of a request ended without a response.
    pub fn record_lost(&mut self, now: PolicyTime, digest: RequestDigest, endpoint: EndpointKey) {
        self.pending.retain(|lost| now.since(lost.at) <= CONFIRMATION_TIMEOUT);
        if self.pending.len() < MAX_PENDING_REQUESTS {
            self.pending.push(LostRequest { digest, endpoint, at: now, is_refused: false });
        }
    }

    /// Records that an endpoint refused a connection.
    pub fn record_refused(&mut self, endpoint: EndpointKey) {
        for lost in self.pending.iter_mut().filter(|lost| lost.endpoint == endpoint) {
            lost.is_refused = true;
        }
    }

    /// Records that a connection to an endpoint was opened: the endpoints that refused one before
    /// are down.
    pub fn record_connected(&mut self, now: PolicyTime) {
        if self.pending.iter().any(|lost| lost.is_refused) {
            self.record_crashes(now, |lost| lost.is_refused);
        }
    }

    /// Drops the suspects: this instance was partitioned from all endpoints.
    pub fn record_isolation(&mut self) {
        self.pending.clear();
    }

    /// Records that an endpoint was found to be restarted.
    pub fn record_endpoint_down(&mut self, now: PolicyTime, endpoint: EndpointKey) {
        self.record_crashes(now, |lost| lost.endpoint == endpoint);
    }

    fn record_crashes(&mut self, now: PolicyTime, is_confirmed: impl Fn(&LostRequest) -> bool) {
        let (confirmed, rest): (Vec<LostRequest>, Vec<LostRequest>) =
            self.pending.drain(..).partition(is_confirmed);
        self.pending = rest;
        for lost in confirmed {
            if now.since(lost.at) <= CONFIRMATION_TIMEOUT {
                self.record_crash(now, lost.digest);
            }
        }
    }

    /// Clears a request that got a response.
    pub fn clear(&mut self, digest: RequestDigest) {
        self.counts.remove(&digest);
        self.pending.retain(|lost| lost.digest != digest);
    }

    /// Applies the crash counts that another instance reported.
    pub fn apply_peer_crashes(
        &mut self,
        now: PolicyTime,
        instance: &str,
        crashes: &[(RequestDigest, u32)],
    ) {
        for (digest, count) in crashes {
            if let Some(entry) = self.entry(now, *digest) {
                let previous = entry.peers.insert(instance.to_owned(), *count).unwrap_or(0);
                if *count > previous {
                    entry.latest = now;
                }
            }
        }
    }

    /// Returns whether a request must not be sent any more.
    #[must_use]
    pub fn is_blocked(&self, now: PolicyTime, digest: RequestDigest) -> bool {
        self.counts.get(&digest).is_some_and(|count| {
            count.total() >= CRASH_LIMIT && now.since(count.latest) <= CRASH_RETENTION
        })
    }

    /// Returns the crashes recorded by this instance, to be reported to its peers.
    #[must_use]
    pub fn shared(&self, now: PolicyTime) -> SharedCrashes {
        let fresh = |count: &CrashCount| now.since(count.latest) <= CRASH_RETENTION;
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
        self.counts.retain(|_, count| now.since(count.latest) <= CRASH_RETENTION);
        if self.counts.len() >= MAX_RECORDED_REQUESTS && !self.counts.contains_key(&digest) {
            return None;
        }
        let fresh = CrashCount { latest: now, ..CrashCount::default() };
        Some(self.counts.entry(digest).or_insert(fresh))
    }
}
