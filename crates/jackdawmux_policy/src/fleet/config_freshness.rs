//! Finds out that peers have a later configuration in force than the update source names.
//!
//! A source that comes back from an older copy names an older configuration until the operator
//! writes the lost one again. Instances that have applied the lost one keep it; a process that
//! starts meanwhile must obtain it from one of them.

use std::time::Duration;

use crate::clock::PolicyTime;

/// A peer with a later configuration.
#[derive(Clone, Debug)]
struct AheadPeer {
    instance: String,
    version: u64,
    since: PolicyTime,
}

/// Compares the version in force here with those that peers state in their heartbeats.
#[derive(Clone, Debug, Default)]
pub struct ConfigFreshness {
    ahead: Option<AheadPeer>,
}

impl ConfigFreshness {
    /// Records the version in force at a peer. `own` is the one in force here; zero if there is none.
    pub fn record_peer(&mut self, now: PolicyTime, own: u64, instance: &str, version: u64) {
        if version <= own {
            return;
        }
        match &mut self.ahead {
            Some(ahead) if ahead.version > version => {}
            Some(ahead) => {
                ahead.version = version;
                instance.clone_into(&mut ahead.instance);
            }
            None => {
                self.ahead = Some(AheadPeer { instance: instance.to_owned(), version, since: now });
            }
        }
    }

    /// Returns the peer to ask for its configuration, if one has been ahead of the version `own` for
    /// at least `grace`. The source usually names the same version within that time. Returns a peer
    /// again only after another `grace`.
    pub fn take_behind(&mut self, now: PolicyTime, own: u64, grace: Duration) -> Option<String> {
        let ahead = self.ahead.as_mut().filter(|ahead| ahead.version > own);
        let Some(ahead) = ahead else {
            self.ahead = None;
            return None;
        };
        if now.since(ahead.since) < grace {
            return None;
        }
        ahead.since = now;
        Some(ahead.instance.clone())
    }
}
