//! What lives as long as one version of the configuration.

mod config;
mod spread;

pub use config::ActiveConfig;
pub(crate) use config::{ConfigActor, ConfigParts, OfferConfig};
pub(crate) use spread::{HeadWatch, watch_head};
