//! Adapter for fronts that run without the platform: fleet updates from the accepted rules in the
//! object store, and the native wire format of callers and upstreams.

mod dialect;
mod instances;
mod regions;
mod source;

pub use dialect::NativeDialect;
pub use regions::{RegionsError, read_regions};
pub use source::RulesSource;
