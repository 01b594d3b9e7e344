//! Frames exchanged between instances.

use jackdawmux_policy::hlc::HybridTimestamp;
use jackdawmux_policy::message::SteeringMessage;
use jackdawmux_policy::ticket::TicketHandover;
use serde::{Deserialize, Serialize};
use strum::AsRefStr;

/// One accepted version of the rules.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigContent {
    /// Version of the configuration.
    pub version: u64,
    /// SHA-256 of the rules, in hexadecimal.
    pub digest: String,
    /// The rules file.
    pub rules: String,
}

/// Content of a frame.
#[derive(Clone, Debug, PartialEq, Eq, AsRefStr, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum FrameBody {
    /// A steering message, such as a heartbeat.
    Steering(SteeringMessage),
    /// Requests the configuration if the receiver has a later version.
    #[serde(rename = "ConfigAsk")]
    #[strum(serialize = "config-ask")]
    ConfigRequest {
        /// Version that is active at the sender.
        #[serde(rename = "have")]
        active_version: u64,
    },
    /// Offers a version of the configuration to the receiver.
    ConfigOffer(ConfigContent),
    /// Hands over the tickets of a stopped process to its successor.
    TicketHandover(TicketHandover),
}

/// One frame as sent between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// Timestamp of the sender's hybrid logical clock.
    pub stamp: HybridTimestamp,
    /// Content of the frame.
    pub body: FrameBody,
}
