//! State with the lifetime of a request: routing, forwarding, at-most-once execution and responses.

mod admin;
mod at_most_once;
mod body;
mod claims;
mod counts;
mod forward;
mod guard;
mod key_table;
mod lookup;
mod peer_forward;
mod plan;
mod refusal;
mod response;
mod router;
mod shift;

pub use admin::InstanceStatus;
pub use at_most_once::home_of_key;
pub use key_table::IdempotencyKeyTable;
pub(crate) use router::build_router;
pub use shift::ShiftSelector;
