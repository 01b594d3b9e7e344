//! One request to an upstream and its answer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use axum::body::Body;
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::time::timeout;

use super::pool::{UpstreamConnection, UpstreamPool};

/// Header that carries the id of an exchange; an answer that echoes another id is not ours.
pub(crate) const REQUEST_ID_HEADER: &str = "jackdaw-request-id";
/// Stale idle connections that one request may meet.
const STALE_LIMIT: usize = 4;

/// The head of an answer with its connection.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// Head and body as they arrive.
    pub response: Response<Incoming>,
    /// The connection, to be given back once the body has been read to its end.
    pub connection: UpstreamConnection,
}

/// How an exchange ended.
#[derive(Debug)]
pub enum ExchangeEnd {
    /// No byte of the request was sent; the request comes back.
    Unsent {
        /// The request.
        request: Box<Request<Body>>,
        /// The cause.
        error: String,
    },
    /// The request was sent, at least in part, and no answer came.
    Lost {
        /// Whether the upstream closed the connection, rather than being slow.
        is_closed: bool,
        /// The cause.
        error: String,
    },
    /// The head of an answer came.
    Answered(Box<UpstreamAnswer>),
}

/// Sends a request to an endpoint and waits for the head of its answer.
pub async fn exchange(
    pool: &UpstreamPool,
    endpoint: SocketAddr,
    request: Request<Body>,
    allowed: Duration,
) -> ExchangeEnd {
    let id = request.headers().get(REQUEST_ID_HEADER).cloned();
    let mut request = request;
    for _ in 0..STALE_LIMIT {
        let mut connection = match pool.checkout(endpoint, allowed).await {
            Ok(connection) => connection,
            Err(error) => return unsent(request, &error),
        };
        let sent = timeout(allowed, connection.sender.try_send_request(request)).await;
        match sent {
            Err(_elapsed) => {
                return ExchangeEnd::Lost { is_closed: false, error: "timeout".to_owned() };
            }
            Ok(Ok(response)) => {
                let echoed = response.headers().get(REQUEST_ID_HEADER);
                if echoed.is_some() && echoed != id.as_ref() {
                    let error = "the answer belongs to another request".to_owned();
                    return ExchangeEnd::Lost { is_closed: false, error };
                }
                return ExchangeEnd::Answered(Box::new(UpstreamAnswer { response, connection }));
            }
            Ok(Err(mut failed)) => match failed.take_message() {
                // The idle connection had closed before anything was written to it.
                Some(returned) => request = returned,
                None => {
                    let error = failed.into_error();
                    let is_closed = is_close(&error);
                    return ExchangeEnd::Lost { is_closed, error: error.to_string() };
                }
            },
        }
    }
    unsent(request, &io::Error::other("only stale connections"))
}

fn unsent(request: Request<Body>, error: &io::Error) -> ExchangeEnd {
    ExchangeEnd::Unsent { request: Box::new(request), error: error.to_string() }
}

fn is_close(error: &hyper::Error) -> bool {
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
