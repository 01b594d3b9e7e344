//! Reads from other instances what the source does not name after it came back from an older copy:
//! a later configuration, and what ended before the restore.

use std::sync::Arc;
use std::time::Duration;

use jackdawmux_policy::fleet::record::ConfigRecord;
use jackdawmux_policy::fleet::restore::RestoreFacts;
use jackdawmux_runtime::read_bounded;
use kameo::actor::ActorRef;
use reqwest::{Client, StatusCode};
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use super::source::relay_error;
use super::wire::{CONFIG_PATH, MAX_REPLY_BYTES, PROOF_HEADER, RESTORE_PATH, decode};
use crate::process::{AdoptRestoreFacts, ApplyPeerConfig, FrontState, StateActor};
use crate::source::{SourceError, SourceErrorKind, WatchTopic};

/// Time limit of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// Reads from the peers that the state names.
#[derive(Debug)]
pub(crate) struct PeerReader {
    client: Client,
    state: Arc<FrontState>,
    state_actor: ActorRef<StateActor>,
}

impl PeerReader {
    /// Opens a reader.
    ///
    /// # Errors
    /// When the HTTP client cannot be set up.
    pub(crate) fn open(
        state: Arc<FrontState>,
        state_actor: ActorRef<StateActor>,
    ) -> Result<Self, SourceError> {
        let client = Client::builder()
            .connect_timeout(READ_TIMEOUT)
            .no_proxy()
            .pool_max_idle_per_host(0)
            .build()
            .map_err(|error| relay_error("peer-open", "-", &error))?;
        Ok(Self { client, state, state_actor })
    }

    /// Reads until the process ends.
    pub(crate) async fn run(self) {
        let mut configs = self.state.later_config_at.subscribe();
        let mut facts = self.state.restore_facts_at.subscribe();
        loop {
            let is_delivered = tokio::select! {
                Ok(()) = configs.changed() => {
                    let peer = configs.borrow_and_update().clone();
                    self.read_config(peer).await
                }
                Ok(()) = facts.changed() => {
                    let peer = facts.borrow_and_update().clone();
                    self.read_restore_facts(peer).await
                }
                else => return,
            };
            if !is_delivered {
                return;
            }
        }
    }

    /// Returns `false` if the state actor has stopped.
    async fn read_config(&self, peer: String) -> bool {
        match self.read::<ConfigRecord>("config-read", &peer, CONFIG_PATH).await {
            Ok(Some(config)) => {
                self.state_actor.tell(ApplyPeerConfig { config, peer }).await.is_ok()
            }
            Ok(None) => true,
            // The peer is named again while it is ahead.
            Err(error) => {
                log::warn!("event=config-unread {error}");
                true
            }
        }
    }

    /// Returns `false` if the state actor has stopped.
    async fn read_restore_facts(&self, peer: String) -> bool {
        match self.read::<RestoreFacts>("restore-read", &peer, RESTORE_PATH).await {
            Ok(Some(facts)) => {
                self.state_actor.tell(AdoptRestoreFacts { facts, peer }).await.is_ok()
            }
            Ok(None) => true,
            // Another peer is named while this process is new.
            Err(error) => {
                log::warn!("event=restore-facts-unread {error}");
                true
            }
        }
    }

    /// Reads an object from a peer; none if the peer has nothing to say.
    async fn read<T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: &str,
        path: &str,
    ) -> Result<Option<T>, SourceError> {
        let failed = |error: &dyn std::fmt::Display| relay_error(step, peer, error);
        let address = self.state.directory().heartbeat_address(peer);
        let address = address.ok_or_else(|| failed(&"not registered"))?;
        let asking = async {
            let response = self.client.get(format!("http://{address}{path}")).send().await?;
            let response = response.error_for_status()?;
            let is_empty = response.status() == StatusCode::NO_CONTENT;
            let has_proof = response.headers().contains_key(PROOF_HEADER);
            Ok::<_, reqwest::Error>((is_empty, has_proof, reqwest::Body::from(response)))
        };
        let reading = async {
            let (is_empty, has_proof, body) = asking.await.map_err(|error| failed(&error))?;
            let mut share = self.state.held_replies.share();
            let bytes = read_bounded(body, MAX_REPLY_BYTES, &mut share).await;
            Ok((is_empty, has_proof, bytes.map_err(|error| failed(&error))?))
        };
        let (is_empty, has_proof, bytes) = timeout(READ_TIMEOUT, reading)
            .await
            .map_err(|_elapsed| failed(&"no reply in time"))??;
        if is_empty {
            return Ok(None);
        }
        // An older build drops the teams from the configuration that it has read.
        let needs_teams = self.state.permission.max_wait(WatchTopic::Config).is_some();
        if path == CONFIG_PATH && needs_teams && !has_proof {
            return Err(failed(&"a build that does not know teams"));
        }
        decode(&bytes).map(Some).map_err(|error| SourceError {
            step,
            peer: peer.to_owned(),
            kind: SourceErrorKind::Malformed,
            reason: error.to_string(),
        })
    }
}
