//! Fronts without the platform: facts from the accepted rules in the object store, and the wire
//! that the product's callers and upstreams speak.

mod dialect;
mod instances;
mod regions;
mod source;

pub use dialect::NativeDialect;
pub use regions::{RegionsError, read_regions};
pub use source::RulesSource;
