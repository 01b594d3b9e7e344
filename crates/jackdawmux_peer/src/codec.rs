//! Encoding of frames to CBOR and back.

use crate::error::PeerError;
use crate::frame::PeerFrame;

/// Maximum size of a frame, in bytes: a rules file of the store's maximum value size and room for
/// the other fields of its frame.
pub const MAX_FRAME_BYTES: usize = 5 * 1024 * 1024;
/// Initial capacity of the buffer for a frame, in bytes.
const INITIAL_FRAME_BYTES: usize = 256;
/// Maximum nesting depth that is decoded.
const MAX_NESTING_DEPTH: usize = 16;

/// Encodes a frame as CBOR.
///
/// # Errors
/// When the frame cannot be represented in CBOR.
pub fn encode_frame(frame: &PeerFrame) -> Result<Vec<u8>, PeerError> {
    let mut bytes = Vec::with_capacity(INITIAL_FRAME_BYTES);
    ciborium::into_writer(frame, &mut bytes)
        .map_err(|error| PeerError::Malformed { reason: error.to_string() })?;
    Ok(bytes)
}

/// Decodes a frame. Unknown fields are skipped; an unknown kind of frame is an error. No input
/// causes a panic.
///
/// # Errors
/// When the bytes exceed [`MAX_FRAME_BYTES`] or are not a frame of a known kind.
pub fn decode_frame(bytes: &[u8]) -> Result<PeerFrame, PeerError> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(PeerError::Malformed { reason: "frame too large".to_owned() });
    }
    ciborium::de::from_reader_with_recursion_limit(bytes, MAX_NESTING_DEPTH)
        .map_err(|error| PeerError::Malformed { reason: error.to_string() })
}
