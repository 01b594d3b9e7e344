//! State whose lifetime is that of one version of the configuration.

mod config;
mod head_watcher;

pub use config::ActiveConfig;
pub(crate) use config::{ConfigActor, ConfigParts, OfferConfig};
pub(crate) use head_watcher::{HeadWatcher, watch_head};
