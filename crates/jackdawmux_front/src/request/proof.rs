//! What a response proves about the request that was sent before it.
//!
//! An endpoint may send bytes that belong to no request, or a response that belongs to an earlier one.
//! What its status says counts only once the response is shown to be that of the request; see
//! `docs/design/0017-proof.md`.

use axum::http::{HeaderValue, StatusCode};
use strum::IntoStaticStr;

use crate::dialect::ResponseHeaders;

/// Highest status code of a class that HTTP defines.
const MAX_STATUS: u16 = 599;

/// What a response proves about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseProof {
    /// It is the endpoint's response to the request, which has run.
    Answered,
    /// The endpoint did not run the request.
    NotRun,
    /// Another endpoint is at the address and did not run the request.
    Misdirected,
    /// Nothing: the request may have run, and the connection must be closed.
    Nothing(ProofGap),
}

/// Why a response proves nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ProofGap {
    /// It names another attempt, or none where it could be that of an earlier request.
    ForeignAnswer,
    /// It is not a final response: no request asks for another protocol.
    InterimAnswer,
    /// Its status belongs to no class of HTTP.
    InvalidStatus,
    /// It succeeds without the endpoint's signature, or has a content coding that nobody requested.
    UnsignedAnswer,
    /// Its status promises callers that the request did not run, which the endpoint does not say.
    UnprovenRefusal,
}

/// Returns what a response proves about the request with the attempt `sent`. `is_reused` says whether
/// the connection had carried another request.
#[must_use]
pub fn prove_response(
    status: StatusCode,
    headers: &ResponseHeaders,
    sent: Option<&HeaderValue>,
    is_reused: bool,
) -> ResponseProof {
    if status.is_informational() {
        return ResponseProof::Nothing(ProofGap::InterimAnswer);
    }
    if status.as_u16() > MAX_STATUS {
        return ResponseProof::Nothing(ProofGap::InvalidStatus);
    }
    let is_same = headers.attempt.as_ref() == sent;
    let is_named = is_same && sent.is_some();
    let names_another = !is_same && headers.attempt.is_some();
    if names_another || (is_reused && !is_named) || (status.is_success() && !is_same) {
        return ResponseProof::Nothing(ProofGap::ForeignAnswer);
    }
    if headers.is_misdirected {
        return ResponseProof::Misdirected;
    }
    if headers.is_not_run {
        return ResponseProof::NotRun;
    }
    if promises_not_run(status) {
        return ResponseProof::Nothing(ProofGap::UnprovenRefusal);
    }
    if headers.is_encoded || (status.is_success() && !headers.is_signed) {
        return ResponseProof::Nothing(ProofGap::UnsignedAnswer);
    }
    ResponseProof::Answered
}

/// Whether a status tells callers that the request has not run and never will.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
