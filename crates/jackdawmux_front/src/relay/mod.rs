//! Distribution of updates inside a failure domain, so that not every instance reads the source.
//!
//! `docs/design/0008-distribution.md` describes the alternatives.

mod hub;
mod peer_reader;
mod server;
mod source;
mod wire;

pub(crate) use hub::RelayHub;
pub(crate) use peer_reader::PeerReader;
pub(crate) use server::relay_router;
pub use source::RelayedSource;
pub use wire::{RelayedBatch, decode_batch, encode_batch, format_proof, parse_proof};
