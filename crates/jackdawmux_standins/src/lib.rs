//! Stand-ins for the systems around jackdawmux: the platform's object store, upstreams and
//! callers, with the faults that each can have.
//!
//! They are small fakes at the interfaces for tests, demonstrations and measurements. Each binds
//! a port of the operating system's choice when asked for port 0.

pub mod caller;
pub mod deployment;
pub mod experiment;
pub mod report;
pub mod serve;
pub mod store;
pub mod upstream;
