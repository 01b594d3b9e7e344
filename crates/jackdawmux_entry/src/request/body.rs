//! Request bodies: small ones are buffered, large ones are streamed.

use std::time::Duration;

use axum::body::Body;
use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use http_body_util::BodyExt;
use jackdawmux_policy::outcome::{RefusalReason, RequestRefusal};
use tokio::time::timeout;

/// Largest request or response body, in bytes, that is buffered so that it can be sent again.
pub(crate) const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Time allowed for the next frame of a body to arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A request body.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// Read to the end; can be sent more than once.
    Buffered(Bytes),
    /// Relayed as it arrives; can be sent once.
    Streaming(Body),
    /// A streaming body that has been sent.
    Consumed,
}

impl RequestBody {
    /// Buffers a body of up to [`MAX_BUFFERED_BYTES`]; streams a larger one, up to `limit` bytes.
    pub(crate) async fn read(mut body: Body, limit: u64) -> Result<Self, RequestRefusal> {
        let declared = http_body::Body::size_hint(&body).exact();
        if declared.is_some_and(|size| size > limit) {
            return Err(RequestRefusal::permanent(RefusalReason::BodyTooLarge));
        }
        let mut buffered = BytesMut::new();
        loop {
            let Ok(frame) = timeout(READ_TIMEOUT, body.frame()).await else {
                return Err(RequestRefusal::permanent(RefusalReason::BodyTooSlow));
            };
            match frame {
                None => return Ok(Self::Buffered(buffered.freeze())),
                Some(Err(error)) => {
                    log::debug!("event=body-broken error={error}");
                    return Err(RequestRefusal::permanent(RefusalReason::BadRequest));
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        buffered.extend_from_slice(&data);
                    }
                }
            }
            if buffered.len() > MAX_BUFFERED_BYTES {
                return Ok(Self::Streaming(stream_rest(buffered.freeze(), body, limit)));
            }
        }
    }

    /// Takes the body for sending. A buffered body can be taken again, a streaming one cannot.
    pub(crate) fn take(&mut self) -> Option<Body> {
        match std::mem::replace(self, Self::Consumed) {
            Self::Buffered(bytes) => {
                *self = Self::Buffered(bytes.clone());
                Some(Body::from(bytes))
            }
            Self::Streaming(body) => Some(body),
            Self::Consumed => None,
        }
    }

    /// Takes the body for a forward to a peer. A buffered body also stays available here.
    pub(crate) fn take_for_peer(&mut self) -> Self {
        match self {
            Self::Buffered(bytes) => Self::Buffered(bytes.clone()),
            Self::Streaming(_) | Self::Consumed => std::mem::replace(self, Self::Consumed),
        }
    }

    /// Puts back a streaming body that was taken and not sent.
    pub(crate) fn restore(&mut self, body: Body) {
        if matches!(self, Self::Consumed) {
            *self = Self::Streaming(body);
        }
    }

    /// Whether there is a body to send.
    pub(crate) const fn is_sendable(&self) -> bool {
        !matches!(self, Self::Consumed)
    }

    /// The bytes of a buffered body; empty for any other.
    pub(crate) fn bytes(&self) -> &[u8] {
        match self {
            Self::Buffered(bytes) => bytes,
            Self::Streaming(_) | Self::Consumed => &[],
        }
    }
}

/// Streams the bytes read so far and then the rest of the body, under the size limit and the read
/// timeout.
fn stream_rest(first: Bytes, body: Body, limit: u64) -> Body {
    let received = u64::try_from(first.len()).unwrap_or(u64::MAX);
    let rest =
        stream::unfold((body.into_data_stream(), received, false), move |state| async move {
            let (mut chunks, received, is_ended) = state;
            if is_ended {
                return None;
            }
            let next = match timeout(READ_TIMEOUT, chunks.next()).await {
                Ok(next) => next?,
                Err(_elapsed) => {
                    Err(axum::Error::new("request body stalled past the read timeout"))
                }
            };
            let chunk = match next {
                Ok(chunk) => chunk,
                Err(error) => return Some((Err(error), (chunks, received, true))),
            };
            let received = received + u64::try_from(chunk.len()).unwrap_or(u64::MAX);
            if received > limit {
                let error = axum::Error::new("request body exceeds the size limit");
                return Some((Err(error), (chunks, received, true)));
            }
            Some((Ok(chunk), (chunks, received, false)))
        });
    Body::from_stream(stream::iter([Ok::<_, axum::Error>(first)]).chain(rest))
}
