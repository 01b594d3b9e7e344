//! Bodies of requests and responses, buffered completely where they are small.

use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};

use axum::body::Body;
use bytes::{Bytes, BytesMut};
use http_body::{Body as HttpBody, Frame};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use jackdawmux_policy::fleet::planned_stop::BodyArrival;

use jackdawmux_runtime::HeldBudget;

/// Largest body that is buffered completely, in bytes. A buffered request can be sent again, and a
/// buffered response never reaches the caller truncated.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;

/// Size up to which a response does not count towards what is held, in bytes. A connection holds about as
/// much anyway.
const MAX_UNCOUNTED_BYTES: usize = 32 * 1024;
/// The same for a request. Many callers may stop in the middle of one.
const MAX_UNCOUNTED_REQUEST_BYTES: usize = 8 * 1024;

/// Why a request's body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// Larger than allowed.
    TooLarge,
    /// The caller's connection failed before the end of the body.
    Broken,
    /// The bodies that this instance buffers leave no memory for it.
    NoMemory,
}

/// Body of a request.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// Buffered completely.
    Buffered(Bytes),
    /// Too large to be buffered; can be sent once.
    Streaming(StreamingBody),
}

/// A body that is streamed to one endpoint.
#[derive(Debug)]
pub(crate) struct StreamingBody {
    /// None after it was sent.
    body: Option<Body>,
    /// Set if the body could not be read to its end.
    failure: Arc<OnceLock<BodyError>>,
}

impl RequestBody {
    /// Reads a body, up to the size that is buffered, within `budget`. A caller that stops in the middle
    /// must take neither memory nor an endpoint from others.
    pub(crate) async fn read(
        mut incoming: Body,
        limit: u64,
        budget: &HeldBudget,
    ) -> Result<Self, BodyError> {
        let declared = incoming.size_hint().exact();
        if declared.is_some_and(|size| size > limit) {
            return Err(BodyError::TooLarge);
        }
        let mut buffered = BytesMut::new();
        let mut share = budget.share();
        while let Some(frame) = incoming.frame().await {
            let Ok(data) = frame
                .map_err(|error| {
                    log::debug!("event=caller-body-broken error={error:?}");
                    BodyError::Broken
                })?
                .into_data()
            else {
                continue;
            };
            buffered.extend_from_slice(&data);
            if u64::try_from(buffered.len()).unwrap_or(u64::MAX) > limit {
                return Err(BodyError::TooLarge);
            }
            if buffered.len() > MAX_UNCOUNTED_REQUEST_BYTES && !share.grow_to(buffered.len()) {
                return Err(BodyError::NoMemory);
            }
            if buffered.len() > MAX_BUFFERED_BYTES {
                let prefix = share.hold(buffered.freeze());
                let failure = Arc::default();
                let rest = BoundedBody {
                    prefix: Some(prefix),
                    incoming,
                    remaining: limit,
                    failure: Arc::clone(&failure),
                };
                let body = Some(Body::new(rest));
                return Ok(Self::Streaming(StreamingBody { body, failure }));
            }
        }
        Ok(Self::Buffered(share.hold(buffered.freeze())))
    }

    /// Whether a body will have been received to its end before the first attempt, as far as its
    /// declared size shows.
    pub(crate) fn expected_arrival(incoming: &Body) -> BodyArrival {
        let declared = incoming.size_hint().lower();
        let is_buffered = usize::try_from(declared).is_ok_and(|size| size <= MAX_BUFFERED_BYTES);
        if is_buffered { BodyArrival::Complete } else { BodyArrival::Partial }
    }

    /// Whether the body has been received to its end.
    pub(crate) const fn arrival(&self) -> BodyArrival {
        match self {
            Self::Buffered(_) => BodyArrival::Complete,
            Self::Streaming(_) => BodyArrival::Partial,
        }
    }

    /// The body for one attempt; none if it was streamed to an earlier one.
    pub(crate) fn for_attempt(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(bytes) => Some(Body::from(bytes.clone())),
            Self::Streaming(streaming) => streaming.body.take(),
        }
    }

    /// Why a streaming body could not be read to its end. The endpoint that it was sent to is not
    /// the cause of the lost response.
    pub(crate) fn failure(&self) -> Option<BodyError> {
        match self {
            Self::Buffered(_) => None,
            Self::Streaming(streaming) => streaming.failure.get().copied(),
        }
    }

    /// The bytes of a buffered body; empty for a streaming one.
    pub(crate) fn buffered(&self) -> &[u8] {
        match self {
            Self::Buffered(bytes) => bytes,
            Self::Streaming(_) => &[],
        }
    }

    /// Whether the body is available for another attempt.
    pub(crate) const fn is_sendable(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streaming(streaming) => streaming.body.is_some(),
        }
    }
}

/// A prefix that has been read, followed by the rest as it arrives, up to a total size.
struct BoundedBody {
    prefix: Option<Bytes>,
    incoming: Body,
    remaining: u64,
    failure: Arc<OnceLock<BodyError>>,
}

impl HttpBody for BoundedBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        let polled = match self.prefix.take() {
            Some(prefix) => Poll::Ready(Some(Ok(Frame::data(prefix)))),
            None => Pin::new(&mut self.incoming).poll_frame(context),
        };
        if let Poll::Ready(Some(Err(_))) = &polled {
            let _first = self.failure.set(BodyError::Broken);
        }
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            let size = frame.data_ref().map_or(0, Bytes::len);
            match self.remaining.checked_sub(u64::try_from(size).unwrap_or(u64::MAX)) {
                Some(remaining) => self.remaining = remaining,
                None => {
                    let _first = self.failure.set(BodyError::TooLarge);
                    let error = axum::Error::new("request body is larger than allowed");
                    return Poll::Ready(Some(Err(error)));
                }
            }
        }
        polled
    }
}

/// Body of a response as read from an endpoint.
pub(crate) enum ResponseBody {
    /// Read to its end.
    Buffered(Bytes),
    /// Too large to be buffered: the part that was read.
    Partial(Bytes),
}

/// Reads a response's body, up to the size that is buffered. Less is buffered while `budget` is used
/// up: the rest is then read only as fast as the caller reads.
pub(crate) async fn buffer_response(
    incoming: &mut Incoming,
    budget: &HeldBudget,
) -> Result<ResponseBody, hyper::Error> {
    let mut buffered = BytesMut::new();
    let mut share = budget.share();
    while let Some(frame) = incoming.frame().await {
        if let Ok(data) = frame?.into_data() {
            let is_small = data.len() <= MAX_UNCOUNTED_BYTES;
            if is_small && buffered.is_empty() && incoming.is_end_stream() {
                return Ok(ResponseBody::Buffered(data));
            }
            buffered.extend_from_slice(&data);
        }
        let is_held = buffered.len() <= MAX_UNCOUNTED_BYTES || share.grow_to(buffered.len());
        if !is_held || buffered.len() > MAX_BUFFERED_BYTES {
            return Ok(ResponseBody::Partial(share.hold(buffered.freeze())));
        }
    }
    Ok(ResponseBody::Buffered(share.hold(buffered.freeze())))
}
