//! Request bodies: small ones are read whole, large ones stream.

use std::time::Duration;

use axum::body::Body;
use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use http_body_util::BodyExt;
use jackdawmux_policy::outcome::{RefusalReason, RequestRefusal};
use tokio::time::timeout;

/// Bodies up to this size are held, so that they can be sent again.
pub(crate) const HELD_LIMIT: usize = 64 * 1024;
/// Longest wait for the next part of a body.
const PART_LONGEST: Duration = Duration::from_secs(10);

/// A request body.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// Read whole; may be sent more than once.
    Held(Bytes),
    /// Passed through as it arrives; may be sent once.
    Streaming(Body),
    /// Was streaming and has been sent.
    Spent,
}

impl RequestBody {
    /// Reads a body up to the held size; a larger one streams, up to `limit` bytes.
    pub(crate) async fn open(mut body: Body, limit: u64) -> Result<Self, RequestRefusal> {
        let declared = http_body::Body::size_hint(&body).exact();
        if declared.is_some_and(|size| size > limit) {
            return Err(RequestRefusal::permanent(RefusalReason::BodyTooLarge));
        }
        let mut held = BytesMut::new();
        loop {
            let Ok(frame) = timeout(PART_LONGEST, body.frame()).await else {
                return Err(RequestRefusal::permanent(RefusalReason::BodyTooSlow));
            };
            match frame {
                None => return Ok(Self::Held(held.freeze())),
                Some(Err(error)) => {
                    log::debug!("event=body-broken error={error}");
                    return Err(RequestRefusal::permanent(RefusalReason::BadRequest));
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        held.extend_from_slice(&data);
                    }
                }
            }
            if held.len() > HELD_LIMIT {
                return Ok(Self::Streaming(stream_rest(held.freeze(), body, limit)));
            }
        }
    }

    /// Takes the body for sending. A held one stays, a streaming one is spent afterwards.
    pub(crate) fn take(&mut self) -> Option<Body> {
        match std::mem::replace(self, Self::Spent) {
            Self::Held(bytes) => {
                *self = Self::Held(bytes.clone());
                Some(Body::from(bytes))
            }
            Self::Streaming(body) => Some(body),
            Self::Spent => None,
        }
    }

    /// The body for another to send; a held one also stays here.
    pub(crate) fn lend(&mut self) -> Self {
        match self {
            Self::Held(bytes) => Self::Held(bytes.clone()),
            Self::Streaming(_) | Self::Spent => std::mem::replace(self, Self::Spent),
        }
    }

    /// Puts back a body that was taken and not sent.
    pub(crate) fn restore(&mut self, body: Body) {
        if matches!(self, Self::Spent) {
            *self = Self::Streaming(body);
        }
    }

    /// Whether there is a body to send.
    pub(crate) const fn is_sendable(&self) -> bool {
        !matches!(self, Self::Spent)
    }

    /// Its bytes, when it is held.
    pub(crate) fn bytes(&self) -> &[u8] {
        match self {
            Self::Held(bytes) => bytes,
            Self::Streaming(_) | Self::Spent => &[],
        }
    }
}

/// What was read so far, then the rest, with the limits on size and pace.
fn stream_rest(first: Bytes, body: Body, limit: u64) -> Body {
    let seen = u64::try_from(first.len()).unwrap_or(u64::MAX);
    let rest = stream::unfold((body.into_data_stream(), seen, false), move |state| async move {
        let (mut parts, seen, is_ended) = state;
        if is_ended {
            return None;
        }
        let next = match timeout(PART_LONGEST, parts.next()).await {
            Ok(next) => next?,
            Err(_elapsed) => Err(axum::Error::new("the body came too slowly")),
        };
        let part = match next {
            Ok(part) => part,
            Err(error) => return Some((Err(error), (parts, seen, true))),
        };
        let seen = seen + u64::try_from(part.len()).unwrap_or(u64::MAX);
        if seen > limit {
            let error = axum::Error::new("the body is too large");
            return Some((Err(error), (parts, seen, true)));
        }
        Some((Ok(part), (parts, seen, false)))
    });
    Body::from_stream(stream::iter([Ok::<_, axum::Error>(first)]).chain(rest))
}
