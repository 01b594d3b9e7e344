//! The entry instance: lookup, forwarding, membership and configuration.
//!
//! Modules are divided by the lifetime of their state: a request, a connection, a version of the
//! configuration, or the process.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

pub use process::{EntryProcess, ProcessError};
