//! One attempt to send a request to an endpoint, up to the head of its response.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use axum::body::Body;
use axum::http::{Request, Response};
use hyper::body::Incoming;
use jackdawmux_policy::fleet::choice::EndpointKey;

use super::pool::{PooledConnection, UpstreamPool};

/// Time limit for connecting; allows several round trips between the most distant regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pooled connections that one attempt may find closed before it opens a new one.
const MAX_STALE_CONNECTIONS: usize = 3;

/// Target of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Exchange<'pool> {
    /// Pool from which the connection is taken.
    pub(crate) pool: &'pool UpstreamPool,
    /// Key of the endpoint.
    pub(crate) endpoint: EndpointKey,
    /// Address of the endpoint.
    pub(crate) address: SocketAddr,
    /// Whether the request must not run more than once.
    pub(crate) is_at_most_once: bool,
    /// Whether a pooled connection may be used.
    pub(crate) may_reuse: bool,
    /// Time until the deadline.
    pub(crate) time_left: Duration,
}

/// Outcome of an attempt, up to the head of the response.
#[derive(Debug)]
pub(crate) enum ExchangeOutcome {
    /// No connection could be opened; no byte of the request was sent.
    Unreachable {
        /// Whether the endpoint did not answer within the time limit, as opposed to refusing the
        /// connection.
        is_unresponsive: bool,
        /// Error of the connection attempt.
        error: io::Error,
    },
    /// The request was sent, at least in part, and no response arrived.
    Lost {
        /// Error of the connection.
        error: hyper::Error,
    },
    /// The head of a response arrived.
    Answered(Box<Response<Incoming>>, PooledConnection),
}

/// Sends a request and waits for the head of its response. `on_send` is called before the first
/// byte may be sent, with whether the connection was opened for the request.
pub(crate) async fn exchange(
    target: Exchange<'_>,
    request: Request<Body>,
    on_send: impl Fn(bool),
) -> ExchangeOutcome {
    let mut request = request;
    for attempt in 0..=MAX_STALE_CONNECTIONS {
        let may_reuse = target.may_reuse && attempt < MAX_STALE_CONNECTIONS;
        let pooled =
            may_reuse.then(|| target.pool.take(target.endpoint, target.is_at_most_once)).flatten();
        let mut connection = match pooled {
            Some(connection) => connection,
            None => match open(&target).await {
                Ok(connection) => connection,
                Err(error) => {
                    let is_unresponsive = error.kind() == io::ErrorKind::TimedOut;
                    return ExchangeOutcome::Unreachable { is_unresponsive, error };
                }
            },
        };
        on_send(!connection.is_reused);
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                connection.read_keep_alive(response.headers());
                return ExchangeOutcome::Answered(Box::new(response), connection);
            }
            Err(mut failed) => match failed.take_message() {
                // The pooled connection had closed before any byte was written to it.
                Some(returned) if connection.is_reused => request = returned,
                _ => return ExchangeOutcome::Lost { error: failed.into_error() },
            },
        }
    }
    let error = io::Error::other("all connections to the endpoint were closed");
    ExchangeOutcome::Unreachable { is_unresponsive: false, error }
}

async fn open(target: &Exchange<'_>) -> io::Result<PooledConnection> {
    let allowed = CONNECT_TIMEOUT.min(target.time_left);
    target.pool.open(target.endpoint, target.address, allowed).await
}
