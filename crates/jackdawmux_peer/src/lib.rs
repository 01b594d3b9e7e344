//! Links between instances: CBOR frames over WebSocket.
//!
//! Each instance dials every peer it knows and sends only on the links that it dialled; it receives
//! on the links that its peers dialled. A network fault in one direction therefore stops only the
//! frames of that direction. Links are authenticated with shared keys; during a key rotation two
//! keys may be in use.

mod codec;
mod error;
mod frame;
mod handshake;
mod hub;
mod link;

pub use codec::{MAX_FRAME_BYTES, decode_frame, encode_frame};
pub use error::PeerError;
pub use frame::{ConfigContent, FrameBody, PeerFrame};
pub use handshake::{PeerIdentity, PeerKeys};
pub use hub::{PeerEvent, PeerHub, PeerTarget};
