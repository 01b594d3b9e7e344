//! One dialled link with its bounded send queue.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::SinkExt;
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

use crate::codec::{MAX_FRAME_BYTES, encode_frame};
use crate::error::{ChannelSnafu, PeerError, SocketSnafu, TimeoutSnafu};
use crate::frame::PeerFrame;
use crate::handshake::{HANDSHAKE_TIMEOUT, PeerIdentity, PeerKeys, dial_handshake};

/// Maximum number of frames queued for one peer; further frames are dropped.
const MAX_QUEUED_FRAMES: usize = 4_096;
/// Buffer of a link in each direction, in bytes; small, because a group has many links and small
/// frames.
const CHANNEL_BUFFER_BYTES: usize = 8 * 1024;
/// Backoff before the first redial; doubles up to [`MAX_REDIAL_BACKOFF`].
const INITIAL_REDIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff before a redial, without jitter.
const MAX_REDIAL_BACKOFF: Duration = Duration::from_secs(1);
/// Timeout for writing one batch of queued frames.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// State shared by all links of an instance.
#[derive(Debug)]
pub(crate) struct LinkContext {
    pub(crate) identity: PeerIdentity,
    pub(crate) keys: PeerKeys,
    /// Deployment and group.
    pub(crate) scope: String,
}

/// A link to one peer; dropping it closes the link.
#[derive(Debug)]
pub(crate) struct PeerLink {
    pub(crate) address: SocketAddr,
    queue: mpsc::Sender<PeerFrame>,
    task: JoinHandle<()>,
}

impl PeerLink {
    pub(crate) fn spawn(address: SocketAddr, context: Arc<LinkContext>) -> Self {
        let (queue, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
        let task = tokio::spawn(maintain_link(address, context, frames));
        Self { address, queue, task }
    }

    /// Queues a frame; false when the queue is full.
    pub(crate) fn send(&self, frame: PeerFrame) -> bool {
        self.queue.try_send(frame).is_ok()
    }
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

pub(crate) fn channel_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(CHANNEL_BUFFER_BYTES)
        .write_buffer_size(CHANNEL_BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

async fn maintain_link(
    address: SocketAddr,
    context: Arc<LinkContext>,
    mut frames: mpsc::Receiver<PeerFrame>,
) {
    let mut backoff = INITIAL_REDIAL_BACKOFF;
    loop {
        match dial(address, &context).await {
            Ok(mut channel) => {
                backoff = INITIAL_REDIAL_BACKOFF;
                log::debug!("event=peer-linked peer={address}");
                match write_frames(&mut channel, &mut frames, address).await {
                    Ok(()) => return,
                    Err(error) => log::debug!("event=peer-link-broken {error}"),
                }
            }
            Err(error) => log::debug!("event=peer-dial-failed {error}"),
        }
        // Frames queued while the link is down are stale when it is connected again.
        while frames.try_recv().is_ok() {}
        let jitter = rand::random_range(0.5..1.5);
        tokio::time::sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(MAX_REDIAL_BACKOFF);
    }
}

async fn dial(
    address: SocketAddr,
    context: &LinkContext,
) -> Result<WebSocketStream<TcpStream>, PeerError> {
    let peer = address.to_string();
    let connect = async {
        let stream = TcpStream::connect(address)
            .await
            .context(SocketSnafu { step: "connect", peer: &peer })?;
        stream.set_nodelay(true).context(SocketSnafu { step: "connect", peer: &peer })?;
        let url = format!("ws://{address}/peer");
        let (mut channel, _) = client_async_with_config(url, stream, Some(channel_config()))
            .await
            .context(ChannelSnafu { step: "upgrade", peer: &peer })?;
        dial_handshake(&mut channel, (&context.keys, &context.scope), &context.identity, &peer)
            .await?;
        Ok(channel)
    };
    match timeout(HANDSHAKE_TIMEOUT, connect).await {
        Ok(result) => result,
        Err(_elapsed) => TimeoutSnafu { step: "dial", peer }.fail(),
    }
}

/// Writes queued frames until the queue closes; frames that are already queued are flushed as one
/// batch.
async fn write_frames(
    channel: &mut WebSocketStream<TcpStream>,
    frames: &mut mpsc::Receiver<PeerFrame>,
    address: SocketAddr,
) -> Result<(), PeerError> {
    let peer = address.to_string();
    while let Some(first) = frames.recv().await {
        let mut next = Some(first);
        let write = async {
            while let Some(frame) = next.take() {
                let message = Message::binary(encode_frame(&frame)?);
                channel.feed(message).await.context(ChannelSnafu { step: "send", peer: &peer })?;
                next = frames.try_recv().ok();
            }
            channel.flush().await.context(ChannelSnafu { step: "send", peer: &peer })
        };
        match timeout(WRITE_TIMEOUT, write).await {
            Ok(result) => result?,
            Err(_elapsed) => return TimeoutSnafu { step: "send", peer }.fail(),
        }
    }
    Ok(())
}
