//! The native headers and lookups of this system.

use std::net::SocketAddr;
use std::time::Duration;

use axum::http::StatusCode;
use axum::http::header::{CONTENT_ENCODING, HeaderMap, HeaderName};
use jackdawmux_front::dialect::{
    insert_attempt_headers, query_value, read_limit, read_retry_after,
};
use jackdawmux_front::{Credential, LookupQuery, RequestHeaders, ResponseHeaders, WireDialect};
use serde::Serialize;

/// Identity of one attempt; upstreams echo it, so that a response to another request is detected.
/// A caller that sends none forgoes that check.
const REQUEST_ID: HeaderName = HeaderName::from_static("jackdaw-request-id");
/// Remaining time that the caller waits, in milliseconds.
const DEADLINE: HeaderName = HeaderName::from_static("jackdaw-deadline-ms");
/// Key of the object that a request is about.
const OBJECT: HeaderName = HeaderName::from_static("jackdaw-object");
/// Outcome of a request at its upstream.
const OUTCOME: HeaderName = HeaderName::from_static("jackdaw-outcome");
/// Outcome of a request that was not run.
const NOT_RUN: &str = "not-run";
/// Requests per second that an endpoint takes from all instances together.
const LIMIT: HeaderName = HeaderName::from_static("jackdaw-limit");
/// `1` in the responses of an upstream that is leaving and wants no further requests.
const LEAVING: HeaderName = HeaderName::from_static("jackdaw-leaving");
/// Upstream that should run the request.
const UPSTREAM: HeaderName = HeaderName::from_static("jackdaw-upstream");

/// The native wire format. Its upstreams neither sign responses nor report their load.
#[derive(Clone, Copy, Debug, Default)]
pub struct NativeDialect;

#[derive(Serialize)]
struct LookupResponse {
    entries: Vec<LookupEntry>,
    ttl_ms: u64,
}

#[derive(Serialize)]
struct LookupEntry {
    address: SocketAddr,
}

impl WireDialect for NativeDialect {
    fn read_request(&self, headers: &HeaderMap) -> RequestHeaders {
        let deadline = headers.get(DEADLINE).and_then(|value| value.to_str().ok()?.parse().ok());
        RequestHeaders {
            attempt: headers.get(REQUEST_ID).cloned(),
            deadline: deadline.map(Duration::from_millis),
            object: headers.get(OBJECT).cloned(),
            credential: Credential::Missing,
        }
    }

    fn write_attempt_headers(&self, headers: &mut HeaderMap, time_left: Duration, endpoint: &str) {
        insert_attempt_headers(headers, (DEADLINE, time_left), (UPSTREAM, endpoint));
    }

    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHeaders {
        let outcome = headers.get(OUTCOME);
        ResponseHeaders {
            attempt: headers.get(REQUEST_ID).cloned(),
            is_not_run: outcome.is_some_and(|value| value == NOT_RUN),
            is_misdirected: status == StatusCode::MISDIRECTED_REQUEST,
            is_signed: true,
            is_encoded: headers.contains_key(CONTENT_ENCODING),
            load: None,
            is_leaving: headers.get(LEAVING).is_some_and(|value| value == "1"),
            retry_after: read_retry_after(status, headers),
            limit: read_limit(&LIMIT, headers),
        }
    }

    fn ready_path(&self) -> &'static str {
        "/v1/ready"
    }

    fn lookup_path(&self) -> &'static str {
        "/v1/entries"
    }

    fn read_lookup(&self, query: &str) -> LookupQuery {
        LookupQuery { region: query_value(query, "region").unwrap_or_default().to_owned() }
    }

    fn lookup_response(&self, addresses: &[SocketAddr], ttl: Duration) -> Vec<u8> {
        let entries = addresses.iter().map(|address| LookupEntry { address: *address }).collect();
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        match serde_json::to_vec(&LookupResponse { entries, ttl_ms }) {
            Ok(body) => body,
            Err(error) => {
                log::error!("event=lookup-unwritten error={error}");
                Vec::new()
            }
        }
    }
}
