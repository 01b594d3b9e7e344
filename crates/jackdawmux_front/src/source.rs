//! The source of fleet updates, with which instances also register.

use std::pin::Pin;
use std::time::Duration;

use jackdawmux_policy::fleet::permission::{ConfigProof, ShownConfig};
pub use jackdawmux_policy::fleet::position::{SourcePosition, WatchTopic};
use jackdawmux_policy::fleet::record::{ConfigRecord, EndpointRecord, InstanceRecord};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use strum::Display;

/// One change to the fleet state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetUpdate {
    /// A complete version of the configuration.
    Config(Box<ConfigRecord>),
    /// An endpoint was registered or its registration changed, at this revision.
    Endpoint(EndpointRecord, u64),
    /// An endpoint's registration was removed or cannot be decoded.
    EndpointRemoved(String),
    /// A failure domain is being evacuated.
    EvacuationStarted(String),
    /// A failure domain may be used again.
    EvacuationEnded(String),
    /// An instance was registered or its registration changed.
    Instance(InstanceRecord),
    /// An instance's registration was removed or cannot be decoded.
    InstanceRemoved(String),
}

impl FleetUpdate {
    /// Name of the object that changed, unique in its topic.
    #[must_use]
    pub fn name(&self) -> String {
        match self {
            Self::Config(_) => String::new(),
            Self::Endpoint(record, _) => record.id.clone(),
            Self::Instance(record) => record.name.clone(),
            Self::EndpointRemoved(name)
            | Self::EvacuationStarted(name)
            | Self::EvacuationEnded(name)
            | Self::InstanceRemoved(name) => name.clone(),
        }
    }

    /// Whether the object exists after the change.
    #[must_use]
    pub const fn object_exists(&self) -> bool {
        match self {
            Self::Config(_)
            | Self::Endpoint(..)
            | Self::EvacuationStarted(_)
            | Self::Instance(_) => true,
            Self::EndpointRemoved(_) | Self::EvacuationEnded(_) | Self::InstanceRemoved(_) => false,
        }
    }
}

/// How old the data of a list may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFreshness {
    /// As of the call.
    Current,
    /// Some seconds old, for a reader that knows nothing yet and watches from there.
    MayBeOld,
}

/// What a reply shows about the age of the data, in addition to its updates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReadEvidence {
    /// The source replied, and all that it named was decoded.
    #[default]
    Source,
    /// The source replied, but its latest configuration could not be decoded.
    Undecoded,
    /// A relay replied; none if it could not state when its own read began.
    Relay(Option<ConfigProof>),
}

/// Updates with the position from which the next watch continues.
#[derive(Clone, Debug, PartialEq)]
pub struct UpdateBatch {
    /// The updates, in the order in which they are applied.
    pub updates: Vec<FleetUpdate>,
    /// Position in the source's history after these updates.
    pub position: SourcePosition,
    /// Revision of the newest change among the updates; zero if there is none.
    pub newest_revision: u64,
    /// Whether another instance has read them from the source.
    pub is_relayed: bool,
    /// What the reply shows about its age.
    pub evidence: ReadEvidence,
}

impl UpdateBatch {
    /// A reply without updates.
    #[must_use]
    pub const fn unchanged(position: SourcePosition, evidence: ReadEvidence) -> Self {
        Self { updates: Vec::new(), position, newest_revision: 0, is_relayed: false, evidence }
    }

    /// The configuration that the reply shows. A full list shows none unless it contains one.
    #[must_use]
    pub fn shown_config(&self, is_full_list: bool) -> ShownConfig {
        let version = self.updates.iter().rev().find_map(|update| match update {
            FleetUpdate::Config(config) => Some(config.version),
            _ => None,
        });
        match version {
            _ if self.evidence == ReadEvidence::Undecoded => ShownConfig::Unknown,
            Some(version) => ShownConfig::Version(version),
            None if is_full_list => ShownConfig::Unknown,
            None => ShownConfig::Unchanged,
        }
    }
}

/// Why a call to the source failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SourceErrorKind {
    /// The history after the position is no longer kept; the full list must be read again.
    HistoryGone,
    /// The source refused the call; nothing was changed.
    Refused,
    /// No reply arrived; a write may have taken effect.
    #[strum(serialize = "no-answer")]
    NoReply,
    /// No reply to a watch arrived in time. The source may answer other calls.
    WatchOverdue,
    /// The reply could not be decoded.
    Malformed,
}

/// A failed call to the source.
#[derive(Debug, Snafu)]
#[snafu(display("step={step} peer={peer} fault={kind} error={reason:?}"))]
pub struct SourceError {
    /// The operation that failed.
    pub step: &'static str,
    /// Address of the source.
    pub peer: String,
    /// Kind of the error; logged under `fault`.
    pub kind: SourceErrorKind,
    /// Description of the cause.
    pub reason: String,
}

/// Result of a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegistrationReceipt {
    /// Position at which the registration was written; lists from that position on contain it.
    pub position: SourcePosition,
    /// Whether it replaced that of an earlier process of the same name.
    pub is_replacement: bool,
}

/// Future of a call to the source.
pub type SourceFuture<'call, T> =
    Pin<Box<dyn Future<Output = Result<T, SourceError>> + Send + 'call>>;

/// Source of fleet updates and registry of instances.
pub trait FleetSource: Send + Sync + std::fmt::Debug {
    /// Reads the full list of a topic.
    fn list(&self, topic: WatchTopic, freshness: ListFreshness) -> SourceFuture<'_, UpdateBatch>;

    /// Waits up to `wait` for updates after a position.
    fn watch(
        &self,
        topic: WatchTopic,
        position: SourcePosition,
        wait: Duration,
    ) -> SourceFuture<'_, UpdateBatch>;

    /// Highest era that any reply has named; zero if the source names none.
    fn era(&self) -> u64 {
        0
    }

    /// Checks cheaply whether the source answers calls; the data that it replies with may be old.
    fn check(&self) -> SourceFuture<'_, ()>;

    /// Registers an instance, or replaces its registration.
    fn register<'call>(
        &'call self,
        record: &'call InstanceRecord,
    ) -> SourceFuture<'call, RegistrationReceipt>;

    /// Removes an instance's registration.
    fn withdraw<'call>(&'call self, instance: &'call str) -> SourceFuture<'call, ()>;
}
