//! Wire format of callers' requests, endpoints' responses and lookups.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use axum::http::header::RETRY_AFTER;
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use jackdawmux_policy::fleet::choice::{LimitStatement, LoadReport};
use jackdawmux_policy::fleet::endpoint_limit::LimitRate;
use jackdawmux_policy::fleet::record::TeamKey;

/// Key of a team in a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// The request carries none.
    #[default]
    Missing,
    /// The request carries several, or one in another format.
    Malformed,
    /// The request carries this key.
    Key(TeamKey),
}

/// Values read from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHeaders {
    /// Identity of this attempt of the caller; endpoints echo it in their responses.
    pub attempt: Option<HeaderValue>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The object that the request is about.
    pub object: Option<HeaderValue>,
    /// Key of the caller's team.
    pub credential: Credential,
}

/// Values read from the status and headers of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// Identity of the attempt that the response belongs to.
    pub attempt: Option<HeaderValue>,
    /// The endpoint did not run the request.
    pub is_not_run: bool,
    /// The address now belongs to an endpoint other than the expected one; the request was not
    /// run.
    pub is_misdirected: bool,
    /// The response carries the endpoint's signature.
    pub is_signed: bool,
    /// The body has a content coding that was not requested.
    pub is_encoded: bool,
    /// Load that the endpoint reports.
    pub load: Option<LoadReport>,
    /// The endpoint is leaving and wants no further requests.
    pub is_leaving: bool,
    /// How long the endpoint wants no further requests from this instance.
    pub retry_after: Option<Duration>,
    /// Requests per second that the endpoint takes from all instances together.
    pub limit: LimitStatement,
}

/// Parameters of a lookup, which returns the addresses that a caller may connect to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LookupQuery {
    /// The caller's region.
    pub region: String,
}

/// Returns the value of a parameter in the query of a lookup, without percent-decoding.
#[must_use]
pub fn query_value<'query>(query: &'query str, name: &str) -> Option<&'query str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find_map(|(found, value)| (found == name).then_some(value))
}

/// Sets two headers of a request to an endpoint: `deadline` to the remaining time in milliseconds,
/// and `expected` to the identity of the endpoint that should run it.
pub fn insert_attempt_headers(
    headers: &mut HeaderMap,
    (deadline, time_left): (HeaderName, Duration),
    (expected, endpoint): (HeaderName, &str),
) {
    let millis = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(deadline, HeaderValue::from(millis));
    match HeaderValue::from_str(endpoint) {
        Ok(value) => {
            headers.insert(expected, value);
        }
        Err(error) => log::warn!("event=endpoint-unnamed endpoint={endpoint:?} error={error}"),
    }
}

/// Reads for how long an endpoint that turned a request away with status 503 wants no further ones.
#[must_use]
pub fn read_retry_after(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(RETRY_AFTER).filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)?;
    let retry_after = parse_retry_after(value, SystemTime::now());
    if retry_after.is_none() {
        log::warn!("event=header-unread header=retry-after value={value:?}");
    }
    retry_after
}

/// Reads the limit that an endpoint states in a header, as a decimal number of requests per second.
#[must_use]
pub fn read_limit(name: &HeaderName, headers: &HeaderMap) -> LimitStatement {
    let Some(value) = headers.get(name) else {
        return LimitStatement::Unlimited;
    };
    let rate = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    match rate.and_then(LimitRate::per_second) {
        Some(rate) => LimitStatement::Limited(rate),
        None => {
            log::warn!("event=header-unread header={name} value={value:?}");
            LimitStatement::Unknown
        }
    }
}

/// Parses the value of a `Retry-After` header of a response received at `now`: a number of seconds,
/// which may have fractions, or a date.
#[must_use]
pub fn parse_retry_after(value: &HeaderValue, now: SystemTime) -> Option<Duration> {
    let text = value.to_str().ok()?.trim();
    if let Ok(seconds) = text.parse::<f64>() {
        return Duration::try_from_secs_f64(seconds).ok();
    }
    let date = httpdate::parse_http_date(text).ok()?;
    Some(date.duration_since(now).unwrap_or_default())
}

/// Translates between the wire format and the types of this crate.
pub trait WireDialect: Send + Sync + std::fmt::Debug {
    /// Reads the headers of a caller's request.
    fn read_request(&self, headers: &HeaderMap) -> RequestHeaders;

    /// Sets the headers that carry the remaining time and the expected endpoint of an attempt.
    fn write_attempt_headers(&self, headers: &mut HeaderMap, time_left: Duration, endpoint: &str);

    /// Prepares the headers that concern teams for an endpoint: removes the key and the name that the
    /// caller stated, and sets the name of the team that holds the key. Formats without teams have no
    /// such headers.
    fn write_team(&self, _headers: &mut HeaderMap, _team: Option<&str>) {}

    /// Sets the key again in a request that another instance is to look up.
    fn write_key(&self, _headers: &mut HeaderMap, _key: &TeamKey) {}

    /// Reads the status and headers of an endpoint's response.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHeaders;

    /// Path of the readiness check.
    fn ready_path(&self) -> &'static str;

    /// Path of lookups.
    fn lookup_path(&self) -> &'static str;

    /// Reads the query string of a lookup.
    fn read_lookup(&self, query: &str) -> LookupQuery;

    /// Encodes the JSON body of the response to a lookup.
    fn lookup_response(&self, addresses: &[SocketAddr], ttl: Duration) -> Vec<u8>;
}
