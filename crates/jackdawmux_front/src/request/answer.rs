//! Final answers of the front's own.

use std::time::Duration;

use axum::body::Body;
use axum::http::header::{CONTENT_TYPE, RETRY_AFTER};
use axum::http::{HeaderValue, Response, StatusCode};
use jackdawmux_policy::fleet::choice::ChoiceRefusal;
use serde_json::json;
use strum::Display;

/// Pause suggested while no configuration is known.
const STARTING_PAUSE: Duration = Duration::from_millis(300);
/// Pause suggested when endpoints could not be reached in time.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(120);
/// Spread of suggested pauses, so that callers do not return together.
const PAUSE_SPREAD: f64 = 0.5;

/// Why a request gets no endpoint's answer.
#[derive(Clone, Copy, Debug, PartialEq, Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum FrontRefusal {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route takes the request.
    NoRoute,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body ended early.
    BodyBroken,
    /// No endpoint may take the request now; it was not run.
    #[strum(to_string = "not-chosen-{0}")]
    NotChosen(ChoiceRefusal),
    /// The endpoints that were asked refused; it was not run.
    #[strum(to_string = "shed")]
    Shed(Duration),
    /// No endpoint could be connected to; it was not run.
    Unreachable,
    /// The deadline passed before the request was sent anywhere.
    DeadlineUnsent,
    /// The deadline passed while an endpoint may have been at work.
    DeadlinePassed,
    /// The request has brought down every endpoint that ran it.
    Poisonous,
    /// The endpoint gave no whole answer; the request may have run.
    UpstreamLost,
}

impl FrontRefusal {
    /// Status towards the caller: 503 only where the request certainly did not run.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration
            | Self::NotChosen(_)
            | Self::Shed(_)
            | Self::Unreachable
            | Self::DeadlineUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            Self::UpstreamLost | Self::Poisonous => StatusCode::BAD_GATEWAY,
        }
    }

    /// Pause to suggest, where coming back makes sense.
    const fn pause(self) -> Option<Duration> {
        match self {
            Self::NoConfiguration => Some(STARTING_PAUSE),
            Self::NotChosen(refusal) => Some(refusal.retry_after),
            Self::Shed(pause) => Some(pause),
            Self::Unreachable | Self::DeadlineUnsent => Some(UNREACHABLE_PAUSE),
            Self::NoRoute
            | Self::BodyTooLarge
            | Self::BodyBroken
            | Self::DeadlinePassed
            | Self::Poisonous
            | Self::UpstreamLost => None,
        }
    }

    /// Kind of the refusal, without what decided it.
    fn kind(self) -> String {
        let text = self.to_string();
        text.split(' ').next().unwrap_or_default().to_owned()
    }

    /// The answer to the caller.
    pub(crate) fn response(self) -> Response<Body> {
        let outcome = if self.status() == StatusCode::SERVICE_UNAVAILABLE { "not-run" } else { "" };
        let problem = json!({
            "type": format!("urn:jackdawmux:{}", self.kind()),
            "status": self.status().as_u16(),
            "outcome": outcome,
        });
        let mut response = Response::new(Body::from(problem.to_string()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Some(pause) = self.pause() {
            let spread = rand::random_range(1.0..1.0 + PAUSE_SPREAD);
            let seconds = format!("{:.3}", pause.as_secs_f64() * spread);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
