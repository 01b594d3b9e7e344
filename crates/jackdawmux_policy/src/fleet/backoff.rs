//! How long an endpoint that asked for a pause gets no requests from this instance.

use std::time::Duration;

use super::choice::EndpointKey;
use crate::identity::{mix64, stable_hash};

/// Longest pause that an endpoint is granted. A longer one would take it out of service for good
/// if it was stated by mistake.
pub const MAX_PAUSE: Duration = Duration::from_secs(60);
/// Maximum extension of a pause, as a share, by which the instances return at different times.
const RETURN_SPREAD: f64 = 0.25;
/// Upper bound of the extension.
const MAX_EXTENSION: Duration = Duration::from_secs(1);
/// Time allowed for the response to reach this instance after the endpoint sent it.
const DELIVERY_MARGIN: Duration = Duration::from_millis(50);

/// Returns for how long an endpoint that asked for `requested` gets no requests from the instance
/// `own`. Each instance extends the pause by a different share, so that they return gradually.
#[must_use]
pub fn endpoint_pause(requested: Duration, own: &str, endpoint: EndpointKey) -> Duration {
    let pause = requested.min(MAX_PAUSE);
    let draw = mix64(endpoint.0 ^ stable_hash(own.as_bytes())) >> 32;
    let share = f64::from(u32::try_from(draw).unwrap_or(u32::MAX)) / f64::from(u32::MAX);
    let extension = pause.mul_f64(RETURN_SPREAD * share).min(MAX_EXTENSION);
    pause + DELIVERY_MARGIN + extension
}
