//! Errors of links between instances.

use snafu::Snafu;
use tokio_tungstenite::tungstenite;

/// Failure of a link, with the step that failed and the peer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// Connecting, binding or reading an address failed.
    #[snafu(display("step={step} peer={peer} error={source}"))]
    Socket {
        /// Step that failed.
        step: &'static str,
        /// Address of the peer.
        peer: String,
        /// Underlying error.
        source: std::io::Error,
    },
    /// The WebSocket connection failed.
    #[snafu(display("step={step} peer={peer} error={source}"))]
    Channel {
        /// Step that failed.
        step: &'static str,
        /// Address of the peer.
        peer: String,
        /// Underlying error.
        #[snafu(source(from(tungstenite::Error, Box::new)))]
        source: Box<tungstenite::Error>,
    },
    /// A frame or handshake message could not be encoded or decoded.
    #[snafu(display("step=decode error={reason}"))]
    Malformed {
        /// Description of the encoding error.
        reason: String,
    },
    /// The handshake failed: the peer did not prove that it holds an accepted key, uses another
    /// protocol version, or closed the link.
    #[snafu(display("step=handshake peer={peer} error=\"{reason}\""))]
    Refused {
        /// Address of the peer.
        peer: String,
        /// Reason for the refusal.
        reason: &'static str,
    },
    /// The peer did not reply in time.
    #[snafu(display("step={step} peer={peer} error=timeout"))]
    Timeout {
        /// Step that failed.
        step: &'static str,
        /// Address of the peer.
        peer: String,
    },
}
