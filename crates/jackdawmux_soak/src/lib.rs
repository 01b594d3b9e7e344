//! Randomized fault soak: real front processes between stand-ins of callers, endpoints and the
//! store, with faults injected from outside: signals, and loopback proxies on every link.
//!
//! A seed draws the plan of faults and what callers ask for. The promises are checked afterwards
//! from what callers and endpoints saw. The order in which threads run is not drawn, so a seed
//! repeats the plan, not every interleaving.

pub mod callers;
pub mod child;
pub mod disturbance;
pub mod fleet;
pub mod inject;
pub mod plan;
pub mod proxy;
pub mod record;
pub mod run;
pub mod verdict;

pub use run::{SoakReport, SoakSize, run_seed};
