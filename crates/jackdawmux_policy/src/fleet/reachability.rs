//! Whether this instance reaches the endpoints.
//!
//! An instance may be partitioned from all endpoints while callers, the update source and the other
//! instances still reach it. Failed attempts alone do not show this: endpoints crash, and a failure
//! domain loses power. Failures at several endpoints therefore only start a probe of endpoints in
//! different failure domains, and the instance counts as isolated if no connection opens.

use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;
use strum::Display;

use super::choice::EndpointKey;
use crate::clock::PolicyTime;

/// Endpoints to which connections must fail, with none opened in between, before a probe is due.
/// One of two endpoints may crash.
const SUSPECT_ENDPOINTS: usize = 2;
/// Time between the rounds of probes while the instance is isolated.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between the rounds of probes while connections fail now and then.
const SUSPICION_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the end of a partition in which requests still take the path through peers. An
/// endpoint that restarted at the end of the partition is cold, and its registration may still be
/// on the way.
pub const RECOVERY_TIME: Duration = Duration::from_millis(1_200);
/// Time from the first failed connection after which a response shows that open connections have
/// survived. An earlier one may have been on the way when the partition began.
const SURVIVAL_MARGIN: Duration = Duration::from_millis(50);
/// Time without a response after which open connections no longer count as usable.
const SURVIVAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Endpoints of one round of probes.
pub(super) const MAX_PROBES: usize = 4;

/// An endpoint to which a connection is opened as a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Address that it listens on.
    pub address: SocketAddr,
}

/// Endpoints of a round of probes.
pub type ProbeTargets = SmallVec<[ProbeTarget; MAX_PROBES]>;

/// State of the connection to the endpoints as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Reachability {
    /// Connections to endpoints can be opened, as far as is known.
    #[default]
    Reachable,
    /// No connection to any endpoint can be opened.
    Isolated,
    /// Connections can be opened again, since a short while.
    Recovering,
}

/// Tracks whether connections to endpoints can be opened.
#[derive(Clone, Debug, Default)]
pub struct ReachabilityTracker {
    state: Reachability,
    /// Endpoints to which connections have failed since the last one that was opened.
    failed: SmallVec<[EndpointKey; SUSPECT_ENDPOINTS]>,
    /// When the first of these failures was observed.
    failing_since: PolicyTime,
    /// When the last response arrived on any connection.
    responded_at: PolicyTime,
    /// When the last round of probes was started.
    probed_at: Option<PolicyTime>,
    recovers_at: PolicyTime,
    /// Whether nobody who reaches the endpoints was known for a part of the isolation.
    was_alone: bool,
}

impl ReachabilityTracker {
    /// Returns the current state.
    #[must_use]
    pub const fn state(&self) -> Reachability {
        self.state
    }

    /// Returns whether requests take the path through peers.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.state != Reachability::Reachable
    }

    /// Returns since when connections have failed.
    #[must_use]
    pub const fn failing_since(&self) -> PolicyTime {
        self.failing_since
    }

    /// Returns whether connections from before the partition still carry responses.
    #[must_use]
    pub fn has_usable_connections(&self, now: PolicyTime) -> bool {
        self.responded_at > self.failing_since + SURVIVAL_MARGIN
            && now.since(self.responded_at) < SURVIVAL_TIMEOUT
    }

    /// Records that a response arrived.
    pub fn record_response(&mut self, now: PolicyTime) {
        self.responded_at = now;
    }

    /// Records that a connection to an endpoint was opened. Returns whether it ends an isolation.
    pub fn record_connected(&mut self, now: PolicyTime) -> bool {
        self.failed.clear();
        self.probed_at = None;
        if self.state != Reachability::Isolated {
            return false;
        }
        self.state = Reachability::Recovering;
        self.recovers_at = now + RECOVERY_TIME;
        true
    }

    /// Records that no connection to an endpoint could be opened, or that the endpoint did not
    /// acknowledge what was sent to it.
    pub fn record_failed(&mut self, now: PolicyTime, endpoint: EndpointKey) {
        if self.failed.is_empty() && self.state == Reachability::Reachable {
            self.failing_since = now;
        }
        if self.failed.len() < SUSPECT_ENDPOINTS && !self.failed.contains(&endpoint) {
            self.failed.push(endpoint);
        }
    }

    /// Returns whether endpoints are to be probed now, of which there are `count`, and if so starts
    /// a round.
    pub fn start_round(&mut self, now: PolicyTime, count: usize) -> bool {
        let is_suspect = self.failed.len() >= SUSPECT_ENDPOINTS.min(count.max(1));
        let is_due = match self.state {
            Reachability::Isolated => self.last_round_is_older(now, PROBE_INTERVAL),
            _ => is_suspect && self.last_round_is_older(now, SUSPICION_INTERVAL),
        };
        if is_due {
            self.probed_at = Some(now);
        }
        is_due
    }

    /// Records that none of the endpoints of a round could be connected to. Returns whether the
    /// instance counts as isolated from now on.
    pub fn record_failed_round(&mut self, now: PolicyTime) -> bool {
        // A connection that was opened during the round has reset the start of the round.
        if self.probed_at.is_none() || self.state == Reachability::Isolated {
            return false;
        }
        self.was_alone &= self.state == Reachability::Recovering;
        self.state = Reachability::Isolated;
        self.probed_at = Some(now);
        true
    }

    /// Records that no peer is known that reaches the endpoints, or that the update source is lost.
    pub const fn record_alone(&mut self) {
        self.was_alone = true;
    }

    /// Returns whether that was so for a part of the isolation.
    #[must_use]
    pub const fn was_alone(&self) -> bool {
        self.was_alone
    }

    /// Ends the recovery when its time is over. Returns whether it has ended now.
    pub fn take_recovered(&mut self, now: PolicyTime) -> bool {
        let is_over = self.state == Reachability::Recovering && now >= self.recovers_at;
        if is_over {
            self.state = Reachability::Reachable;
        }
        is_over
    }

    fn last_round_is_older(&self, now: PolicyTime, span: Duration) -> bool {
        self.probed_at.is_none_or(|at| now.since(at) >= span)
    }
}
