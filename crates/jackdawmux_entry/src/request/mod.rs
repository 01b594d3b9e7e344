//! State with the lifetime of a request: routing, forwarding, at-most-once execution and responses.

mod admin;
mod body;
mod claims;
mod counts;
mod forward;
mod guard;
mod key_table;
mod lookup;
mod once;
mod peer_forward;
mod plan;
mod refusal;
mod response;
mod router;
mod shift;

pub use admin::InstanceStatus;
pub use key_table::IdempotencyKeyTable;
pub use once::home_of_key;
pub(crate) use router::build_router;
pub use shift::ShiftSelector;
