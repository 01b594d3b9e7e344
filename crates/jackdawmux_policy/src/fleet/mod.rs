//! Routing decisions of a front for upstream endpoints that register themselves.
//!
//! All instances see the same endpoints and map an object to the same endpoint without
//! coordination. Limits that apply to the whole fleet (retries, requests to a cold or limited endpoint) are
//! divided among the instances.

pub mod admission;
pub mod affinity;
pub mod backoff;
pub mod cap;
pub mod choice;
pub mod cold_start;
pub mod config_freshness;
pub mod crash_record;
pub mod directory;
pub mod endpoint_limit;
pub mod endpoint_set;
pub mod endpoint_state;
pub mod expected_wait;
pub mod fair_share;
pub mod forwarding;
pub mod freshness;
pub mod homed_load;
pub mod instance_list;
mod notices;
pub mod outlier;
pub mod permission;
pub mod placement;
pub mod planned_stop;
pub mod position;
pub mod reachability;
pub mod record;
pub mod region_demand;
pub mod region_share;
pub mod relay;
pub mod restore;
pub mod retry_share;
pub mod routing;
pub mod split;
pub mod steering;
pub mod watch_cursor;
