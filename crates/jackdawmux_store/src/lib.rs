//! Client of the platform's object API.
//!
//! Objects have versions, counted from 1. Updates are conditional on a version, and a watch waits
//! for a higher one. An update reports whether it was done, not done, or has an unknown outcome,
//! because a reply can be lost after the update took effect.

mod config;
mod error;
mod http;
mod store;

pub use config::{
    AcceptOutcome, AcceptRecord, AcceptRequest, ConfigHead, HEAD_KEY, StoredHead, accept_rules,
    decode_head, digest_of, read_head, read_rules,
};
pub use error::StoreError;
pub use http::HttpStore;
pub use store::{ObjectStore, StoreFuture, StoredObject, UpdateOutcome};
