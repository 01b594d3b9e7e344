//! Frames that pass between instances.

use jackdawmux_policy::hlc::HybridTimestamp;
use jackdawmux_policy::message::SteeringMessage;
use jackdawmux_policy::ticket::TicketHandover;
use serde::{Deserialize, Serialize};
use strum::AsRefStr;

/// One accepted version of the rules with its origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigContent {
    /// Version of the configuration.
    pub version: u64,
    /// SHA-256 of the rules, in hexadecimal.
    pub digest: String,
    /// The rules file.
    pub rules: String,
}

/// What a frame carries.
#[derive(Clone, Debug, PartialEq, Eq, AsRefStr, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum FrameBody {
    /// A message between the steering states of two instances.
    Steering(SteeringMessage),
    /// Asks for the configuration if it is above a version.
    #[serde(rename = "ConfigAsk")]
    #[strum(serialize = "config-ask")]
    ConfigRequest {
        /// Version in force at the sender.
        #[serde(rename = "have")]
        active_version: u64,
    },
    /// Offers a version of the configuration.
    ConfigOffer(ConfigContent),
    /// Passes on the tickets of a process that has stopped, to the one that may run them.
    TicketHandover(TicketHandover),
}

/// One frame between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// The sender's hybrid clock.
    pub stamp: HybridTimestamp,
    /// The content.
    pub body: FrameBody,
}
