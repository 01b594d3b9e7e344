//! Takes from peers what the source does not name after it came back from an older copy.

use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::record::ConfigRecord;
use jackdawmux_policy::fleet::restore::RestoreFacts;
use kameo::message::{Context, Message};

use super::state_actor::StateActor;

/// Time for which a peer may have a later configuration, as a share of the time within which an
/// update must be applied, before it is read from that peer.
const CONFIG_GRACE_SHARE: f64 = 0.4;

/// Time after the start of the process in which it asks its peers what they know from before a
/// restore of the source. Objects have been written again by then.
const RESTORE_FACTS_TIME: Duration = Duration::from_secs(10);
/// Time between two peers that are asked.
const RESTORE_FACTS_INTERVAL: Duration = Duration::from_millis(500);

/// The configuration in force at a peer.
#[derive(Debug)]
pub(crate) struct ApplyPeerConfig {
    pub(crate) config: ConfigRecord,
    /// Name of the peer.
    pub(crate) peer: String,
}

/// What a peer knows from before a restore of the source.
#[derive(Debug)]
pub(crate) struct AdoptRestoreFacts {
    pub(crate) facts: RestoreFacts,
    /// Name of the peer.
    pub(crate) peer: String,
}

impl Message<ApplyPeerConfig> for StateActor {
    type Reply = ();

    async fn handle(&mut self, message: ApplyPeerConfig, _context: &mut Context<Self, ()>) {
        let ApplyPeerConfig { config, peer } = message;
        self.apply_config(config, &format_args!("peer={peer}"));
        self.refresh_phase();
    }
}

impl Message<AdoptRestoreFacts> for StateActor {
    type Reply = ();

    async fn handle(&mut self, message: AdoptRestoreFacts, _context: &mut Context<Self, ()>) {
        let AdoptRestoreFacts { facts, peer } = message;
        let now = self.state.clock.now();
        let ended = self.state.steering().adopt_restore_facts(now, &facts);
        let Some(ended) = ended else {
            log::info!("event=restore-facts-ignored peer={peer} era={}", facts.era);
            return;
        };
        ended.iter().for_each(|endpoint| self.state.pool.close_idle(*endpoint));
        log::info!(
            "event=restore-facts-adopted peer={peer} era={} ended={} unused={} evacuated={}",
            facts.era,
            facts.ended.len(),
            ended.len(),
            facts.evacuated.len()
        );
    }
}

impl StateActor {
    /// Has a peer asked for what it knows from before a restore, while this process is new and the
    /// source has ever been restored.
    pub(super) fn request_restore_facts(&mut self, now: PolicyTime, peer: &str) {
        let is_new = now.since(PolicyTime::default()) < RESTORE_FACTS_TIME;
        let is_due = self.restore_asked_at.is_none_or(|at| now.since(at) >= RESTORE_FACTS_INTERVAL);
        let is_restored = self.state.connectivity.era() > 0;
        if is_new && is_due && is_restored && !self.state.steering().is_settling(now) {
            self.restore_asked_at = Some(now);
            self.state.restore_facts_at.send_replace(peer.to_owned());
        }
    }

    /// Has the configuration of a peer read that has been ahead for a while.
    pub(super) fn check_config(&self, now: PolicyTime) {
        let own = self.state.config_version();
        let grace = self.state.settings.bounds.update_deadline.mul_f64(CONFIG_GRACE_SHARE);
        if let Some(peer) = self.state.config_freshness().take_behind(now, own, grace) {
            log::info!("event=peer-ahead topic=config peer={peer} version={own}");
            self.state.later_config_at.send_replace(peer);
        }
    }
}
