//! What callers, endpoints and look-ups look like on the wire.

use std::net::SocketAddr;
use std::time::Duration;

use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use jackdawmux_policy::fleet::choice::LoadReport;

/// What a caller's request says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHeaders {
    /// Identity of this attempt of the caller; endpoints echo it.
    pub attempt: Option<HeaderValue>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The object that the request concerns.
    pub object: Option<HeaderValue>,
}

/// What an endpoint's answer says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// Attempt that it answers.
    pub attempt: Option<HeaderValue>,
    /// The endpoint did not run the request.
    pub is_not_run: bool,
    /// Another endpoint than the expected one has the address; the request was not run.
    pub is_misdirected: bool,
    /// Carries the endpoint's signature.
    pub is_signed: bool,
    /// The body is encoded, so it is not what the endpoint was asked for.
    pub is_encoded: bool,
    /// Load of the endpoint.
    pub load: Option<LoadReport>,
}

/// Who asks where to connect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LookupQuery {
    /// The caller's region.
    pub region: String,
}

/// Value of a parameter in the query of a look-up.
#[must_use]
pub fn query_value<'query>(query: &'query str, name: &str) -> Option<&'query str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find_map(|(found, value)| (found == name).then_some(value))
}

/// Marks a request to an endpoint: milliseconds that are left under `deadline`, and the endpoint
/// that is meant under `meant`.
pub fn insert_attempt_headers(
    headers: &mut HeaderMap,
    (deadline, time_left): (HeaderName, Duration),
    (meant, endpoint): (HeaderName, &str),
) {
    let millis = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(deadline, HeaderValue::from(millis));
    match HeaderValue::from_str(endpoint) {
        Ok(value) => {
            headers.insert(meant, value);
        }
        Err(error) => log::warn!("event=endpoint-unnamed endpoint={endpoint:?} error={error}"),
    }
}

/// Translation between the wire and the product's types.
pub trait WireDialect: Send + Sync + std::fmt::Debug {
    /// Reads the headers of a caller's request.
    fn read_request(&self, headers: &HeaderMap) -> RequestHeaders;

    /// Marks a request to an endpoint with its deadline and the endpoint that is meant.
    fn write_attempt_headers(&self, headers: &mut HeaderMap, time_left: Duration, endpoint: &str);

    /// Reads the head of an endpoint's answer.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHeaders;

    /// Path on which the readiness of an instance is asked for.
    fn ready_path(&self) -> &'static str;

    /// Path of look-ups.
    fn lookup_path(&self) -> &'static str;

    /// Reads the query of a look-up.
    fn read_lookup(&self, query: &str) -> LookupQuery;

    /// Body of the answer to a look-up, as JSON.
    fn lookup_response(&self, addresses: &[SocketAddr], ttl: Duration) -> Vec<u8>;
}
