//! Listener for callers: accepts connections, enforces limits and shuts down gracefully.

use std::future::pending;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::ConnectInfo;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tower::ServiceExt;

use crate::caller_stream::{CallerStream, ResetSwitch};
use crate::guarded_stream::GuardedStream;
use crate::head_guard::HeadObserver;
use crate::read_ahead::{ReadAhead, ReadAheadFilter};
use crate::sockets::configure_caller_stream;

/// Maximum number of header fields of a request. RFC 9110 sets no bound; common clients send fewer
/// than 30.
const MAX_HEADER_FIELDS: usize = 100;
/// Smallest read buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Backoff after a failed accept, for example when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Response to a connection above the connection limit.
const CONNECTION_LIMIT_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\
    Jackdaw-Outcome: not-run\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// Limits that apply to callers.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Maximum number of concurrent connections, as of the start of the listener.
    pub max_connections: usize,
    /// Largest header section of a request, in bytes.
    pub max_header_bytes: usize,
    /// Maximum time from the first byte of a header section to its end.
    pub header_timeout: Duration,
    /// Maximum time from the end of a request to the end of the next header section.
    pub idle_timeout: Duration,
}

impl Default for ListenerLimits {
    fn default() -> Self {
        Self {
            max_connections: 1_000,
            max_header_bytes: 32 * 1024,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A running listener for callers.
#[derive(Debug)]
pub struct CallerListener {
    /// Address that the listener is bound to.
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<Duration>>,
    task: JoinHandle<()>,
}

impl CallerListener {
    /// Starts a task that serves callers on a bound listener.
    #[must_use]
    pub fn spawn(
        listener: TcpListener,
        address: SocketAddr,
        router: Router,
        limits: watch::Receiver<ListenerLimits>,
    ) -> Self {
        Self::spawn_reading_ahead(listener, address, router, limits, None)
    }

    /// Starts a task that serves callers on a bound listener, and starts requests early for which
    /// the filter holds.
    #[must_use]
    pub fn spawn_reading_ahead(
        listener: TcpListener,
        address: SocketAddr,
        router: Router,
        limits: watch::Receiver<ListenerLimits>,
        filter: Option<ReadAheadFilter>,
    ) -> Self {
        let (stop, stopped) = oneshot::channel();
        let service = CallerService { router, filter };
        let task = tokio::spawn(accept_connections(listener, service, limits, stopped));
        Self { address, stop: Some(stop), task }
    }

    /// Stops accepting connections and waits, up to `max_wait`, for the requests on open
    /// connections to finish.
    pub async fn shut_down(mut self, max_wait: Duration) {
        if let Some(stop) = self.stop.take()
            && stop.send(max_wait).is_ok()
            && (&mut self.task).await.is_err()
        {
            log::error!("event=listener-failed address={}", self.address);
        }
    }
}

impl Drop for CallerListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What serves the requests of each connection.
struct CallerService {
    router: Router,
    filter: Option<ReadAheadFilter>,
}

async fn accept_connections(
    listener: TcpListener,
    service: CallerService,
    limits: watch::Receiver<ListenerLimits>,
    mut stopped: oneshot::Receiver<Duration>,
) {
    let stopping = watch::Sender::new(false);
    let permits = Arc::new(Semaphore::new(limits.borrow().max_connections));
    let max_wait = loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => {
                    let limits = *limits.borrow();
                    serve_connection(stream, peer, &service, limits, &permits, &stopping);
                }
                Err(error) => {
                    log::warn!("event=accept-failed error={error}");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            },
            max_wait = &mut stopped => break max_wait.unwrap_or_default(),
        }
    };
    drop(listener);
    stopping.send_replace(true);
    // Each connection holds a receiver until it ends.
    if timeout(max_wait, stopping.closed()).await.is_err() {
        log::warn!("event=shutdown-cut reason=timeout");
    }
}

fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    service: &CallerService,
    limits: ListenerLimits,
    permits: &Arc<Semaphore>,
    stopping: &watch::Sender<bool>,
) {
    let Ok(permit) = Arc::clone(permits).try_acquire_owned() else {
        tokio::spawn(refuse_connection(stream));
        return;
    };
    if let Err(error) = configure_caller_stream(&stream) {
        log::debug!("event=caller-lost peer={peer} error={error}");
        return;
    }
    let buffer_bytes = limits.max_header_bytes.max(MIN_BUFFER_BYTES);
    let reset = ResetSwitch::default();
    let stream = CallerStream::new(stream, reset.clone());
    let mut guarded = GuardedStream::new(stream, buffer_bytes, limits.header_timeout);
    let router = service.router.clone();
    let read_ahead = service
        .filter
        .as_ref()
        .map(|filter| Arc::new(ReadAhead::new(router.clone(), Arc::clone(filter), peer)));
    if let Some(read_ahead) = &read_ahead {
        guarded = guarded.with_observer(Arc::clone(read_ahead) as Arc<dyn HeadObserver>);
    }
    let (stopping, waiting) = (stopping.subscribe(), read_ahead.clone());
    let service = hyper::service::service_fn(move |mut request: hyper::Request<Incoming>| {
        request.extensions_mut().insert(ConnectInfo(peer));
        let (router, read_ahead) = (router.clone(), read_ahead.clone());
        async move {
            match read_ahead {
                Some(read_ahead) => read_ahead.serve(request).await,
                None => router.oneshot(request).await,
            }
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(buffer_bytes)
        .max_headers(MAX_HEADER_FIELDS)
        .serve_connection(TokioIo::new(guarded), service);
    tokio::spawn(async move {
        if let Err(error) = run_connection(connection, stopping, waiting, reset).await {
            log::debug!("event=caller-connection-ended peer={peer} error={error}");
        }
        drop(permit);
    });
}

/// Runs a connection to its end. Once the listener stops, it ends after the requests that have been
/// started.
async fn run_connection<S>(
    connection: http1::Connection<TokioIo<GuardedStream<CallerStream>>, S>,
    mut stopping: watch::Receiver<bool>,
    read_ahead: Option<Arc<ReadAhead>>,
    reset: ResetSwitch,
) -> hyper::Result<()>
where
    S: HttpService<Incoming, ResBody = Body>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connection = pin!(connection);
    let close_due = async {
        if stopping.wait_for(|is_stopping| *is_stopping).await.is_err() {
            pending::<()>().await;
        }
        if let Some(read_ahead) = read_ahead {
            read_ahead.wait_for_turns().await;
        }
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = close_due => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    // The body of a response has failed, which must not look like its end.
    if ended.as_ref().is_err_and(hyper::Error::is_user) {
        reset.turn_on();
    }
    ended
}

async fn refuse_connection(mut stream: TcpStream) {
    if let Err(error) = stream.write_all(CONNECTION_LIMIT_RESPONSE).await {
        log::debug!("event=caller-lost error={error}");
    }
}
