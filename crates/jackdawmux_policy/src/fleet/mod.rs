//! Decisions of a front for upstream endpoints that register themselves.
//!
//! Every instance sees the same endpoints and maps an object to the same one, without talking.
//! What all instances together may do (retries, requests to a cold endpoint) is divided among
//! them.

pub mod affinity;
pub mod choice;
pub mod cold_start;
pub mod crash_record;
pub mod directory;
pub mod endpoint_state;
pub mod outlier;
pub mod placement;
pub mod record;
pub mod region_share;
pub mod retry_share;
pub mod routing;
pub mod split;
pub mod steering;
pub mod watch_cursor;
