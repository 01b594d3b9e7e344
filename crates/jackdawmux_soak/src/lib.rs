//! Randomized fault soak: real front processes run between stand-ins for callers, endpoints and the
//! store. Faults are injected from outside the processes, by signals and by a loopback proxy on
//! each link.
//!
//! The seed determines the fault plan and the requests of the callers. The promises are checked
//! after the run, against what callers and endpoints recorded. Thread scheduling does not depend
//! on the seed, so a seed reproduces the plan but not every interleaving.

pub mod callers;
pub mod checks;
pub mod child;
pub mod disturbance;
pub mod fleet;
pub mod inject;
pub mod plan;
pub mod proxy;
pub mod record;
pub mod run;

pub use run::{SoakReport, SoakSize, run_seed};
