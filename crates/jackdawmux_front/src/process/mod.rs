//! State and tasks whose lifetime is that of the process.

mod cap_datagram;
mod cap_service;
mod connectivity;
mod endpoint_probe;
mod error;
mod heartbeat;
mod launch;
mod lookup;
mod peer_facts;
mod request_meter;
mod retry_report;
mod settings;
mod state;
mod state_actor;
mod team_permission;
mod watcher;

pub use cap_datagram::{CapMessage, decode_cap, encode_cap};
pub use cap_service::{CapPermit, CapService};
pub use error::FrontError;
pub use heartbeat::{Heartbeat, decode_heartbeat, encode_heartbeat};
pub use launch::{FrontParts, FrontProcess, SettingsReader};
pub(crate) use peer_facts::{AdoptRestoreFacts, ApplyPeerConfig};
pub use settings::FrontSettings;
pub use state::{CapAccess, FrontPhase, FrontState};
pub(crate) use state_actor::StateActor;
