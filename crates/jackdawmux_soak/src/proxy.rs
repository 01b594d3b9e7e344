//! Loopback proxy of one link, which harms its connections as told.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::plan::LinkFault;

/// Delay each way of a delayed link.
const LINK_DELAY: Duration = Duration::from_millis(150);
/// Bytes read at once.
const CHUNK: usize = 16 * 1024;

/// State of a link.
#[derive(Clone, Copy, Debug, Default)]
struct LinkState {
    harm: Option<LinkFault>,
    /// Connections of earlier generations are silent for good.
    generation: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Forward,
    Backward,
}

impl LinkState {
    fn is_cut(&self, direction: Direction, generation: u64) -> bool {
        let is_forgotten = generation < self.generation;
        let is_harmed = match self.harm {
            Some(LinkFault::Silenced) => true,
            Some(LinkFault::CutForward) => direction == Direction::Forward,
            Some(LinkFault::CutBackward) => direction == Direction::Backward,
            _ => false,
        };
        is_forgotten || is_harmed
    }
}

/// A running proxy.
#[derive(Debug)]
pub struct LinkProxy {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
    task: JoinHandle<()>,
}

impl LinkProxy {
    /// Starts a proxy to `target`.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn bind(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::Sender::new(LinkState::default()));
        let task = tokio::spawn(accept(listener, target, Arc::clone(&state)));
        Ok(Self { address, state, task })
    }

    /// Harms the link from now on.
    pub fn harm(&self, harm: LinkFault) {
        self.state.send_modify(|state| {
            state.harm = Some(harm);
            state.generation += u64::from(harm == LinkFault::Forgotten);
        });
    }

    /// Ends the harm; connections that were forgotten stay silent.
    pub fn heal(&self) {
        self.state.send_modify(|state| state.harm = None);
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: Arc<watch::Sender<LinkState>>) {
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                connections.spawn(carry(stream, target, state.subscribe()));
            }
            Err(error) => log::warn!("event=proxy-accept-failed error={error:?}"),
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn carry(near: TcpStream, target: SocketAddr, mut state: watch::Receiver<LinkState>) {
    let generation = state.borrow().generation;
    let is_reset = |state: &LinkState| state.harm == Some(LinkFault::Reset);
    let mut other = state.clone();
    tokio::select! {
        // Dropping the halves below closes both sides; a reset shows to both as a lost connection.
        _closed = state.wait_for(is_reset) => {}
        () = pump_both(near, target, generation, &mut other) => {}
    }
}

/// Resets a connection instead of closing it.
fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::warn!("event=proxy-linger-failed error={error:?}");
    }
}

async fn pump_both(
    near: TcpStream,
    target: SocketAddr,
    generation: u64,
    state: &mut watch::Receiver<LinkState>,
) {
    reset_on_close(&near);
    wait_until_open(state, Direction::Forward, generation).await;
    // A refused connection shows to the near side as a reset.
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    reset_on_close(&far);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let forward = pump(near_read, far_write, Direction::Forward, generation, state.clone());
    let backward = pump(far_read, near_write, Direction::Backward, generation, state.clone());
    tokio::join!(forward, backward);
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    generation: u64,
    mut state: watch::Receiver<LinkState>,
) {
    let mut buffer = vec![0; CHUNK];
    loop {
        let read = from.read(&mut buffer).await;
        wait_until_open(&mut state, direction, generation).await;
        if state.borrow().harm == Some(LinkFault::Delayed) {
            sleep(LINK_DELAY).await;
        }
        match read {
            Ok(count) if count > 0 => {
                if to.write_all(&buffer[..count]).await.is_err() {
                    return;
                }
            }
            Ok(_) | Err(_) => {
                // The other side may have ended already.
                let _closed = to.shutdown().await;
                return;
            }
        }
    }
}

async fn wait_until_open(
    state: &mut watch::Receiver<LinkState>,
    direction: Direction,
    generation: u64,
) {
    let is_open = state.wait_for(|state| !state.is_cut(direction, generation)).await.is_ok();
    if !is_open {
        // The proxy is gone, and this connection with it.
        std::future::pending::<()>().await;
    }
}
