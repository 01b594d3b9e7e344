//! Steering decisions as pure state machines.
//!
//! Every type here takes events together with the current time and returns actions. Nothing in
//! this crate performs I/O, reads a clock or keeps global state; randomness comes from a
//! generator that the caller passes in. Each invariant can therefore be checked under adversarial
//! schedules, and the same code runs in a process, a property test and a virtual-time experiment.

pub mod assignment;
pub mod claim;
pub mod clock;
pub mod endpoint;
pub mod fleet;
pub mod group;
pub mod hlc;
pub mod idempotency;
pub mod identity;
pub mod lease;
pub mod membership;
pub mod message;
pub mod outcome;
pub mod poison;
pub mod queue;
pub mod retry;
pub mod scheduler;
pub mod shift;
pub mod steering;
pub mod table;
pub mod ticket;
pub mod version;
