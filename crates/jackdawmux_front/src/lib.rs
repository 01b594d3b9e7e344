//! The front: forwards callers' requests to upstream endpoints that register themselves, and
//! answers lookups with the instances that callers should use.
//!
//! An adapter supplies the source of fleet updates and the wire format through two traits,
//! [`FleetSource`] and [`WireDialect`]. Steering decisions are made by `jackdawmux_policy::fleet`.

pub mod dialect;
pub mod process;
pub mod relay;
pub mod request;
pub mod source;
pub mod upstream;

pub use dialect::{Credential, LookupQuery, RequestHeaders, ResponseHeaders, WireDialect};
pub use process::{FrontError, FrontProcess, FrontSettings};
pub use source::{
    FleetSource, FleetUpdate, ListFreshness, ReadEvidence, SourceError, SourceErrorKind,
    SourcePosition, UpdateBatch, WatchTopic,
};
