//! State with the lifetime of a request.

mod access_log;
mod body;
mod forward;
mod guard;
mod plan;
mod refusal;
mod serve;
mod streamed_response;

pub(crate) use serve::{front_router, read_ahead_filter};
