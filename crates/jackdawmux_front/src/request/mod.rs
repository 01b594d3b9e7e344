//! State with the lifetime of a request.

mod access_log;
mod body;
mod forward;
mod forwarded;
mod guard;
mod hop;
mod peer_attempt;
mod plan;
pub mod proof;
mod refusal;
mod serve;
mod streamed_response;
mod team_access;

pub(crate) use forwarded::serve_forwarded;
pub(crate) use serve::{front_router, read_ahead_filter};
