//! All links of one instance to and from its peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures_util::StreamExt;
use jackdawmux_policy::identity::IncarnationId;
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_tungstenite::{WebSocketStream, accept_async_with_config};

use crate::codec::decode_frame;
use crate::error::{ChannelSnafu, PeerError, SocketSnafu, TimeoutSnafu};
use crate::frame::PeerFrame;
use crate::handshake::{HANDSHAKE_TIMEOUT, PeerIdentity, PeerKeys, accept_handshake};
use crate::link::{LinkContext, PeerLink, channel_config};

/// A peer to which a link is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerTarget {
    /// Incarnation of the peer's process.
    pub incarnation: IncarnationId,
    /// Address on which it accepts peers.
    pub address: SocketAddr,
}

/// Event on a link that a peer dialled.
#[derive(Debug)]
pub enum PeerEvent {
    /// A peer dialled and completed the handshake.
    Connected(PeerIdentity),
    /// A frame from an authenticated peer.
    Frame(IncarnationId, PeerFrame),
    /// The link that a peer had dialled was closed without an error.
    Closed(IncarnationId),
}

/// Links to and from all peers; dropping it closes the dialled links and stops accepting new ones.
#[derive(Debug)]
pub struct PeerHub {
    address: SocketAddr,
    context: Arc<LinkContext>,
    links: Mutex<HashMap<IncarnationId, PeerLink>>,
    seeds: Mutex<Vec<PeerLink>>,
    task: JoinHandle<()>,
}

impl PeerHub {
    /// Starts to accept peers on a bound listener. `scope` names the deployment and group; peers of
    /// another scope are refused even if they hold the same key. Events are sent to `events`, whose capacity
    /// applies backpressure to peers that send faster than this instance processes.
    ///
    /// # Errors
    /// When the listener has no local address.
    pub fn spawn(
        listener: TcpListener,
        identity: PeerIdentity,
        keys: PeerKeys,
        scope: String,
        events: mpsc::Sender<PeerEvent>,
    ) -> Result<Self, PeerError> {
        let address = listener.local_addr().context(SocketSnafu { step: "bind", peer: "self" })?;
        let context = Arc::new(LinkContext { identity, keys, scope });
        let task = tokio::spawn(accept_all(listener, Arc::clone(&context), events));
        Ok(Self { address, context, links: Mutex::default(), seeds: Mutex::default(), task })
    }

    /// Address on which this instance accepts peers.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Dials seed addresses whose incarnations are not known yet, so that these processes receive
    /// the identity of this one.
    pub fn dial_seeds(&self, addresses: &[SocketAddr]) {
        let others = addresses.iter().filter(|address| **address != self.address);
        let links = others.map(|address| PeerLink::spawn(*address, Arc::clone(&self.context)));
        let mut seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner);
        seeds.extend(links);
    }

    /// Closes links to other peers and opens missing links to these.
    pub fn set_peers(&self, targets: &[PeerTarget]) {
        let mut links = self.lock_links();
        links.retain(|incarnation, link| {
            targets
                .iter()
                .any(|target| target.incarnation == *incarnation && target.address == link.address)
        });
        for target in targets {
            let context = &self.context;
            links
                .entry(target.incarnation)
                .or_insert_with(|| PeerLink::spawn(target.address, Arc::clone(context)));
        }
    }

    /// Queues a frame for a peer; false when there is no link or its queue is full.
    pub fn send(&self, peer: IncarnationId, frame: PeerFrame) -> bool {
        self.lock_links().get(&peer).is_some_and(|link| link.send(frame))
    }

    /// Queues a frame for every peer; skips peers whose queue is full.
    pub fn broadcast(&self, frame: &PeerFrame) {
        for link in self.lock_links().values() {
            link.send(frame.clone());
        }
    }

    fn lock_links(&self) -> MutexGuard<'_, HashMap<IncarnationId, PeerLink>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for PeerHub {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_all(
    listener: TcpListener,
    context: Arc<LinkContext>,
    events: mpsc::Sender<PeerEvent>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let context = Arc::clone(&context);
                let events = events.clone();
                tokio::spawn(async move {
                    if let Err(error) = receive_all(stream, peer, &context, &events).await {
                        log::debug!("event=peer-link-closed {error}");
                    }
                });
            }
            Err(error) => {
                log::warn!("event=peer-accept-failed error={error}");
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            }
        }
    }
}

async fn receive_all(
    stream: TcpStream,
    peer: SocketAddr,
    context: &LinkContext,
    events: &mpsc::Sender<PeerEvent>,
) -> Result<(), PeerError> {
    let name = peer.to_string();
    stream.set_nodelay(true).context(SocketSnafu { step: "accept", peer: &name })?;
    let handshake = async {
        let mut channel = accept_async_with_config(stream, Some(channel_config()))
            .await
            .context(ChannelSnafu { step: "upgrade", peer: &name })?;
        let identity =
            accept_handshake(&mut channel, (&context.keys, &context.scope), &name).await?;
        Ok::<_, PeerError>((channel, identity))
    };
    let Ok(accepted) = timeout(HANDSHAKE_TIMEOUT, handshake).await else {
        return TimeoutSnafu { step: "handshake", peer: name }.fail();
    };
    let (mut channel, identity) = accepted?;
    let incarnation = identity.incarnation;
    if events.send(PeerEvent::Connected(identity)).await.is_err() {
        return Ok(());
    }
    let received = receive_frames(&mut channel, incarnation, &name, events).await;
    let _closed = events.send(PeerEvent::Closed(incarnation)).await;
    received
}

/// Passes on the frames of a peer until the link ends.
async fn receive_frames(
    channel: &mut WebSocketStream<TcpStream>,
    incarnation: IncarnationId,
    name: &str,
    events: &mpsc::Sender<PeerEvent>,
) -> Result<(), PeerError> {
    while let Some(message) = channel.next().await {
        let message = message.context(ChannelSnafu { step: "receive", peer: name })?;
        if !message.is_binary() {
            continue;
        }
        // A peer with a newer version of the software may send unknown kinds of frames.
        let frame = match decode_frame(message.into_data().as_ref()) {
            Ok(frame) => frame,
            Err(error) => {
                log::warn!("event=peer-frame-skipped peer={name} {error}");
                continue;
            }
        };
        if events.send(PeerEvent::Frame(incarnation, frame)).await.is_err() {
            return Ok(());
        }
    }
    Ok(())
}
