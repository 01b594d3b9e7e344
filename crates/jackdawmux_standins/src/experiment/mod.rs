//! Comparison of steering policies by simulation in virtual time over one model of a deployment.
//!
//! Arrivals, service times and network delays are the same for every policy of a run; only the
//! decisions differ. The steering state machines under test are the ones that instances run.

mod baseline;
mod fleet;
mod model;
mod simulation;

pub use baseline::{CentralQueue, LeastInFlight, PowerOfTwo, RoundRobin};
pub use fleet::FleetPolicy;
pub use model::{ExperimentModel, ModelEndpoint, ModelSettings};
pub use simulation::{PolicyStep, SimulationReport, SteeringPolicy, run_simulation};
