//! Messages that the steering state machines of instances exchange.

use std::fmt;

use serde::de::{IgnoredAny, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use strum::AsRefStr;

use crate::clock::PolicyTime;
use crate::group::GroupView;
use crate::identity::IncarnationId;

/// Slots and waiting requests of one service at the sender.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceReport {
    /// Service name.
    pub service: String,
    /// Slots that the sender could give out now.
    pub idle: u32,
    /// Slots of usable endpoints that the sender owns, free or in use.
    pub slots: u32,
    /// Waiting requests of high priority.
    pub waiting_high: u32,
    /// Waiting requests of any priority.
    pub waiting: u32,
    /// Mean service time of a request, in microseconds.
    pub mean_us: u32,
}

impl Serialize for ServiceReport {
    // Written as a tuple, without field names, because every heartbeat carries one report for each
    // service.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(6)?;
        tuple.serialize_element(&self.service)?;
        tuple.serialize_element(&self.idle)?;
        tuple.serialize_element(&self.slots)?;
        tuple.serialize_element(&self.waiting_high)?;
        tuple.serialize_element(&self.waiting)?;
        tuple.serialize_element(&self.mean_us)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for ServiceReport {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ReportVisitor)
    }
}

struct ReportVisitor;

impl<'de> Visitor<'de> for ReportVisitor {
    type Value = ServiceReport;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a tuple of a service name and five integers")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Self::Value, A::Error> {
        let missing = |index| serde::de::Error::invalid_length(index, &self);
        let service = sequence.next_element()?.ok_or_else(|| missing(0))?;
        let idle = sequence.next_element()?.ok_or_else(|| missing(1))?;
        let slots = sequence.next_element()?.ok_or_else(|| missing(2))?;
        let waiting_high = sequence.next_element()?.ok_or_else(|| missing(3))?;
        let waiting = sequence.next_element()?.ok_or_else(|| missing(4))?;
        let mean_us = sequence.next_element()?.ok_or_else(|| missing(5))?;
        // Skips elements that later versions may append.
        while sequence.next_element::<IgnoredAny>()?.is_some() {}
        Ok(ServiceReport { service, idle, slots, waiting_high, waiting, mean_us })
    }
}

/// Periodic report of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceHeartbeat {
    /// Time on the sender's monotonic clock.
    pub clock: PolicyTime,
    /// Version of the active configuration; zero when there is none.
    pub config_version: u64,
    /// Version of the sender's copy of the stored view.
    pub view_version: u64,
    /// One report for each service.
    pub reports: Vec<ServiceReport>,
    /// Whether a planned stop of the sender has started.
    pub is_leaving: bool,
    /// Earlier processes whose tickets were handed over to the sender.
    #[serde(default)]
    pub handovers: Vec<IncarnationId>,
}

/// A message between two instances.
#[derive(Clone, Debug, PartialEq, Eq, AsRefStr, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum SteeringMessage {
    /// Periodic report; also sent immediately when a configuration is applied or a planned stop
    /// begins.
    Heartbeat(InstanceHeartbeat),
    /// Requests a promise from a committee member.
    PromiseAsk {
        /// Time on the holder's clock when it sent the request.
        asked_at: PolicyTime,
        /// Version of the holder's copy of the stored view.
        seen: u64,
    },
    /// Grants a promise.
    PromiseGiven {
        /// Copied from the request.
        asked_at: PolicyTime,
    },
    /// Requests a vote against an unresponsive holder from a committee member.
    VoteAsk {
        /// The unresponsive holder.
        holder: IncarnationId,
        /// Version of the stored view that the takeover is based on.
        version: u64,
    },
    /// Casts a vote.
    VoteMade {
        /// Copied from the request.
        holder: IncarnationId,
        /// Copied from the request.
        version: u64,
    },
    /// Requests the stored view if the receiver has a higher version of it.
    ViewAsk {
        /// Version of the sender's copy.
        seen: u64,
    },
    /// Sends the stored view to a peer.
    ViewOffer {
        /// Its version in the store.
        version: u64,
        /// The view.
        view: GroupView,
    },
    /// Shares the poison status of a request that crashed an endpoint.
    Suspect {
        /// Digest of the request.
        digest: u64,
        /// Whether the request is blocked rather than only suspected.
        is_convicted: bool,
    },
}
