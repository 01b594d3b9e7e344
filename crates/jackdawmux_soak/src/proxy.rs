//! Loopback TCP proxy for one link, with fault injection.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::plan::LinkFault;

/// One-way delay of a link with [`LinkFault::Delayed`].
const LINK_DELAY: Duration = Duration::from_millis(150);
/// Size of the read buffer of each direction.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Fault state of a link, shared with its connections.
#[derive(Clone, Copy, Debug, Default)]
struct LinkState {
    fault: Option<LinkFault>,
    /// Raised by each [`LinkFault::Forgotten`]; connections of earlier generations pass no data.
    generation: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Forward,
    Backward,
}

impl LinkState {
    fn is_blocked(&self, direction: Direction, generation: u64) -> bool {
        let is_lost = generation < self.generation;
        let is_faulted = match self.fault {
            Some(LinkFault::Silenced) => true,
            Some(LinkFault::CutForward) => direction == Direction::Forward,
            Some(LinkFault::CutBackward) => direction == Direction::Backward,
            _ => false,
        };
        is_lost || is_faulted
    }
}

/// A running proxy; dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct LinkProxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
    task: JoinHandle<()>,
}

impl LinkProxy {
    /// Starts a proxy to `target` on a free loopback port.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn bind(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::Sender::new(LinkState::default()));
        let task = tokio::spawn(accept_connections(listener, target, Arc::clone(&state)));
        Ok(Self { address, state, task })
    }

    /// Applies a fault to the link, in place of an earlier one, until [`Self::clear_fault`].
    pub fn inject(&self, fault: LinkFault) {
        self.state.send_modify(|state| {
            state.fault = Some(fault);
            state.generation += u64::from(fault == LinkFault::Forgotten);
        });
    }

    /// Ends the fault. Connections lost to [`LinkFault::Forgotten`] stay lost.
    pub fn clear_fault(&self) {
        self.state.send_modify(|state| state.fault = None);
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
) {
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                connections.spawn(serve_connection(stream, target, state.subscribe()));
            }
            Err(error) => log::warn!("event=proxy-accept-failed error={error:?}"),
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn serve_connection(
    client: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<LinkState>,
) {
    let generation = state.borrow().generation;
    let is_reset = |state: &LinkState| state.fault == Some(LinkFault::Reset);
    let mut relay_state = state.clone();
    tokio::select! {
        // Dropping the relay drops both streams, and both peers receive a reset.
        _closed = state.wait_for(is_reset) => {}
        () = relay(client, target, generation, &mut relay_state) => {}
    }
}

/// Makes the connection end with a reset when it is dropped.
fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::warn!("event=proxy-linger-failed error={error:?}");
    }
}

async fn relay(
    mut client: TcpStream,
    target: SocketAddr,
    generation: u64,
    state: &mut watch::Receiver<LinkState>,
) {
    reset_on_close(&client);
    wait_while_blocked(state, Direction::Forward, generation).await;
    // When the target refuses the connection, the client receives a reset.
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    reset_on_close(&server);
    // Halves that own the stream would close it in order when they are dropped.
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let forward =
        relay_one_way(client_read, server_write, Direction::Forward, generation, state.clone());
    let backward =
        relay_one_way(server_read, client_write, Direction::Backward, generation, state.clone());
    // A reset of one side ends both directions at once, and resets the other side.
    if let Err(error) = tokio::try_join!(forward, backward) {
        log::debug!("event=proxy-connection-reset target={target} error={error:?}");
    }
}

async fn relay_one_way(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    direction: Direction,
    generation: u64,
    mut state: watch::Receiver<LinkState>,
) -> io::Result<()> {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        wait_while_blocked(&mut state, direction, generation).await;
        if state.borrow().fault == Some(LinkFault::Delayed) {
            sleep(LINK_DELAY).await;
        }
        match read? {
            0 => return to.shutdown().await,
            count => to.write_all(&buffer[..count]).await?,
        }
    }
}

async fn wait_while_blocked(
    state: &mut watch::Receiver<LinkState>,
    direction: Direction,
    generation: u64,
) {
    let is_unblocked =
        state.wait_for(|state| !state.is_blocked(direction, generation)).await.is_ok();
    if !is_unblocked {
        // The proxy was dropped, so its task will cancel this connection.
        std::future::pending::<()>().await;
    }
}
