//! State and tasks whose lifetime is that of the process.

mod context;
mod error;
mod launch;
mod message;
mod settings;
mod status;
mod steering;
mod timeline;
mod view;

pub use context::{DirectoryEntry, EntryContext, EntryDirectory};
pub use error::ProcessError;
pub use launch::{EntryProcess, run};
pub(crate) use message::{
    Admission, AdmissionResult, AdmissionTarget, AdmitRequest, CancelRequest, FinishRequest,
    GetServiceReport, GetStatus, ReceiveCounts, SlotOutcome, SpendRetry,
};
pub use settings::{EntrySettings, SettingError, parse_settings, settings_parser};
pub use status::{EndpointStatus, ServiceStatus, SteeringStatus};
pub use timeline::{EventLog, TimelineEvent};
