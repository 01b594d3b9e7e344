//! A caller's connection as the HTTP library reads it: without ambiguous requests, and one request at
//! a time.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::head_guard::{FramingTracker, HeadObserver};
use crate::lingering_close::LingeringClose;

/// Size of a read from the socket, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Time after which a connection ends whose caller reads nothing of its response. It exceeds the
/// deadlines of requests, after which the response is of no use.
const MAX_WRITE_STALL: Duration = Duration::from_secs(5);

/// A caller's connection that lets only requests with unambiguous framing through to the HTTP
/// library.
#[derive(Debug)]
pub struct GuardedStream<S> {
    inner: S,
    tracker: FramingTracker,
    accepted: Vec<u8>,
    consumed: usize,
    /// Positions in `accepted` at which requests start, with the number of requests before each.
    starts: VecDeque<(usize, u64)>,
    is_finished: bool,
    is_rejected: bool,
    header_timeout: Duration,
    header_deadline: Option<Pin<Box<Sleep>>>,
    /// When the connection fails because the caller has read nothing; none while it reads.
    write_deadline: Option<Pin<Box<Sleep>>>,
    close: LingeringClose,
}

impl<S> GuardedStream<S> {
    /// Wraps a connection. A read fails when a header section is still incomplete `header_timeout`
    /// after its first bytes.
    pub const fn new(inner: S, head_limit: usize, header_timeout: Duration) -> Self {
        Self {
            inner,
            tracker: FramingTracker::new(head_limit),
            accepted: Vec::new(),
            consumed: 0,
            starts: VecDeque::new(),
            is_finished: false,
            is_rejected: false,
            header_timeout,
            header_deadline: None,
            write_deadline: None,
            close: LingeringClose::new(),
        }
    }

    /// Sets the observer of the connection's requests.
    #[must_use]
    pub fn with_observer(mut self, observer: Arc<dyn HeadObserver>) -> Self {
        self.tracker.observer = Some(observer);
        self
    }

    /// Returns the end of the bytes that the library may read now.
    fn readable_end(&mut self) -> usize {
        let Some(observer) = &self.tracker.observer else {
            return self.accepted.len();
        };
        let finished = observer.finished();
        while self.starts.front().is_some_and(|(_, index)| *index <= finished) {
            self.starts.pop_front();
        }
        self.starts.front().map_or(self.accepted.len(), |(start, _)| *start)
    }

    fn copy_accepted(&mut self, end: usize, buffer: &mut ReadBuf<'_>) {
        let ready = &self.accepted[self.consumed..end];
        let count = ready.len().min(buffer.remaining());
        buffer.put_slice(&ready[..count]);
        self.consumed += count;
        if self.consumed == self.accepted.len() {
            self.accepted.clear();
            self.consumed = 0;
            if self.accepted.capacity() > READ_BUFFER_BYTES {
                self.accepted = Vec::new();
            }
        }
    }

    /// Drops the bytes that the library has read.
    fn drop_consumed(&mut self) {
        self.accepted.drain(..self.consumed);
        for (start, _) in &mut self.starts {
            *start -= self.consumed;
        }
        self.consumed = 0;
    }

    fn process_read(&mut self, bytes: &[u8]) {
        self.drop_consumed();
        let heads = self.tracker.heads;
        if bytes.is_empty() {
            let unfinished = self.tracker.take_unfinished();
            self.accepted.extend_from_slice(&unfinished);
            self.is_finished = true;
        } else if let Err(error) = self.tracker.feed(bytes, &mut self.accepted) {
            log::info!("event=request-rejected outcome=not-run reason={error:?}");
            self.accepted.extend_from_slice(self.tracker.rejection());
            self.is_finished = true;
            self.is_rejected = true;
        }
        self.is_finished |= self.tracker.is_ended();
        if self.tracker.heads > heads {
            // The time of a header section that is still incomplete starts now.
            self.header_deadline = None;
        }
        let starts = self.tracker.starts.drain(..);
        self.starts.extend(starts.zip(heads..));
    }

    /// Whether the caller may be sending bytes that nobody will read.
    fn may_be_sending(&self) -> bool {
        if self.is_finished { self.is_rejected } else { self.tracker.is_in_body() }
    }

    /// Passes on the result of a write. Fails when the caller has read nothing for too long.
    fn limit_stall(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.write_deadline = None;
            return written;
        }
        let deadline = Instant::now() + MAX_WRITE_STALL;
        let sleep = self.write_deadline.get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        sleep.as_mut().poll(context).map(|()| {
            Err(io::Error::new(io::ErrorKind::TimedOut, "the caller does not read its response"))
        })
    }

    /// Fails when a header section has been incomplete for longer than the header timeout.
    fn poll_header_deadline(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        if !self.tracker.is_in_head() {
            self.header_deadline = None;
            return Ok(());
        }
        let deadline = Instant::now() + self.header_timeout;
        let sleep = self.header_deadline.get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        match sleep.as_mut().poll(context) {
            Poll::Ready(()) => Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "header section not received within the header timeout",
            )),
            Poll::Pending => Ok(()),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GuardedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let end = self.readable_end();
            if end > self.consumed {
                self.copy_accepted(end, buffer);
                return Poll::Ready(Ok(()));
            }
            if self.is_finished {
                return Poll::Ready(Ok(()));
            }
            if let Some(observer) =
                self.tracker.observer.as_ref().filter(|_| !self.starts.is_empty())
            {
                observer.register(context.waker());
                if self.accepted.len() - self.consumed >= READ_BUFFER_BYTES {
                    return Poll::Pending;
                }
            }
            let mut scratch = [0; READ_BUFFER_BYTES];
            let mut read = ReadBuf::new(&mut scratch);
            // Bytes that have arrived are processed before the deadline is checked: they may have
            // waited because the library did not read while it served earlier requests.
            match Pin::new(&mut self.inner).poll_read(context, &mut read) {
                Poll::Ready(result) => {
                    result?;
                    self.process_read(read.filled());
                    self.poll_header_deadline(context)?;
                }
                Poll::Pending => {
                    self.poll_header_deadline(context)?;
                    return Poll::Pending;
                }
            }
        }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for GuardedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.limit_stall(context, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        ready!(Pin::new(&mut this.inner).poll_shutdown(context))?;
        if this.may_be_sending() {
            ready!(this.close.poll_discard(&mut this.inner, context));
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.limit_stall(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
