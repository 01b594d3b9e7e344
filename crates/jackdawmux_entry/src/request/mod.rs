//! What lives as long as a request.

mod admin;
mod answer;
mod body;
mod claims;
mod counts;
mod forward;
mod guard;
mod key_table;
mod lookup;
mod once;
mod pass_on;
mod plan;
mod refusal;
mod router;
mod shift;

pub use admin::InstanceStatus;
pub use key_table::IdempotencyKeyTable;
pub use once::home_of_key;
pub(crate) use router::build_router;
pub use shift::ShiftSelector;
