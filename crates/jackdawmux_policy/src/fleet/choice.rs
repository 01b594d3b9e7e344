//! What is asked and answered when an endpoint is chosen.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use strum::Display;

use super::record::RouteRecord;
use crate::identity::stable_hash;

/// Identity of an endpoint inside this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EndpointKey(pub u64);

impl EndpointKey {
    /// The key of a registered identity.
    #[must_use]
    pub fn of(id: &str) -> Self {
        Self(stable_hash(id.as_bytes()))
    }
}

/// Load of an endpoint as one of its answers reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it works on.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it can work on at once.
    pub slots: u32,
}

/// What is asked for one send.
#[derive(Clone, Copy, Debug)]
pub struct EndpointQuery<'ask> {
    /// The service.
    pub service: &'ask str,
    /// The route.
    pub route: &'ask RouteRecord,
    /// Hash of the object, or of the request where objects do not matter.
    pub object: u64,
    /// Endpoints that have been tried.
    pub attempted: &'ask [EndpointKey],
    /// Whether bytes of the request have reached an endpoint before.
    pub is_retry: bool,
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct EndpointChoice {
    /// The endpoint.
    pub key: EndpointKey,
    /// Its registered identity.
    pub id: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Place in the object's order; 0 is its own endpoint.
    pub rank: usize,
    /// Whether this instance's latest request for the object went there too.
    pub is_warm: bool,
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ChoiceRefusalReason {
    /// No endpoint of the service may be used.
    NoEndpoint,
    /// All that may be used are full.
    Full,
    /// What may be used is cold and has had its requests.
    Cold,
    /// The retry budget is spent.
    RetryBudget,
}

/// A refusal with the time after which it makes sense to come back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceRefusal {
    /// The reason.
    pub reason: ChoiceRefusalReason,
    /// Retry-after delay to suggest to the caller.
    pub retry_after: Duration,
    /// What was known of the endpoint that would have taken the request.
    pub load: Option<LoadView>,
}

/// Load of an endpoint as a decision saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadView {
    /// Requests held, as a multiple of the slots.
    pub load: f64,
    /// The bound that it was compared with.
    pub limit: f64,
    /// Age of the endpoint's latest report.
    pub report_age: Duration,
}

impl fmt::Display for ChoiceRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.reason.fmt(formatter)?;
        let Some(LoadView { load, limit, report_age }) = self.load else {
            return Ok(());
        };
        let age = report_age.as_millis();
        write!(formatter, " load={load:.2} limit={limit:.2} report_age_ms={age}")
    }
}

pub(super) const fn refuse(reason: ChoiceRefusalReason, retry_after: Duration) -> ChoiceRefusal {
    ChoiceRefusal { reason, retry_after, load: None }
}
