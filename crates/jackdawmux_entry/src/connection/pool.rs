//! Connections to upstreams.
//!
//! A connection is idle in the pool only after a whole answer has been read from it. One with an
//! answer outstanding is dropped, which closes it: a late answer can never reach another caller.

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

/// Idle connections kept to one endpoint.
const IDLE_LIMIT: usize = 16;
/// Longest time for which a connection stays idle.
const IDLE_LONGEST: Duration = Duration::from_secs(30);
/// Longest time for connecting.
const CONNECT_LONGEST: Duration = Duration::from_secs(1);

/// A connection to one upstream, used by one request at a time.
#[derive(Debug)]
pub struct UpstreamConnection {
    pub(super) sender: SendRequest<Body>,
    endpoint: SocketAddr,
}

#[derive(Debug)]
struct IdleConnection {
    connection: UpstreamConnection,
    since: Instant,
}

/// Idle connections by endpoint; clones share them.
#[derive(Clone, Debug, Default)]
pub struct UpstreamPool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

impl UpstreamPool {
    /// An idle connection to the endpoint, or a new one.
    ///
    /// # Errors
    /// When the endpoint cannot be connected to in time; nothing was sent then.
    pub async fn checkout(
        &self,
        endpoint: SocketAddr,
        allowed: Duration,
    ) -> io::Result<UpstreamConnection> {
        if let Some(connection) = self.take_idle(endpoint) {
            return Ok(connection);
        }
        match timeout(allowed.min(CONNECT_LONGEST), connect(endpoint)).await {
            Ok(result) => result,
            Err(_elapsed) => Err(io::Error::new(io::ErrorKind::TimedOut, "connect timed out")),
        }
    }

    /// Takes a connection back whose last answer has been read to its end.
    pub fn checkin(&self, connection: UpstreamConnection) {
        if !connection.sender.is_ready() {
            return;
        }
        let mut idle = self.lock();
        let connections = idle.entry(connection.endpoint).or_default();
        if connections.len() < IDLE_LIMIT {
            connections.push(IdleConnection { connection, since: Instant::now() });
        }
    }

    /// Closes idle connections to an endpoint.
    pub fn close_idle(&self, endpoint: SocketAddr) {
        self.lock().remove(&endpoint);
    }

    /// Closes connections that have been idle for long.
    pub fn close_expired(&self) {
        self.lock().retain(|_, connections| {
            connections.retain(|idle| {
                idle.since.elapsed() < IDLE_LONGEST && !idle.connection.sender.is_closed()
            });
            !connections.is_empty()
        });
    }

    fn take_idle(&self, endpoint: SocketAddr) -> Option<UpstreamConnection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&endpoint)?;
        while let Some(candidate) = connections.pop() {
            if candidate.connection.sender.is_ready() && candidate.since.elapsed() < IDLE_LONGEST {
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
    Ok(UpstreamConnection { sender, endpoint })
}
