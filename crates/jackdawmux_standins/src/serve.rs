//! Serves an axum router until its handle is dropped.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Closes all open connections of a server at once, as a crash of its process would.
#[derive(Clone, Debug)]
pub struct ConnectionCloser {
    signal: Arc<watch::Sender<u64>>,
}

impl Default for ConnectionCloser {
    fn default() -> Self {
        Self { signal: Arc::new(watch::Sender::new(0)) }
    }
}

impl ConnectionCloser {
    /// Closes all connections that are open now.
    pub fn close_all(&self) {
        self.signal.send_modify(|count| *count += 1);
    }
}

/// A running HTTP server of a stand-in; dropping it stops the server and closes its connections.
#[derive(Debug)]
pub struct ServerHandle {
    /// Address that the server listens on.
    pub address: SocketAddr,
    task: JoinHandle<()>,
    closer: ConnectionCloser,
}

impl ServerHandle {
    /// Binds `listen` and serves `router`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn bind(listen: SocketAddr, router: Router) -> io::Result<Self> {
        Self::bind_with(listen, router, ConnectionCloser::default()).await
    }

    /// Binds `listen` and serves `router` on connections that `closer` can close.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn bind_with(
        listen: SocketAddr,
        router: Router,
        closer: ConnectionCloser,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept_connections(listener, router, closer.clone()));
        Ok(Self { address, task, closer })
    }

    /// Waits until the server stops.
    pub async fn wait(mut self) {
        if (&mut self.task).await.is_err() {
            log::error!("event=standin-failed address={}", self.address);
        }
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.task.abort();
        self.closer.close_all();
    }
}

async fn accept_connections(listener: TcpListener, router: Router, closer: ConnectionCloser) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let mut close_signal = closer.signal.subscribe();
                let router = router.clone();
                tokio::spawn(async move {
                    tokio::select! {
                        () = serve_connection(stream, router) => {}
                        _ = close_signal.changed() => {}
                    }
                });
            }
            Err(error) => log::warn!("event=standin-accept-failed error={error}"),
        }
    }
}

async fn serve_connection(stream: TcpStream, router: Router) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = TowerToHyperService::new(router);
    let result = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    if let Err(error) = result {
        log::debug!("event=standin-connection-ended error={error}");
    }
}
