//! Where the facts about the deployment come from, and where instances register.

use std::pin::Pin;
use std::time::Duration;

use jackdawmux_policy::fleet::record::{ConfigRecord, EndpointRecord, InstanceRecord};
use snafu::Snafu;
use strum::{Display, EnumIter};

/// Kinds of facts, each followed on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum WatchTopic {
    /// The operator's configuration.
    Config,
    /// Endpoints that registered themselves.
    Endpoints,
    /// Failure domains that are to be left alone.
    Evacuations,
    /// Instances of this system.
    Instances,
}

/// One fact.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetUpdate {
    /// A whole version of the configuration.
    Config(Box<ConfigRecord>),
    /// An endpoint as registered.
    Endpoint(EndpointRecord),
    /// An endpoint's registration is gone or unreadable.
    EndpointRemoved(String),
    /// A failure domain is to be left alone.
    EvacuationStarted(String),
    /// It may be used again.
    EvacuationEnded(String),
    /// An instance as registered.
    Instance(InstanceRecord),
    /// An instance's registration is gone.
    InstanceRemoved(String),
}

/// Facts with the position after which to follow on.
#[derive(Clone, Debug, PartialEq)]
pub struct UpdateBatch {
    /// The facts.
    pub updates: Vec<FleetUpdate>,
    /// Position in the source's history.
    pub position: u64,
}

/// Why a call to the source failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SourceErrorKind {
    /// The history after the position is no longer kept; the list must be read anew.
    HistoryGone,
    /// The source refused the call; nothing was done.
    Refused,
    /// No answer came; a write may have been done.
    NoAnswer,
    /// The answer could not be read.
    Malformed,
}

/// A call that failed.
#[derive(Debug, Snafu)]
#[snafu(display("step={step} peer={peer} fault={kind} error={reason:?}"))]
pub struct SourceError {
    /// What was being done.
    pub step: &'static str,
    /// Address of the source.
    pub peer: String,
    /// Kind of the error; logged under `fault`.
    pub kind: SourceErrorKind,
    /// The cause in words.
    pub reason: String,
}

/// Future of a call.
pub type SourceFuture<'call, T> =
    Pin<Box<dyn Future<Output = Result<T, SourceError>> + Send + 'call>>;

/// Source of facts and register of instances.
pub trait FleetSource: Send + Sync + std::fmt::Debug {
    /// Reads all facts of a topic.
    fn list(&self, topic: WatchTopic) -> SourceFuture<'_, UpdateBatch>;

    /// Waits up to `wait` for facts after a position.
    fn watch(
        &self,
        topic: WatchTopic,
        position: u64,
        wait: Duration,
    ) -> SourceFuture<'_, UpdateBatch>;

    /// Registers an instance, or replaces its registration.
    fn register<'call>(&'call self, record: &'call InstanceRecord) -> SourceFuture<'call, ()>;

    /// Withdraws an instance's registration.
    fn withdraw<'call>(&'call self, instance: &'call str) -> SourceFuture<'call, ()>;
}
