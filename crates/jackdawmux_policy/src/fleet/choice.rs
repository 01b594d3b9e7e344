//! Query for an endpoint, and its result: a choice or a refusal.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use strum::Display;

use super::endpoint_limit::LimitRate;
use super::fair_share::ShareKey;
use super::record::{RouteRecord, TeamRecord};
use crate::clock::PolicyTime;
use crate::identity::stable_hash;

/// Identity of an endpoint within this process: the hash of its registered identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EndpointKey(pub u64);

impl EndpointKey {
    /// Returns the key of a registered identity.
    #[must_use]
    pub fn of(id: &str) -> Self {
        Self(stable_hash(id.as_bytes()))
    }
}

/// Load of an endpoint as reported in one of its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests that the endpoint is processing.
    pub running: u32,
    /// Number of requests in the endpoint's queue.
    pub waiting: u32,
    /// Number of requests that the endpoint can process concurrently.
    pub slots: u32,
    /// How long work takes on its machine now, in percent of the usual time; none if not stated.
    pub work_percent: Option<u32>,
}

/// What a response says about the limit of its endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitStatement {
    /// Nothing that can be relied on.
    #[default]
    Unknown,
    /// The endpoint states no limit.
    Unlimited,
    /// The endpoint takes this rate from all instances together.
    Limited(LimitRate),
}

/// What the endpoint states about itself in a response, whatever the response is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointNotice {
    /// It is leaving and wants no further requests.
    pub is_leaving: bool,
    /// How long it wants no further requests from this instance.
    pub retry_after: Option<Duration>,
    /// How many requests it takes.
    pub limit: LimitStatement,
}

/// Consequence of a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeEffect {
    /// None: nothing new was stated, or the endpoint is no longer known.
    None,
    /// The endpoint gets no further requests until it starts again.
    Leaving,
    /// The endpoint gets no requests from this instance for this time.
    Paused(Duration),
    /// The endpoint takes this rate from all instances together.
    Limited(LimitRate),
    /// The endpoint's limit has ended.
    Unlimited,
}

/// Restricts a choice to endpoints to which connections are open, while none can be opened.
#[derive(Clone, Copy, Debug)]
pub struct ConnectedOnly<'query> {
    /// The endpoints with open connections.
    pub keys: &'query [EndpointKey],
    /// Whether only the object's preferred endpoint may be chosen.
    pub is_preferred_only: bool,
}

/// Query for the endpoint of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct EndpointQuery<'query> {
    /// Service whose endpoints are considered.
    pub service: &'query str,
    /// Route that the request matched.
    pub route: &'query RouteRecord,
    /// Team of the request; none if it carries no key.
    pub team: Option<&'query TeamRecord>,
    /// Hash of the object, or of the request if it is not routed by object.
    pub object: u64,
    /// Endpoints that earlier attempts of the request went to.
    pub attempted: &'query [EndpointKey],
    /// Whether bytes of the request have already reached an endpoint.
    pub is_retry: bool,
    /// Restriction to endpoints with open connections; none if connections can be opened.
    pub connected: Option<ConnectedOnly<'query>>,
    /// When the caller stops waiting; `None` if the request begins now and has the timeout of its route.
    pub deadline: Option<PolicyTime>,
}

impl EndpointQuery<'_> {
    /// Returns whether the team of the request binds it to certain regions.
    #[must_use]
    pub fn is_bound(&self) -> bool {
        self.team.is_some_and(|team| !team.homes.is_empty())
    }

    /// Returns the priority of the request; 0 is the highest.
    #[must_use]
    pub fn priority(&self) -> u32 {
        self.team.and_then(|team| team.priority).unwrap_or(self.route.priority)
    }
}

/// The endpoint chosen for an attempt.
#[derive(Clone, Debug)]
pub struct EndpointChoice {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Registered identity of the endpoint.
    pub id: Arc<str>,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Start of the incarnation in Unix milliseconds; zero if not stated.
    pub started_ms: u64,
    /// Position in the object's preference order; 0 is the preferred endpoint.
    pub rank: usize,
    /// Whether this instance's previous request for the object went to the same endpoint.
    pub is_warm: bool,
    /// Whether the endpoint had stated a limit when it was chosen.
    pub is_limited: bool,
    /// Team in whose share the request is counted until it ends; `None` if it is not counted.
    pub share: Option<ShareKey>,
    /// Wait that was expected at the endpoint; zero if it is not estimated for the service.
    pub expected_wait: Duration,
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ChoiceRefusalReason {
    /// The service has no usable endpoint.
    NoEndpoint,
    /// The usable endpoints are full.
    Full,
    /// The usable endpoints are cold and this instance has used up its share of their rate.
    Cold,
    /// The retry budget is spent.
    RetryBudget,
    /// The usable endpoints want no further requests for some time.
    Paused,
    /// This instance has used up its share of the limits that the usable endpoints state.
    Limited,
    /// The request cannot end before its deadline.
    Deadline,
    /// Requests of higher priority would be late if it waited.
    LowPriority,
    /// The team has more requests in progress than its fair share while the endpoints are loaded.
    OverShare,
}

/// Refusal of a query, with the delay after which a retry makes sense.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceRefusal {
    /// Why no endpoint was chosen.
    pub reason: ChoiceRefusalReason,
    /// Retry-after delay to suggest to the caller.
    pub retry_after: Duration,
    /// Longest retry-after delay if it is to be drawn at random from `retry_after` to this; `None` if
    /// the front spreads it as usual.
    pub max_retry_after: Option<Duration>,
    /// Load of the endpoint that would have been chosen, if the refusal depends on it.
    pub load: Option<LoadView>,
    /// Expected wait of the request, if the refusal depends on it.
    pub wait: Option<WaitView>,
}

/// Expected wait of a request at the time of a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitView {
    /// Time until the endpoint is expected to start the request.
    pub wait: Duration,
    /// Limit that the wait was compared with.
    pub limit: Duration,
    /// Time that the endpoint is expected to need for the request.
    pub work: Duration,
}

/// Load of an endpoint at the time of a decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadView {
    /// Requests that the endpoint holds, as a multiple of its slots.
    pub load: f64,
    /// Limit that the load was compared with.
    pub limit: f64,
    /// Age of the endpoint's latest load report.
    pub report_age: Duration,
}

impl fmt::Display for ChoiceRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.reason.fmt(formatter)?;
        if let Some(WaitView { wait, limit, work }) = self.wait {
            let [wait, limit, work] = [wait, limit, work].map(|span| span.as_millis());
            write!(formatter, " wait_ms={wait} limit_ms={limit} work_ms={work}")?;
        }
        let Some(LoadView { load, limit, report_age }) = self.load else {
            return Ok(());
        };
        let age = report_age.as_millis();
        write!(formatter, " load={load:.2} limit={limit:.2} report_age_ms={age}")
    }
}

pub(super) const fn refuse(reason: ChoiceRefusalReason, retry_after: Duration) -> ChoiceRefusal {
    ChoiceRefusal { reason, retry_after, max_retry_after: None, load: None, wait: None }
}
