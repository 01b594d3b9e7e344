//! Final answers of requests.

use std::sync::Arc;

use axum::body::Body;
use axum::http::{HeaderMap, HeaderValue, Response, StatusCode};
use bytes::Bytes;
use jackdawmux_policy::outcome::{RequestRefusal, RunOutcome};

use super::refusal::{refusal_response, set_outcome};

/// A whole answer of an upstream that can be given more than once.
#[derive(Clone, Debug)]
pub struct StoredAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl StoredAnswer {
    /// Bytes that holding it costs.
    pub(crate) fn size(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        self.body.len() + headers
    }

    /// The answer as a response.
    pub(crate) fn response(&self) -> Response<Body> {
        let mut response = Response::new(Body::from(self.body.clone()));
        *response.status_mut() = self.status;
        self.headers.clone_into(response.headers_mut());
        set_outcome(response.headers_mut(), RunOutcome::Ran);
        response
    }

    /// The answer to a repeat, marked as such.
    pub(crate) fn replayed(&self) -> Response<Body> {
        let mut response = self.response();
        response.headers_mut().insert("jackdaw-replayed", HeaderValue::from_static("true"));
        response
    }
}

/// How a request ended.
#[derive(Debug)]
pub(crate) enum FinalAnswer {
    /// A whole answer.
    Held(Arc<StoredAnswer>),
    /// An answer whose body is still arriving.
    Streaming(Response<Body>),
    /// Given up on.
    Refused(RunOutcome, RequestRefusal),
}

impl FinalAnswer {
    /// The answer as a response.
    pub(crate) fn into_response(self) -> Response<Body> {
        match self {
            Self::Held(answer) => answer.response(),
            Self::Streaming(response) => response,
            Self::Refused(outcome, refusal) => refusal_response(outcome, refusal),
        }
    }
}
