//! Pool of idle connections to endpoints.
//!
//! A connection returns to the pool only after a complete response has been read from it. A
//! connection with an outstanding response is dropped, which closes it: the endpoint stops
//! processing the request, and a late response can never reach another caller.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::body::Body;
use axum::http::HeaderMap;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use jackdawmux_policy::fleet::choice::EndpointKey;
use jackdawmux_runtime::connect;
use tokio::time::Instant;

/// Maximum number of idle connections to one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 8;
/// How long a connection may stay idle if its endpoint does not state a timeout. Endpoints close idle
/// connections after several seconds; if one closes while a request is being sent, it is unknown
/// whether the request ran.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum time that a connection may stay idle. Each holds a descriptor and its buffers.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Share of the timeout that an endpoint states for which a connection is used again.
const STATED_TIMEOUT_SHARE: f64 = 0.8;
/// Maximum idle time of a connection for requests that must not run more than once.
const AT_MOST_ONCE_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Upper bound of a connection's read buffer, in bytes.
const MAX_READ_BUFFER_BYTES: usize = 16 * 1024;

/// A connection to one endpoint, used by one request at a time.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub(super) sender: SendRequest<Body>,
    /// Whether the connection has carried a request before.
    pub(super) is_reused: bool,
    endpoint: EndpointKey,
    /// How long it may stay idle.
    idle_timeout: Duration,
}

impl PooledConnection {
    /// Whether the connection has carried a request before, so that an earlier response may be repeated
    /// on it.
    pub(crate) const fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Reads for how long the endpoint keeps the connection open while it is idle.
    pub(super) fn read_keep_alive(&mut self, headers: &HeaderMap) {
        let stated = headers.get("keep-alive").and_then(|value| value.to_str().ok());
        if let Some(timeout) = stated.and_then(parse_keep_alive) {
            self.idle_timeout = timeout.mul_f64(STATED_TIMEOUT_SHARE).min(MAX_IDLE_TIMEOUT);
        }
    }
}

/// Parses the timeout in a `Keep-Alive` header.
fn parse_keep_alive(text: &str) -> Option<Duration> {
    let mut parameters = text.split(',').filter_map(|parameter| parameter.trim().split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

#[derive(Debug)]
struct IdleConnection {
    connection: PooledConnection,
    since: Instant,
}

impl IdleConnection {
    /// Whether a request may be sent that takes connections idle for less than `bound`.
    fn is_usable(&self, bound: Duration) -> bool {
        let idle_timeout = self.connection.idle_timeout.min(bound);
        self.since.elapsed() < idle_timeout && self.connection.sender.is_ready()
    }
}

/// Maximum idle time of a connection for a request.
const fn max_idle(is_at_most_once: bool) -> Duration {
    if is_at_most_once { AT_MOST_ONCE_IDLE_TIMEOUT } else { MAX_IDLE_TIMEOUT }
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub(crate) struct UpstreamPool {
    idle: Mutex<HashMap<EndpointKey, Vec<IdleConnection>>>,
}

impl UpstreamPool {
    /// Takes an idle connection that is recent enough for the request.
    pub(crate) fn take(
        &self,
        endpoint: EndpointKey,
        is_at_most_once: bool,
    ) -> Option<PooledConnection> {
        let bound = max_idle(is_at_most_once);
        let mut idle = self.lock();
        let connections = idle.get_mut(&endpoint)?;
        while let Some(candidate) = connections.pop() {
            if candidate.is_usable(bound) {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Returns whether there is an idle connection that is recent enough for a request.
    pub(crate) fn has_idle(&self, endpoint: EndpointKey, is_at_most_once: bool) -> bool {
        let bound = max_idle(is_at_most_once);
        let idle = self.lock();
        let connections = idle.get(&endpoint);
        connections.is_some_and(|connections| connections.iter().any(|idle| idle.is_usable(bound)))
    }

    /// Returns the endpoints to which there are idle connections that are recent enough for a request.
    pub(crate) fn idle_endpoints(&self, is_at_most_once: bool) -> Vec<EndpointKey> {
        let bound = max_idle(is_at_most_once);
        let idle = self.lock();
        let is_usable = |idle: &IdleConnection| idle.is_usable(bound);
        let usable = idle.iter().filter(|(_, connections)| connections.iter().any(is_usable));
        usable.map(|(endpoint, _)| *endpoint).collect()
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// When no connection to the endpoint can be opened in time; no byte of a request was sent.
    pub(crate) async fn open(
        &self,
        endpoint: EndpointKey,
        address: SocketAddr,
        allowed: Duration,
    ) -> io::Result<PooledConnection> {
        let stream = connect(address, allowed).await?;
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("event=upstream-connection-ended peer={address} error={error:?}");
            }
        });
        let idle_timeout = DEFAULT_IDLE_TIMEOUT;
        Ok(PooledConnection { sender, is_reused: false, endpoint, idle_timeout })
    }

    /// Returns a connection to the pool. Its last response must have been read to the end.
    pub(crate) fn release(&self, mut connection: PooledConnection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.is_reused = true;
        let mut idle = self.lock();
        let connections = idle.entry(connection.endpoint).or_default();
        if connections.len() >= MAX_IDLE_PER_ENDPOINT {
            connections.remove(0);
        }
        connections.push(IdleConnection { connection, since: Instant::now() });
    }

    /// Closes all idle connections to an endpoint.
    pub(crate) fn close_idle(&self, endpoint: EndpointKey) {
        self.lock().remove(&endpoint);
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_expired(&self) {
        self.lock().retain(|_, connections| {
            connections.retain(|idle| {
                let timeout = idle.connection.idle_timeout;
                idle.since.elapsed() < timeout && !idle.connection.sender.is_closed()
            });
            !connections.is_empty()
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<EndpointKey, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
