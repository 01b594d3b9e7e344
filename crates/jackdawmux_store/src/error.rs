//! Errors of calls to the object store.

use jackdawmux_runtime::BoundedBodyError;
use snafu::Snafu;

/// A call to the store that failed or returned an unusable reply.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// The request could not be sent or its reply could not be read.
    #[snafu(display("step={step} peer={peer} error={source}"))]
    Transport {
        /// Call that failed.
        step: &'static str,
        /// Address of the store.
        peer: String,
        /// Underlying error.
        source: reqwest::Error,
    },
    /// The body of a reply could not be read to its end, or is too large.
    #[snafu(display("step={step} peer={peer} error=\"{source}\""))]
    Body {
        /// Call that failed.
        step: &'static str,
        /// Address of the store.
        peer: String,
        /// Underlying error.
        source: BoundedBodyError,
    },
    /// The store replied with an unexpected HTTP status.
    #[snafu(display("step={step} peer={peer} status={status}"))]
    Status {
        /// Call that failed.
        step: &'static str,
        /// Address of the store.
        peer: String,
        /// HTTP status code.
        status: u16,
    },
    /// The reply had no valid object version in its `ETag` header.
    #[snafu(display("step={step} peer={peer} error=\"reply without a version\""))]
    Version {
        /// Call that failed.
        step: &'static str,
        /// Address of the store.
        peer: String,
    },
    /// An object's content is missing or unreadable.
    #[snafu(display("step=decode key={key} error=\"{reason}\""))]
    Content {
        /// Store key of the object.
        key: String,
        /// Description of the error.
        reason: String,
    },
}
