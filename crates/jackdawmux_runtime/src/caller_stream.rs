//! Socket of a caller, which can be made to end with a reset.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Makes a connection end with a reset in place of an orderly close.
///
/// A response without length and chunks ends with its connection, so that an orderly close would make a
/// response look whole that is not.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResetSwitch(Arc<AtomicBool>);

impl ResetSwitch {
    pub(crate) fn turn_on(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_on(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// The socket of a caller's connection.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    reset: ResetSwitch,
}

impl CallerStream {
    pub(crate) const fn new(stream: TcpStream, reset: ResetSwitch) -> Self {
        Self { stream, reset }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.reset.is_on()
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::debug!("event=caller-reset-failed error={error}");
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
