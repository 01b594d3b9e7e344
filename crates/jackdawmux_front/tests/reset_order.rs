//! Responses that end with their connection, when the connection is reset while the request is still being
//! written. The kernel reports a reset once: where the write gets it, the read sees an orderly end.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::http::Request;
use http_body::{Body as HttpBody, Frame};
use http_body_util::BodyExt;
use hyper::client::conn::http1::Builder;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::mpsc;
use tokio::time::sleep;

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Stamp: 1\r\n\r\npart of";

/// Time in which the connection's task handles what has happened.
const PAUSE: Duration = Duration::from_millis(30);

/// Whether a write or a read reports the reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FirstToSee {
    Write,
    Read,
}

#[derive(Debug, Default)]
struct WireState {
    incoming: VecDeque<u8>,
    is_answered: bool,
    is_reset: bool,
    is_reported: bool,
    reader: Option<Waker>,
}

/// A connection to an endpoint that can be reset.
#[derive(Clone, Debug)]
struct ResettableWire {
    state: Arc<Mutex<WireState>>,
    first: FirstToSee,
}

impl ResettableWire {
    fn reset(&self) {
        let mut state = self.state.lock().expect("no thread panicked");
        state.is_reset = true;
        if self.first == FirstToSee::Read
            && let Some(reader) = state.reader.take()
        {
            reader.wake();
        }
    }
}

impl AsyncRead for ResettableWire {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = self.state.lock().expect("no thread panicked");
        if !state.incoming.is_empty() {
            let count = state.incoming.len().min(buffer.remaining());
            let bytes: Vec<u8> = state.incoming.drain(..count).collect();
            buffer.put_slice(&bytes);
            return Poll::Ready(Ok(()));
        }
        if state.is_reported {
            return Poll::Ready(Ok(()));
        }
        if state.is_reset && self.first == FirstToSee::Read {
            state.is_reported = true;
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        state.reader = Some(context.waker().clone());
        Poll::Pending
    }
}

impl AsyncWrite for ResettableWire {
    fn poll_write(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.state.lock().expect("no thread panicked");
        if state.is_reported {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        if state.is_reset && self.first == FirstToSee::Write {
            state.is_reported = true;
            if let Some(reader) = state.reader.take() {
                reader.wake();
            }
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if !std::mem::replace(&mut state.is_answered, true) {
            state.incoming.extend(HEAD);
            if let Some(reader) = state.reader.take() {
                reader.wake();
            }
        }
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Sends an upload whose connection is reset after a part of the response. Returns the response's body.
/// `reads_early` says whether the body is read while the upload goes on.
async fn receive(first: FirstToSee, reads_early: bool) -> Result<Bytes, hyper::Error> {
    let wire = ResettableWire { state: Arc::default(), first };
    let (mut sender, connection) =
        Builder::new().handshake(TokioIo::new(wire.clone())).await.expect("no bytes are needed");
    tokio::spawn(connection);
    let (parts, receiver) = mpsc::channel(4);
    let request = Request::post("/x").body(Body::new(SentBody(receiver))).expect("a request");
    let response = sender.send_request(request).await.expect("the head has arrived");
    parts.send(Bytes::from_static(b"first")).await.expect("the body is read");
    sleep(PAUSE).await;
    wire.reset();
    parts.send(Bytes::from_static(b"second")).await.expect("the body is not closed yet");
    if !reads_early {
        sleep(PAUSE).await;
    }
    // The connection may have ended.
    let _sent = parts.send(Bytes::from_static(b"third")).await;
    Ok(response.into_body().collect().await?.to_bytes())
}

/// A body of parts that are sent while the request is in progress.
struct SentBody(mpsc::Receiver<Bytes>);

impl HttpBody for SentBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(context).map(|part| part.map(|part| Ok(Frame::data(part))))
    }
}

macro_rules! reset_cases {
    ($($name:ident: $first:ident, $reads_early:literal;)*) => {
        /// Guards against a response that looks whole because its end came from a reset that only the
        /// write has seen.
        mod a_response_that_is_reset_during_the_upload_is_not_whole {
            use super::*;

            $(
                #[tokio::test]
                async fn $name() {
                    let received = receive(FirstToSee::$first, $reads_early).await;
                    assert!(received.is_err(), "{received:?}");
                }
            )*
        }
    };
}

reset_cases! {
    seen_by_the_write: Write, true;
    seen_by_the_write_before_the_body_is_read: Write, false;
    seen_by_the_read: Read, true;
    seen_by_the_read_before_the_body_is_read: Read, false;
}
