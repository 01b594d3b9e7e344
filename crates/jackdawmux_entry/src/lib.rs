//! The entry instance: look-up, forwarding, membership and configuration.
//!
//! Modules are laid out by life span: what lives for a request, a connection, a version of the
//! configuration, and the process.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

pub use process::{EntryProcess, ProcessError};
