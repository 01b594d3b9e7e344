//! Messages that the steering state machines of two instances exchange.

use std::fmt;

use serde::de::{IgnoredAny, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use strum::AsRefStr;

use crate::clock::PolicyTime;
use crate::group::GroupView;
use crate::identity::IncarnationId;

/// Free slots and waiting requests of one service at the sender.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: String,
    /// Slots that could be given out.
    pub idle: u32,
    /// Slots that the sender may give out when all are free.
    pub slots: u32,
    /// Requests of high priority waiting.
    pub waiting_high: u32,
    /// All requests waiting.
    pub waiting: u32,
    /// Mean time of one request, in microseconds.
    pub mean_us: u32,
}

impl Serialize for ServiceReport {
    // One tuple without field names: every heartbeat carries one for each service.
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
        formatter.write_str("a tuple of a service and its five counts")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Self::Value, A::Error> {
        let missing = |index| serde::de::Error::invalid_length(index, &self);
        let service = sequence.next_element()?.ok_or_else(|| missing(0))?;
        let idle = sequence.next_element()?.ok_or_else(|| missing(1))?;
        let slots = sequence.next_element()?.ok_or_else(|| missing(2))?;
        let waiting_high = sequence.next_element()?.ok_or_else(|| missing(3))?;
        let waiting = sequence.next_element()?.ok_or_else(|| missing(4))?;
        let mean_us = sequence.next_element()?.ok_or_else(|| missing(5))?;
        // Later versions may append elements; they are skipped.
        while sequence.next_element::<IgnoredAny>()?.is_some() {}
        Ok(ServiceReport { service, idle, slots, waiting_high, waiting, mean_us })
    }
}

/// Regular report of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceHeartbeat {
    /// The sender's monotonic clock.
    pub clock: PolicyTime,
    /// Version of the configuration in force; zero when none is.
    pub config_version: u64,
    /// Version of the stored view last seen.
    pub view_version: u64,
    /// Slots by service.
    pub reports: Vec<ServiceReport>,
    /// Whether the sender is leaving.
    pub is_leaving: bool,
    /// Former processes whose tickets the sender holds.
    #[serde(default)]
    pub handovers: Vec<IncarnationId>,
}

/// A message between two instances.
#[derive(Clone, Debug, PartialEq, Eq, AsRefStr, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum SteeringMessage {
    /// Regular report; also sent at once when something in it changes.
    Heartbeat(InstanceHeartbeat),
    /// Asks a committee member for a promise.
    PromiseAsk {
        /// The holder's clock when it asked.
        asked_at: PolicyTime,
        /// Version of the stored view that the holder has seen.
        seen: u64,
    },
    /// Grants a promise.
    PromiseGiven {
        /// Copied from the request.
        asked_at: PolicyTime,
    },
    /// Asks a committee member for a vote against a silent holder.
    VoteAsk {
        /// The silent holder.
        holder: IncarnationId,
        /// Version of the stored view that the taker builds on.
        version: u64,
    },
    /// Makes a vote.
    VoteMade {
        /// Copied from the request.
        holder: IncarnationId,
        /// Copied from the request.
        version: u64,
    },
    /// Asks for the stored view if it is above a version.
    ViewAsk {
        /// Version that the sender has seen.
        seen: u64,
    },
    /// Passes on the stored view.
    ViewOffer {
        /// Its version in the store.
        version: u64,
        /// The view.
        view: GroupView,
    },
    /// Shares the standing of a request that brought an endpoint down.
    Suspect {
        /// Digest of the request.
        digest: u64,
        /// Whether it is convicted rather than only suspected.
        is_convicted: bool,
    },
}
