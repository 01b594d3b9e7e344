//! Pool of connections to upstream endpoints.
//!
//! A connection enters the pool only after a complete response has been read from it. One with an
//! outstanding response is dropped, which closes it, so that a late response can never reach
//! another caller.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::body::Body;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 16;
/// Time after which an idle connection is no longer used.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection to one endpoint, used by one request at a time.
#[derive(Debug)]
pub struct UpstreamConnection {
    pub(super) sender: SendRequest<Body>,
    /// Whether it has carried another exchange, whose response may be repeated on it.
    pub(super) is_reused: bool,
    /// Whether responses on it say which exchange they belong to.
    pub(super) is_reusable: bool,
    endpoint: SocketAddr,
}

#[derive(Debug)]
struct IdleConnection {
    connection: UpstreamConnection,
    since: Instant,
}

/// Idle connections by endpoint. Clones share the same pool.
#[derive(Clone, Debug, Default)]
pub struct UpstreamPool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

impl UpstreamPool {
    /// Returns an idle connection to the endpoint, or opens a new one within `time_limit` and the
    /// connect timeout.
    ///
    /// # Errors
    /// When no connection can be opened in time. No byte of a request has been sent in this case.
    pub async fn checkout(
        &self,
        endpoint: SocketAddr,
        time_limit: Duration,
    ) -> io::Result<UpstreamConnection> {
        if let Some(connection) = self.take_idle(endpoint) {
            return Ok(connection);
        }
        match timeout(time_limit.min(CONNECT_TIMEOUT), connect(endpoint)).await {
            Ok(result) => result,
            Err(_elapsed) => Err(io::Error::new(io::ErrorKind::TimedOut, "connect timed out")),
        }
    }

    /// Returns a connection to the pool once its last response has been read to the end. Drops it
    /// when it is not ready for another request, its responses do not say which exchange they belong
    /// to, or the pool of its endpoint is full.
    pub fn checkin(&self, mut connection: UpstreamConnection) {
        if !connection.sender.is_ready() || !connection.is_reusable {
            return;
        }
        connection.is_reused = true;
        let mut idle = self.lock();
        let connections = idle.entry(connection.endpoint).or_default();
        if connections.len() < MAX_IDLE_PER_ENDPOINT {
            connections.push(IdleConnection { connection, since: Instant::now() });
        }
    }

    /// Closes all idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: SocketAddr) {
        self.lock().remove(&endpoint);
    }

    /// Closes connections that are past the idle timeout or were closed by the endpoint.
    pub fn close_expired(&self) {
        self.lock().retain(|_, connections| {
            connections.retain(|idle| {
                idle.since.elapsed() < IDLE_TIMEOUT && !idle.connection.sender.is_closed()
            });
            !connections.is_empty()
        });
    }

    fn take_idle(&self, endpoint: SocketAddr) -> Option<UpstreamConnection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&endpoint)?;
        while let Some(candidate) = connections.pop() {
            if candidate.connection.sender.is_ready() && candidate.since.elapsed() < IDLE_TIMEOUT {
                return Some(candidate.connection);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(endpoint: SocketAddr) -> io::Result<UpstreamConnection> {
    let stream = TcpStream::connect(endpoint).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("event=upstream-connection-ended peer={endpoint} error={error}");
        }
    });
    Ok(UpstreamConnection { sender, is_reused: false, is_reusable: false, endpoint })
}
