//! Closes a connection whose caller may still be sending.
//!
//! A close with unread bytes resets the connection, and the caller may lose the response that was written
//! before, for example that its request was not run. What it still sends is therefore read and discarded
//! for a short time.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::{Instant, Sleep, sleep_until};

/// Time for which a caller may go on sending.
const MAX_LINGER_TIME: Duration = Duration::from_secs(1);
/// Bytes that a caller may still send.
const MAX_LINGER_BYTES: usize = 4 * 1024 * 1024;
/// Size of a read from the socket, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Progress of a close.
#[derive(Debug)]
pub(crate) struct LingeringClose {
    deadline: Option<Pin<Box<Sleep>>>,
    discarded: usize,
}

impl LingeringClose {
    /// Creates the state of a connection that is open.
    pub(crate) const fn new() -> Self {
        Self { deadline: None, discarded: 0 }
    }

    /// Reads and discards what arrives, until the caller has closed its side or a bound is reached.
    pub(crate) fn poll_discard<S: AsyncRead + Unpin>(
        &mut self,
        stream: &mut S,
        context: &mut Context<'_>,
    ) -> Poll<()> {
        let deadline = Instant::now() + MAX_LINGER_TIME;
        let sleep = self.deadline.get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        if sleep.as_mut().poll(context).is_ready() {
            return Poll::Ready(());
        }
        let mut scratch = [0; READ_BUFFER_BYTES];
        while self.discarded < MAX_LINGER_BYTES {
            let mut read = ReadBuf::new(&mut scratch);
            match Pin::new(&mut *stream).poll_read(context, &mut read) {
                Poll::Ready(Ok(())) if !read.filled().is_empty() => {
                    self.discarded += read.filled().len();
                }
                Poll::Ready(_ended) => return Poll::Ready(()),
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(())
    }
}
