//! State and tasks whose lifetime is that of the process.

mod connectivity;
mod endpoint_probe;
mod error;
mod heartbeat;
mod launch;
mod lookup;
mod peer_facts;
mod settings;
mod state;
mod state_actor;
mod team_permission;
mod watcher;

pub use error::FrontError;
pub use heartbeat::{Heartbeat, decode_heartbeat, encode_heartbeat};
pub use launch::{FrontParts, FrontProcess};
pub(crate) use peer_facts::{AdoptRestoreFacts, ApplyPeerConfig};
pub use settings::FrontSettings;
pub use state::{FrontPhase, FrontState};
pub(crate) use state_actor::StateActor;
