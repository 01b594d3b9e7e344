//! Starts requests that a caller has sent on a connection before the ones in front of them have been
//! answered.
//!
//! The HTTP library serves the requests of a connection one after the other. A request that waits
//! there is started as soon as its header section has been received; when its turn comes, the
//! library gets the response that is already under way. Responses are therefore written in the
//! order of the requests.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Waker;

use axum::Router;
use axum::body::Body;
use axum::extract::ConnectInfo;
use axum::http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE};
use axum::http::request::Parts;
use axum::http::{HeaderMap, Method, Request, Response, Uri};
use hyper::body::Incoming;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tower::ServiceExt;

use crate::head_guard::HeadObserver;

/// Maximum number of requests of a connection that are started early. It bounds the responses that
/// wait in memory for their turn.
const MAX_STARTED: usize = 4;
/// Maximum number of header fields of a request that is started early.
const MAX_HEADER_FIELDS: usize = 64;

/// Decides whether a request may be started early: it must be repeatable, because the caller sends
/// it again if the connection closes before its turn.
pub type ReadAheadFilter = Arc<dyn Fn(&Parts) -> bool + Send + Sync>;

/// Requests of one connection.
pub(crate) struct ReadAhead {
    router: Router,
    filter: ReadAheadFilter,
    peer: SocketAddr,
    state: Mutex<ReadAheadState>,
    /// Notified when the turn of the last started request has come.
    turns_over: Notify,
}

#[derive(Default)]
struct ReadAheadState {
    /// Header sections received.
    received: u64,
    /// Requests whose turn has come.
    begun: u64,
    /// Requests whose responses have been given to the library.
    finished: u64,
    started: VecDeque<StartedRequest>,
    /// Task that reads the connection.
    reader: Option<Waker>,
}

/// A request that was started early. Dropping it cancels it.
struct StartedRequest {
    /// Number of requests in front of it on the connection.
    index: u64,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    task: JoinHandle<Response<Body>>,
}

impl Drop for StartedRequest {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl std::fmt::Debug for ReadAhead {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("ReadAhead").field("peer", &self.peer).finish_non_exhaustive()
    }
}

impl ReadAhead {
    /// Creates the state of a new connection.
    pub(crate) fn new(router: Router, filter: ReadAheadFilter, peer: SocketAddr) -> Self {
        Self { router, filter, peer, state: Mutex::default(), turns_over: Notify::new() }
    }

    /// Serves the request whose turn has come.
    pub(crate) async fn serve(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Infallible> {
        let started = self.begin(&request);
        let mut response = match started {
            None => self.router.clone().oneshot(request).await?,
            Some(mut started) => match (&mut started.task).await {
                Ok(response) => response,
                // It was cancelled or failed; it is repeatable.
                Err(error) => {
                    log::error!("event=read-ahead-failed error={error:?}");
                    self.router.clone().oneshot(request).await?
                }
            },
        };
        let mut state = self.lock();
        state.finished += 1;
        if let Some(reader) = state.reader.take() {
            reader.wake();
        }
        if !state.started.is_empty() {
            // Endpoints already process the requests behind this one; they must be answered.
            response.headers_mut().remove(CONNECTION);
        }
        Ok(response)
    }

    /// Waits until no request that was started early waits for its turn.
    pub(crate) async fn wait_for_turns(&self) {
        loop {
            let turns_over = self.turns_over.notified();
            if self.lock().started.is_empty() {
                return;
            }
            turns_over.await;
        }
    }

    /// Takes the request that was started early, if it is the same as the one the library parsed.
    fn begin(&self, request: &Request<Incoming>) -> Option<StartedRequest> {
        let mut state = self.lock();
        let index = state.begun;
        state.begun += 1;
        let is_started = state.started.front().is_some_and(|started| started.index == index);
        let started = if is_started { state.started.pop_front() } else { None };
        if state.started.is_empty() {
            self.turns_over.notify_waiters();
        }
        started.filter(|started| {
            started.method == request.method()
                && started.uri == *request.uri()
                && started.headers == *request.headers()
        })
    }

    fn lock(&self) -> MutexGuard<'_, ReadAheadState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HeadObserver for ReadAhead {
    /// Starts the request if it waits behind another one and may be started early.
    fn receive(&self, head: &[u8]) {
        let mut state = self.lock();
        let index = state.received;
        state.received += 1;
        let is_next = index == state.begun && state.begun == state.finished;
        if is_next || state.started.len() >= MAX_STARTED {
            return;
        }
        let Some(request) = parse_head(head) else {
            return;
        };
        let (mut parts, body) = request.into_parts();
        if !(self.filter)(&parts) {
            return;
        }
        let (method, uri) = (parts.method.clone(), parts.uri.clone());
        let headers = parts.headers.clone();
        parts.extensions.insert(ConnectInfo(self.peer));
        let response = self.router.clone().oneshot(Request::from_parts(parts, body));
        let task = tokio::spawn(async move {
            match response.await {
                Ok(response) => response,
                Err(never) => match never {},
            }
        });
        state.started.push_back(StartedRequest { index, method, uri, headers, task });
    }

    fn finished(&self) -> u64 {
        self.lock().finished
    }

    fn register(&self, waker: &Waker) {
        self.lock().reader = Some(waker.clone());
    }
}

/// Parses a header section; none if the request has a body or options for its connection.
fn parse_head(head: &[u8]) -> Option<Request<Body>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    if !parsed.parse(head).ok()?.is_complete() || parsed.version != Some(1) {
        return None;
    }
    let mut builder = Request::builder().method(parsed.method?).uri(parsed.path?);
    for field in parsed.headers.iter() {
        builder = builder.header(field.name, field.value);
    }
    let request = builder.body(Body::empty()).ok()?;
    let excluded = [CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE];
    let is_plain = excluded.iter().all(|name| !request.headers().contains_key(name));
    (is_plain && request.method() == Method::GET).then_some(request)
}
