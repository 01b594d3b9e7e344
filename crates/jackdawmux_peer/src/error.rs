//! Errors of links between instances.

use snafu::Snafu;
use tokio_tungstenite::tungstenite;

/// A link that failed, with the step and the peer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// Connecting, binding or reading an address failed.
    #[snafu(display("step={step} peer={peer} error={source}"))]
    Socket {
        /// What was being done.
        step: &'static str,
        /// The peer's address.
        peer: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The WebSocket broke off.
    #[snafu(display("step={step} peer={peer} error={source}"))]
    Channel {
        /// What was being done.
        step: &'static str,
        /// The peer's address.
        peer: String,
        /// The cause.
        #[snafu(source(from(tungstenite::Error, Box::new)))]
        source: Box<tungstenite::Error>,
    },
    /// A frame could not be decoded.
    #[snafu(display("step=decode error={reason}"))]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
    /// The peer did not prove that it holds a key.
    #[snafu(display("step=handshake peer={peer} error=\"{reason}\""))]
    Refused {
        /// The peer's address.
        peer: String,
        /// What was missing.
        reason: &'static str,
    },
    /// The peer did not answer in time.
    #[snafu(display("step={step} peer={peer} error=timeout"))]
    Timeout {
        /// What was being done.
        step: &'static str,
        /// The peer's address.
        peer: String,
    },
}
