//! Socket options that detect peers without power or network access, so that such a peer does not
//! hold a connection for long.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Purpose of a connection, which determines how soon it is closed when its peer is unresponsive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamKind {
    /// From a caller, possibly over a slow network.
    Caller,
    /// To an upstream, over a network with round trips of tens of milliseconds.
    Upstream,
}

impl StreamKind {
    /// Idle time before the first keepalive probe, and time between probes.
    const fn keepalive_interval(self) -> Duration {
        match self {
            Self::Caller => Duration::from_secs(5),
            // The kernel takes whole seconds, so one second is the minimum.
            Self::Upstream => Duration::from_secs(1),
        }
    }

    /// Maximum time for which sent data may stay unacknowledged (`TCP_USER_TIMEOUT`).
    const fn user_timeout(self) -> Duration {
        match self {
            Self::Caller => Duration::from_secs(10),
            // Leaves time for two retransmissions: their timer starts at 200 ms and doubles.
            Self::Upstream => Duration::from_millis(500),
        }
    }
}

/// Keepalive probes that may stay unanswered (`TCP_KEEPCNT`). The user timeout decides first: a
/// connection without traffic ends when one probe has stayed unanswered for an interval.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Sets the socket options of a connection from a caller.
///
/// # Errors
/// When the socket rejects an option, for example because it is already closed.
pub fn configure_caller_stream(stream: &TcpStream) -> io::Result<()> {
    configure_stream(stream, StreamKind::Caller)
}

/// Sets the socket options of a connection.
///
/// # Errors
/// When the socket rejects an option, for example because it is already closed.
pub fn configure_stream(stream: &TcpStream, kind: StreamKind) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let interval = kind.keepalive_interval();
    let probes = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(MAX_UNANSWERED_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(kind.user_timeout()))
}

/// Connects to an upstream and sets the socket options.
///
/// # Errors
/// When the connection fails or is not established within `connect_timeout`.
pub async fn connect(address: SocketAddr, connect_timeout: Duration) -> io::Result<TcpStream> {
    let stream = match timeout(connect_timeout, TcpStream::connect(address)).await {
        Ok(connected) => connected?,
        Err(_elapsed) => {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "connect timed out"));
        }
    };
    configure_stream(&stream, StreamKind::Upstream)?;
    Ok(stream)
}
