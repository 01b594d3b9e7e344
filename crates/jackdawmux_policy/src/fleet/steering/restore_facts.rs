//! Passes on what ended before a restore to instances that started after it.

use super::super::choice::EndpointKey;
use super::super::record::EndpointPhase;
use super::super::restore::RestoreFacts;
use super::FleetSteering;
use crate::clock::PolicyTime;

impl FleetSteering {
    /// Returns what this instance knows from before the latest restore; none if objects are not
    /// being written again.
    #[must_use]
    pub fn restore_facts(&self, now: PolicyTime) -> Option<RestoreFacts> {
        let mut facts = self.restore.facts(now)?;
        for state in self.services.values().flat_map(|service| &service.endpoints) {
            // One that registered again is in use, whatever was removed before.
            facts.ended.retain(|(key, _)| *key != state.key.0);
            if state.record.phase == EndpointPhase::Draining {
                facts.ended.push((state.key.0, state.record.started_ms));
            }
        }
        facts.evacuated = self.evacuated.iter().cloned().collect();
        Some(facts)
    }

    /// Adopts what a peer knows from before the restore. Returns the endpoints that are not used any
    /// more, or `None` if the peer speaks of another era.
    pub fn adopt_restore_facts(
        &mut self,
        now: PolicyTime,
        facts: &RestoreFacts,
    ) -> Option<Vec<EndpointKey>> {
        if !self.restore.adopt(now, facts) {
            return None;
        }
        self.evacuated.extend(facts.evacuated.iter().cloned());
        let mut ended = Vec::new();
        for service in self.services.values_mut() {
            service.endpoints.retain(|state| {
                let has_ended = self.restore.is_removed(now, &state.record);
                if has_ended {
                    ended.push(state.key);
                }
                !has_ended
            });
        }
        Some(ended)
    }
}
