//! One dialled link with its bounded queue.

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

use crate::codec::{FRAME_LIMIT_BYTES, encode_frame};
use crate::error::{ChannelSnafu, PeerError, SocketSnafu, TimeoutSnafu};
use crate::frame::PeerFrame;
use crate::handshake::{HANDSHAKE_LONGEST, PeerIdentity, PeerKeys, introduce};

/// Frames that wait for one peer; later ones are dropped.
const QUEUE_LIMIT: usize = 4_096;
/// Buffer of a link in each direction, in bytes; a group has many links and small frames.
const CHANNEL_BUFFER: usize = 8 * 1024;
/// Pause before the first redial; doubles up to the longest.
const REDIAL_FIRST: Duration = Duration::from_millis(50);
/// Longest pause before a redial.
const REDIAL_LONGEST: Duration = Duration::from_secs(1);
/// Longest time for writing one frame.
const WRITE_LONGEST: Duration = Duration::from_secs(2);

/// What every link of an instance shares.
#[derive(Debug)]
pub(crate) struct LinkContext {
    pub(crate) identity: PeerIdentity,
    pub(crate) keys: PeerKeys,
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
        let (queue, frames) = mpsc::channel(QUEUE_LIMIT);
        let task = tokio::spawn(keep_link(address, context, frames));
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
        .read_buffer_size(CHANNEL_BUFFER)
        .write_buffer_size(CHANNEL_BUFFER)
        .max_message_size(Some(FRAME_LIMIT_BYTES))
        .max_frame_size(Some(FRAME_LIMIT_BYTES))
}

async fn keep_link(
    address: SocketAddr,
    context: Arc<LinkContext>,
    mut frames: mpsc::Receiver<PeerFrame>,
) {
    let mut pause = REDIAL_FIRST;
    loop {
        match dial(address, &context).await {
            Ok(mut channel) => {
                pause = REDIAL_FIRST;
                log::debug!("event=peer-linked peer={address}");
                match pump(&mut channel, &mut frames, address).await {
                    Ok(()) => return,
                    Err(error) => log::debug!("event=peer-link-broken {error}"),
                }
            }
            Err(error) => log::debug!("event=peer-dial-failed {error}"),
        }
        // Frames queued for a broken link are stale by the time it is back.
        while frames.try_recv().is_ok() {}
        let jitter = rand::random_range(0.5..1.5);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
        pause = (pause * 2).min(REDIAL_LONGEST);
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
        introduce(&mut channel, &context.keys, &context.identity, &peer).await?;
        Ok(channel)
    };
    match timeout(HANDSHAKE_LONGEST, connect).await {
        Ok(result) => result,
        Err(_elapsed) => TimeoutSnafu { step: "dial", peer }.fail(),
    }
}

/// Writes queued frames, batching those that are ready, until the queue closes.
async fn pump(
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
        match timeout(WRITE_LONGEST, write).await {
            Ok(result) => result?,
            Err(_elapsed) => return TimeoutSnafu { step: "send", peer }.fail(),
        }
    }
    Ok(())
}
