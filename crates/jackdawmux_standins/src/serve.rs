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

/// Cuts all open connections of a server at once, as the death of its process would.
#[derive(Clone, Debug)]
pub struct ConnectionCutter {
    cuts: Arc<watch::Sender<u64>>,
}

impl Default for ConnectionCutter {
    fn default() -> Self {
        Self { cuts: Arc::new(watch::Sender::new(0)) }
    }
}

impl ConnectionCutter {
    /// Cuts all connections that are open now.
    pub fn cut(&self) {
        self.cuts.send_modify(|count| *count += 1);
    }
}

/// A running HTTP server of a stand-in; dropping it ends the server and its connections.
#[derive(Debug)]
pub struct ServerHandle {
    /// Where it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
    cutter: ConnectionCutter,
}

impl ServerHandle {
    /// Binds `listen` and serves `router`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn bind(listen: SocketAddr, router: Router) -> io::Result<Self> {
        Self::bind_with(listen, router, ConnectionCutter::default()).await
    }

    /// Binds `listen` and serves `router` on connections that `cutter` can cut.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn bind_with(
        listen: SocketAddr,
        router: Router,
        cutter: ConnectionCutter,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept_all(listener, router, cutter.clone()));
        Ok(Self { address, task, cutter })
    }

    /// Waits until the server ends.
    pub async fn ended(mut self) {
        if (&mut self.task).await.is_err() {
            log::error!("event=standin-failed address={}", self.address);
        }
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.task.abort();
        self.cutter.cut();
    }
}

async fn accept_all(listener: TcpListener, router: Router, cutter: ConnectionCutter) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let mut cuts = cutter.cuts.subscribe();
                let router = router.clone();
                tokio::spawn(async move {
                    tokio::select! {
                        () = serve_one(stream, router) => {}
                        _ = cuts.changed() => {}
                    }
                });
            }
            Err(error) => log::warn!("event=standin-accept-failed error={error}"),
        }
    }
}

async fn serve_one(stream: TcpStream, router: Router) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = TowerToHyperService::new(router);
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    if let Err(error) = served {
        log::debug!("event=standin-connection-ended error={error}");
    }
}
