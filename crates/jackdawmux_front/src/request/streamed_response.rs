//! Large responses, which are passed on while they are read.
//!
//! A task reads the response, so that an endpoint whose response never ends is left at the deadline
//! even if the caller does not read.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use http_body::{Body as HttpBody, Frame};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::guard::AttemptGuard;
use crate::upstream::PooledConnection;

/// Frames that are read ahead of the caller. Each holds up to a read buffer of the connection.
const MAX_FRAMES_AHEAD: usize = 1;
/// Time after the deadline within which data that the endpoint has sent is still passed on.
const LATE_DELIVERY_TIME: Duration = Duration::from_millis(250);

/// A response in progress, with what it keeps open until its end.
#[derive(Debug)]
pub(crate) struct OpenResponse {
    /// The part that has been read.
    pub(crate) prefix: Bytes,
    pub(crate) incoming: Incoming,
    pub(crate) guard: AttemptGuard,
    pub(crate) connection: PooledConnection,
    pub(crate) deadline: Instant,
}

/// Why the reading of a response ended.
enum ReadEnd {
    /// It was read to its end.
    Complete,
    /// The connection failed.
    Lost(hyper::Error),
    /// The deadline passed, or the caller disconnected.
    Abandoned,
}

/// Starts to read the rest of a response and returns the body for the caller.
pub(crate) fn stream_response(response: OpenResponse) -> Body {
    let (sender, frames) = mpsc::channel(MAX_FRAMES_AHEAD);
    let is_complete = Arc::new(AtomicBool::new(false));
    let prefix = Some(response.prefix.clone());
    tokio::spawn(read_response(response, sender, Arc::clone(&is_complete)));
    Body::new(StreamedBody { prefix, frames, is_complete })
}

async fn read_response(
    response: OpenResponse,
    frames: mpsc::Sender<Frame<Bytes>>,
    is_complete: Arc<AtomicBool>,
) {
    let OpenResponse { mut incoming, guard, connection, deadline, .. } = response;
    let end = tokio::select! {
        end = timeout_at(deadline + LATE_DELIVERY_TIME, read_frames(&mut incoming, &frames, deadline)) => {
            end.unwrap_or(ReadEnd::Abandoned)
        }
        () = frames.closed() => ReadEnd::Abandoned,
    };
    match end {
        ReadEnd::Complete => {
            is_complete.store(true, Ordering::Release);
            guard.finish_answered(connection);
        }
        ReadEnd::Lost(error) => {
            log::debug!("event=answer-broken error={error:?}");
            guard.finish_lost();
        }
        // Dropping the guard records the attempt as timed out or cancelled.
        ReadEnd::Abandoned => {}
    }
}

async fn read_frames(
    incoming: &mut Incoming,
    frames: &mpsc::Sender<Frame<Bytes>>,
    deadline: Instant,
) -> ReadEnd {
    loop {
        match timeout_at(deadline, incoming.frame()).await {
            Ok(None) => return ReadEnd::Complete,
            Ok(Some(Err(error))) => return ReadEnd::Lost(error),
            Ok(Some(Ok(frame))) => {
                if frames.send(frame).await.is_err() {
                    return ReadEnd::Abandoned;
                }
            }
            Err(_elapsed) => return ReadEnd::Abandoned,
        }
    }
}

/// Body for the caller. It ends with an error unless the response was read to its end.
struct StreamedBody {
    prefix: Option<Bytes>,
    frames: mpsc::Receiver<Frame<Bytes>>,
    is_complete: Arc<AtomicBool>,
}

impl HttpBody for StreamedBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        self.frames.poll_recv(context).map(|frame| match frame {
            Some(frame) => Some(Ok(frame)),
            None if self.is_complete.load(Ordering::Acquire) => None,
            None => Some(Err(axum::Error::new("the response ended early"))),
        })
    }
}
