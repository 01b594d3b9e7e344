//! Error responses that the front generates itself.

use std::time::Duration;

use axum::body::Body;
use axum::http::header::{CONTENT_TYPE, RETRY_AFTER};
use axum::http::{HeaderValue, Response, StatusCode};
use jackdawmux_policy::fleet::cap::CapRefusal;
use jackdawmux_policy::fleet::choice::{ChoiceRefusal, ChoiceRefusalReason};
use serde_json::json;
use strum::Display;

use super::body::BodyError;

/// Retry-after delay while no configuration is known.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry-after delay when no endpoint could be reached in time.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(120);
/// Retry-after delay while this instance reaches no endpoint; its end is noticed within this time.
const ISOLATED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry-after delay while this process stops. Another instance can serve the request at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(5);
/// Retry-after delay while this instance buffers too many bodies. Another one may be free.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(120);
/// Retry-after delay while this instance cannot show that a key is valid. The configuration is read
/// again within this time if the source answers.
const PERMISSION_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Random extension of retry-after delays, as a share, so that callers do not retry all at once.
const RETRY_AFTER_SPREAD: f64 = 0.5;

/// Why a request does not get an endpoint's response.
#[derive(Clone, Copy, Debug, PartialEq, Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum FrontRefusal {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route matches the request.
    NoRoute,
    /// The key belongs to no team; the request was not run.
    UnknownKey,
    /// The route needs a key and the request carries none; it was not run.
    MissingKey,
    /// The key is repeated or has another format; the request was not run.
    MalformedKey,
    /// The configuration in force here may be too old to say whether the key is valid; the request
    /// was not run.
    PermissionUnknown,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body could not be read to its end.
    BodyBroken,
    /// This instance buffers too many bodies; the request was not run.
    NoMemory,
    /// No endpoint may be selected for the request now; it was not run.
    #[strum(to_string = "not-chosen-{0}")]
    NotChosen(ChoiceRefusal),
    /// The attempted endpoints refused the request; it was not run. Holds the retry-after
    /// delay.
    #[strum(to_string = "shed")]
    Shed(Duration),
    /// No endpoint could be connected to; it was not run.
    Unreachable,
    /// This instance reaches no endpoint, and no peer took the request; it was not run.
    Isolated,
    /// The process stops before the request's deadline; it was not run.
    Stopping,
    /// The process stops while an endpoint may be processing the request.
    Stopped,
    /// The deadline passed before the request was sent to any endpoint.
    DeadlineUnsent,
    /// The deadline passed while an endpoint may have been processing the request.
    DeadlinePassed,
    /// The request is blocked, because it crashed the endpoints that ran it.
    Poisonous,
    /// The team's request cap is used up; it was not run. Holds the retry-after delay.
    #[strum(to_string = "over-cap")]
    OverCap(Duration),
    /// Nobody could tell whether the request is within the team's cap; it was not run. Holds the
    /// retry-after delay.
    #[strum(to_string = "cap-unknown")]
    CapUnknown(Duration),
    /// The endpoint sent no complete, valid response; the request may have run.
    UpstreamLost,
}

impl From<CapRefusal> for FrontRefusal {
    fn from(refusal: CapRefusal) -> Self {
        match refusal {
            CapRefusal::OverCap { retry_after } => Self::OverCap(retry_after),
            CapRefusal::Unknown { retry_after } => Self::CapUnknown(retry_after),
        }
    }
}

impl From<BodyError> for FrontRefusal {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge => Self::BodyTooLarge,
            BodyError::Broken => Self::BodyBroken,
            BodyError::NoMemory => Self::NoMemory,
        }
    }
}

impl FrontRefusal {
    /// Status code sent to the caller. 429 and 503 are used only if the request certainly did not run.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration
            | Self::NotChosen(_)
            | Self::Shed(_)
            | Self::Unreachable
            | Self::Isolated
            | Self::Stopping
            | Self::NoMemory
            | Self::PermissionUnknown
            | Self::CapUnknown(_)
            | Self::DeadlineUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Self::UnknownKey | Self::MissingKey | Self::MalformedKey => StatusCode::UNAUTHORIZED,
            Self::OverCap(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            Self::UpstreamLost | Self::Poisonous | Self::Stopped => StatusCode::BAD_GATEWAY,
        }
    }

    /// Delay for the `Retry-After` header, where a retry may succeed.
    const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoConfiguration => Some(STARTING_RETRY_AFTER),
            Self::NotChosen(refusal) => Some(refusal.retry_after),
            Self::Shed(retry_after)
            | Self::OverCap(retry_after)
            | Self::CapUnknown(retry_after) => Some(retry_after),
            Self::Isolated => Some(ISOLATED_RETRY_AFTER),
            Self::Stopping => Some(STOPPING_RETRY_AFTER),
            Self::NoMemory => Some(NO_MEMORY_RETRY_AFTER),
            Self::PermissionUnknown => Some(PERMISSION_RETRY_AFTER),
            Self::Unreachable | Self::DeadlineUnsent => Some(UNREACHABLE_RETRY_AFTER),
            Self::NoRoute
            | Self::UnknownKey
            | Self::MissingKey
            | Self::MalformedKey
            | Self::BodyTooLarge
            | Self::BodyBroken
            | Self::DeadlinePassed
            | Self::Poisonous
            | Self::Stopped
            | Self::UpstreamLost => None,
        }
    }

    /// Draws a retry-after delay at random, so that callers do not retry all at once. A refusal that
    /// states the longest delay sets the range itself.
    fn spread(self, retry_after: Duration) -> Duration {
        match self {
            Self::NotChosen(ChoiceRefusal { max_retry_after: Some(max), .. }) => {
                rand::random_range(retry_after.min(max)..=max)
            }
            _ => retry_after.mul_f64(rand::random_range(1.0..1.0 + RETRY_AFTER_SPREAD)),
        }
    }

    /// Whether the endpoints that are left want no requests for some time, cannot be reached, or have
    /// a longer wait than the request may have.
    pub(crate) const fn is_held_off(self) -> bool {
        if matches!(self, Self::Isolated) {
            return true;
        }
        let Self::NotChosen(ChoiceRefusal { reason, max_retry_after, .. }) = self else {
            return false;
        };
        let is_stated =
            matches!(reason, ChoiceRefusalReason::Paused | ChoiceRefusalReason::Limited);
        is_stated || max_retry_after.is_some()
    }

    /// Whether the request must not run with its key, or cannot be shown to be allowed.
    pub(crate) const fn concerns_key(self) -> bool {
        matches!(
            self,
            Self::UnknownKey | Self::MissingKey | Self::MalformedKey | Self::PermissionUnknown
        )
    }

    /// Whether the process stops before the request could end.
    pub(crate) const fn is_stopping(self) -> bool {
        matches!(self, Self::Stopping)
    }

    /// Whether another instance may still serve the request.
    pub(crate) const fn is_declinable(self) -> bool {
        matches!(self, Self::Isolated | Self::Stopping | Self::NoMemory | Self::PermissionUnknown)
    }

    /// Kind of the refusal, without the details of the decision.
    pub(crate) fn kind(self) -> String {
        let text = self.to_string();
        text.split(' ').next().unwrap_or_default().to_owned()
    }

    /// Response to the caller, as problem details in JSON.
    pub(crate) fn response(self) -> Response<Body> {
        let is_not_run = self.concerns_key()
            || matches!(
                self.status(),
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
            );
        let outcome = if is_not_run { "not-run" } else { "" };
        let problem = json!({
            "type": format!("urn:jackdawmux:{}", self.kind()),
            "status": self.status().as_u16(),
            "outcome": outcome,
        });
        let mut response = Response::new(Body::from(problem.to_string()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Some(retry_after) = self.retry_after() {
            let seconds = format!("{:.3}", self.spread(retry_after).as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
