//! Distribution of updates inside a failure domain, so that not every instance reads the source.
//!
//! `docs/design/0008-distribution.md` describes the alternatives.

mod config_reader;
mod hub;
mod server;
mod source;
mod wire;

pub(crate) use config_reader::ConfigReader;
pub(crate) use hub::RelayHub;
pub(crate) use server::relay_router;
pub use source::RelayedSource;
pub use wire::{RelayedBatch, decode_batch, encode_batch};
