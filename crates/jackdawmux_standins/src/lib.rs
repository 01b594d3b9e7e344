//! Stand-ins for the systems that jackdawmux works with: the platform's object store, upstream
//! endpoints and callers. The store and the endpoints can inject faults.
//!
//! They replace the real systems in tests, demonstrations and measurements. A server that is
//! given port 0 binds a free port chosen by the operating system.

pub mod caller;
pub mod deployment;
pub mod experiment;
pub mod report;
pub mod serve;
pub mod store;
pub mod upstream;
