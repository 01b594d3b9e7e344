//! Refusals as JSON problem details (RFC 9457) with the outcome and the retry-after delay.

use axum::body::Body;
use axum::http::header::{CONTENT_TYPE, RETRY_AFTER};
use axum::http::{HeaderValue, Response, StatusCode};
use jackdawmux_policy::outcome::{RefusalReason, RequestRefusal, RunOutcome};
use serde_json::json;

/// Response header that states whether a request took effect.
pub(crate) const OUTCOME_HEADER: &str = "jackdaw-outcome";

/// Builds the response to a refused or failed request.
pub(crate) fn refusal_response(outcome: RunOutcome, refusal: RequestRefusal) -> Response<Body> {
    let status = status_code(refusal.reason, outcome);
    let retry_ms = refusal.retry_after.map(|delay| delay.as_millis());
    let problem = json!({
        "type": format!("urn:jackdawmux:{}", refusal.reason),
        "title": problem_title(refusal.reason),
        "status": status.as_u16(),
        "outcome": outcome.as_ref(),
        "retry_after_ms": retry_ms,
    });
    let mut response = Response::new(Body::from(problem.to_string()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    set_outcome(headers, outcome);
    if let Some(delay) = refusal.retry_after {
        // The header has whole seconds. Rounded up, since an earlier retry would be refused again.
        let seconds = u64::try_from(delay.as_millis().div_ceil(1_000)).unwrap_or(u64::MAX);
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

pub(crate) fn set_outcome(headers: &mut axum::http::HeaderMap, outcome: RunOutcome) {
    let value = match outcome {
        RunOutcome::NotRun => HeaderValue::from_static("not-run"),
        RunOutcome::Ran => HeaderValue::from_static("ran"),
        RunOutcome::Unknown => HeaderValue::from_static("unknown"),
    };
    headers.insert(OUTCOME_HEADER, value);
}

fn status_code(reason: RefusalReason, outcome: RunOutcome) -> StatusCode {
    match reason {
        RefusalReason::NoConfiguration
        | RefusalReason::NoUpstream
        | RefusalReason::Overloaded
        | RefusalReason::ClaimUnavailable
        | RefusalReason::UpstreamRefused
        | RefusalReason::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        RefusalReason::NoRoute => StatusCode::NOT_FOUND,
        RefusalReason::BadRequest | RefusalReason::KeyMissing => StatusCode::BAD_REQUEST,
        RefusalReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
        RefusalReason::KeyExpired => StatusCode::GONE,
        RefusalReason::KeyInUse => StatusCode::CONFLICT,
        RefusalReason::Poisonous => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::UpstreamLost => match outcome {
            RunOutcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            RunOutcome::Ran | RunOutcome::Unknown => StatusCode::BAD_GATEWAY,
        },
    }
}

const fn problem_title(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoConfiguration => "no configuration is in force yet",
        RefusalReason::NoRoute => "no such service or operation",
        RefusalReason::BadRequest => "the request is malformed or breaks a limit",
        RefusalReason::BodyTooLarge => "the request body is too large",
        RefusalReason::BodyTooSlow => "the request body came too slowly",
        RefusalReason::KeyMissing => "this operation needs an Idempotency-Key",
        RefusalReason::KeyExpired => "the idempotency key is forged or past its retention",
        RefusalReason::KeyInUse => "a request with this idempotency key may have run",
        RefusalReason::ClaimUnavailable => "the idempotency key could not be claimed",
        RefusalReason::NoUpstream => "no upstream may be used now",
        RefusalReason::Overloaded => "all capacity is in use",
        RefusalReason::DeadlinePassed => "the deadline passed",
        RefusalReason::Poisonous => "this request has brought down upstreams",
        RefusalReason::UpstreamRefused => "the upstream refused",
        RefusalReason::UpstreamLost => "the upstream gave no whole answer",
        RefusalReason::Leaving => "this instance is leaving",
    }
}
