//! Probes whether this instance reaches any endpoint, by opening connections.

use std::sync::Arc;
use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::reachability::{ProbeTarget, ProbeTargets, Reachability};
use tokio::task::JoinSet;

use super::state::FrontState;

/// Time limit of a probe; allows several round trips between the most distant regions.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Runs the rounds of probes that become due, until the process ends.
pub(super) async fn probe_endpoints(state: Arc<FrontState>) {
    loop {
        state.probe_due.notified().await;
        let now = state.clock.now();
        let targets = state.steering().start_probe_round(now, rand::random_range(0..usize::MAX));
        if targets.is_empty() || reach_any(&state, &targets).await {
            continue;
        }
        let now = state.clock.now();
        let mut steering = state.steering();
        if !steering.record_failed_round(now) {
            continue;
        }
        let failing_for = now.since(steering.reachability().failing_since());
        drop(steering);
        log::warn!(
            "event=isolation-started probes={} failing_ms={}",
            targets.len(),
            failing_for.as_millis()
        );
        state.announce_isolation(true);
    }
}

/// Connects to all targets at the same time. Returns whether any connection was opened; these are kept
/// for requests.
async fn reach_any(state: &Arc<FrontState>, targets: &ProbeTargets) -> bool {
    let mut probes = JoinSet::new();
    for target in targets {
        probes.spawn(probe(Arc::clone(state), *target));
    }
    while let Some(probe) = probes.join_next().await {
        if matches!(probe, Ok(true)) {
            return true;
        }
    }
    false
}

async fn probe(state: Arc<FrontState>, target: ProbeTarget) -> bool {
    match state.pool.open(target.key, target.address, PROBE_TIMEOUT).await {
        Ok(connection) => {
            state.record_connected();
            state.pool.release(connection);
            true
        }
        Err(error) => {
            log::debug!("event=probe-failed peer={} error={error:?}", target.address);
            false
        }
    }
}

impl FrontState {
    /// Records that a connection to an endpoint was opened.
    pub(crate) fn record_connected(&self) {
        let now = self.clock.now();
        if self.steering().record_connected(now) {
            log::info!("event=endpoints-reached-again");
        }
    }

    /// Performs what is due while connections to endpoints fail, and after that.
    pub(super) fn check_reachability(&self, now: PolicyTime) {
        if !self.steering().reachability().is_isolated() {
            return;
        }
        let has_peers = self.directory().live(now).iter().any(|instance| {
            !instance.is_isolated && instance.record.name != self.settings.instance
        });
        let is_informed = has_peers && self.connectivity.connected_for().is_some();
        let mut steering = self.steering();
        if !is_informed {
            steering.record_alone();
        }
        let keeps_warm = !steering.reachability().was_alone();
        let is_over = steering.take_recovered(now, keeps_warm);
        let state = steering.reachability().state();
        drop(steering);
        if is_over {
            log::info!("event=isolation-ended was_alone={}", !keeps_warm);
            self.announce_isolation(false);
        } else if state == Reachability::Isolated {
            self.probe_due.notify_one();
        }
    }

    /// States to callers and peers whether this instance reaches the endpoints.
    fn announce_isolation(&self, is_isolated: bool) {
        self.metrics.set_isolated(is_isolated);
        self.directory().set_isolated(&self.settings.instance, is_isolated);
        self.heartbeat_due.notify_one();
    }
}
