//! Selects the region that serves a request under the accepted traffic shifts.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use jackdawmux_policy::shift::ShiftCounter;
use jackdawmux_policy::table::RouteTable;

/// Selects regions and counts moved requests, by service and source region.
#[derive(Debug, Default)]
pub struct ShiftSelector {
    counters: Mutex<HashMap<(String, String), ShiftCounter>>,
}

impl ShiftSelector {
    /// Returns the region that serves a request received in region `local`. Callers are selected by
    /// their address `block`, and the number of moved requests stays within the share of the shift.
    pub fn region_for(
        &self,
        table: &RouteTable,
        service: &str,
        local: &str,
        block: &[u8],
        wall_ms: u64,
    ) -> String {
        let plan = table.shifts.iter().find(|plan| plan.service == service && plan.from == local);
        let Some(plan) = plan else {
            return local.to_owned();
        };
        let wants_move = plan.moves_block(block, wall_ms);
        let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        let counter = counters.entry((service.to_owned(), local.to_owned())).or_default();
        let is_moved = counter.admit(wants_move, plan.fraction_at(wall_ms));
        if is_moved { plan.to.clone() } else { local.to_owned() }
    }
}
