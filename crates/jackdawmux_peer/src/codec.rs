//! Frames to bytes and back.

use crate::error::PeerError;
use crate::frame::PeerFrame;

/// Largest frame, in bytes: a rules file of the store's largest value with room for its frame.
pub const FRAME_LIMIT_BYTES: usize = 5 * 1024 * 1024;
/// Room first taken for a frame, in bytes.
const FRAME_USUAL_BYTES: usize = 256;
/// Deepest nesting that is decoded.
const NESTING_LIMIT: usize = 16;

/// Encodes a frame.
///
/// # Errors
/// When the frame cannot be represented.
pub fn encode_frame(frame: &PeerFrame) -> Result<Vec<u8>, PeerError> {
    let mut bytes = Vec::with_capacity(FRAME_USUAL_BYTES);
    ciborium::into_writer(frame, &mut bytes)
        .map_err(|error| PeerError::Malformed { reason: error.to_string() })?;
    Ok(bytes)
}

/// Decodes a frame; unknown fields are skipped, unknown kinds are an error, never a panic.
///
/// # Errors
/// When the bytes are no frame.
pub fn decode_frame(bytes: &[u8]) -> Result<PeerFrame, PeerError> {
    if bytes.len() > FRAME_LIMIT_BYTES {
        return Err(PeerError::Malformed { reason: "frame too large".to_owned() });
    }
    ciborium::de::from_reader_with_recursion_limit(bytes, NESTING_LIMIT)
        .map_err(|error| PeerError::Malformed { reason: error.to_string() })
}
