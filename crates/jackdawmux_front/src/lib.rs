//! The front: carries callers' requests to upstream endpoints that register themselves, and tells
//! callers which instances to use.
//!
//! Where facts come from and what the wire looks like is behind two traits, [`FleetSource`] and
//! [`WireDialect`]; an adapter implements them. Decisions are those of `jackdawmux_policy::fleet`.

pub mod dialect;
pub mod process;
pub mod request;
pub mod source;
pub mod upstream;

pub use dialect::{LookupQuery, RequestHeaders, ResponseHeaders, WireDialect};
pub use process::{FrontError, FrontProcess, FrontSettings};
pub use source::{FleetSource, FleetUpdate, SourceError, SourceErrorKind, UpdateBatch, WatchTopic};
