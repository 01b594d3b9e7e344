//! Sends one request to an upstream endpoint and waits for the response head.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use axum::body::Body;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::time::timeout;

use super::pool::{UpstreamConnection, UpstreamPool};

/// Header with the id of an exchange, which an upstream echoes in its response. A response with another
/// id, or without one on a connection that has carried another exchange, is rejected.
pub(crate) const REQUEST_ID_HEADER: &str = "jackdaw-request-id";
/// Maximum number of connections tried for one request, since an idle connection may turn out to
/// be closed.
const MAX_CONNECTION_ATTEMPTS: usize = 4;

/// A response whose head has arrived, with the connection that carries its body.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// The response; its body is still streaming.
    pub response: Response<Incoming>,
    /// The connection, to be checked in once the body has been read to its end.
    pub connection: UpstreamConnection,
}

/// Outcome of an exchange.
#[derive(Debug)]
pub enum ExchangeOutcome {
    /// No byte of the request was sent; the request is returned to the sender.
    Unsent {
        /// The unsent request.
        request: Box<Request<Body>>,
        /// Why no connection could be used.
        error: String,
    },
    /// The request was sent, at least in part, and no response head was received.
    Lost {
        /// Whether the upstream closed the connection. False after a timeout, for the response of
        /// another exchange and for any other error.
        is_closed: bool,
        /// Why no response head was received.
        error: String,
    },
    /// The response head was received.
    Answered(Box<UpstreamResponse>),
}

/// Sends a request to an endpoint and waits for the response head. `time_limit` bounds each wait,
/// for a connection and for the head, on its own.
pub async fn exchange(
    pool: &UpstreamPool,
    endpoint: SocketAddr,
    request: Request<Body>,
    time_limit: Duration,
) -> ExchangeOutcome {
    let id = request.headers().get(REQUEST_ID_HEADER).cloned();
    let mut request = request;
    for _ in 0..MAX_CONNECTION_ATTEMPTS {
        let mut connection = match pool.checkout(endpoint, time_limit).await {
            Ok(connection) => connection,
            Err(error) => return unsent(request, &error),
        };
        let sent = timeout(time_limit, connection.sender.try_send_request(request)).await;
        match sent {
            Err(_elapsed) => {
                return ExchangeOutcome::Lost { is_closed: false, error: "timeout".to_owned() };
            }
            Ok(Ok(response)) => {
                let echoed = response.headers().get(REQUEST_ID_HEADER);
                let is_named = echoed.is_some() && echoed == id.as_ref();
                let is_own = is_named || id.is_none() || !connection.is_reused;
                let names_another = echoed.is_some() && !is_named;
                if !is_own || names_another || !is_final(response.status()) {
                    let error = "the response may be that of another request".to_owned();
                    return ExchangeOutcome::Lost { is_closed: false, error };
                }
                connection.is_reusable = is_named || id.is_none();
                return ExchangeOutcome::Answered(Box::new(UpstreamResponse {
                    response,
                    connection,
                }));
            }
            Ok(Err(mut failed)) => match failed.take_message() {
                // The connection was closed before any byte was written to it.
                Some(returned) => request = returned,
                None => {
                    let error = failed.into_error();
                    let is_closed = is_connection_closed(&error);
                    return ExchangeOutcome::Lost { is_closed, error: error.to_string() };
                }
            },
        }
    }
    unsent(request, &io::Error::other("every connection tried was already closed"))
}

/// Whether a status is that of a final response. Other numbers belong to no class of HTTP.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

fn unsent(request: Request<Body>, error: &io::Error) -> ExchangeOutcome {
    ExchangeOutcome::Unsent { request: Box::new(request), error: error.to_string() }
}

fn is_connection_closed(error: &hyper::Error) -> bool {
    let is_reset = std::error::Error::source(error)
        .and_then(|source| source.downcast_ref::<io::Error>())
        .is_some_and(|source| {
            matches!(
                source.kind(),
                io::ErrorKind::ConnectionReset
                    | io::ErrorKind::BrokenPipe
                    | io::ErrorKind::ConnectionAborted
                    | io::ErrorKind::UnexpectedEof
            )
        });
    error.is_incomplete_message() || is_reset
}
