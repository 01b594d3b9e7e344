//! Final responses to requests.

use std::sync::Arc;

use axum::body::Body;
use axum::http::{HeaderMap, HeaderValue, Response, StatusCode};
use bytes::Bytes;
use jackdawmux_policy::outcome::{RequestRefusal, RunOutcome};

use super::refusal::{refusal_response, set_outcome};

/// A complete response of an upstream, kept so that it can be sent more than once.
#[derive(Clone, Debug)]
pub struct StoredResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl StoredResponse {
    /// Size of headers and body in bytes, counted against the limit on stored responses.
    pub(crate) fn size(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        self.body.len() + headers
    }

    /// Builds the response to the request that ran.
    pub(crate) fn to_response(&self) -> Response<Body> {
        let mut response = Response::new(Body::from(self.body.clone()));
        *response.status_mut() = self.status;
        self.headers.clone_into(response.headers_mut());
        set_outcome(response.headers_mut(), RunOutcome::Ran);
        response
    }

    /// Builds the response to a repeated request, with the header that marks it as replayed.
    pub(crate) fn replayed_response(&self) -> Response<Body> {
        let mut response = self.to_response();
        response.headers_mut().insert("jackdaw-replayed", HeaderValue::from_static("true"));
        response
    }
}

/// Final response to a request.
#[derive(Debug)]
pub(crate) enum FinalResponse {
    /// A complete response.
    Buffered(Arc<StoredResponse>),
    /// A response whose body is still arriving.
    Streaming(Response<Body>),
    /// The request was refused or failed.
    Refused(RunOutcome, RequestRefusal),
}

impl FinalResponse {
    /// Converts it to the HTTP response.
    pub(crate) fn into_response(self) -> Response<Body> {
        match self {
            Self::Buffered(stored) => stored.to_response(),
            Self::Streaming(response) => response,
            Self::Refused(outcome, refusal) => refusal_response(outcome, refusal),
        }
    }
}
