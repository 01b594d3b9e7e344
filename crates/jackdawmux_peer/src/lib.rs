//! Links between instances: CBOR frames over WebSocket.
//!
//! Each instance dials every peer it knows and sends only on the links it dialled; it receives on
//! the links that peers dialled. A cut in one direction therefore stops exactly that direction's
//! frames. Links are authenticated by shared keys, of which two may overlap during a rotation.

mod codec;
mod error;
mod frame;
mod handshake;
mod hub;
mod link;

pub use codec::{FRAME_LIMIT_BYTES, decode_frame, encode_frame};
pub use error::PeerError;
pub use frame::{ConfigContent, FrameBody, PeerFrame};
pub use handshake::{PeerIdentity, PeerKeys};
pub use hub::{PeerEvent, PeerHub, PeerTarget};
