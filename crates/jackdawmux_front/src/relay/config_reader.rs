//! Reads the configuration in force from an instance that has a later one than the source names.

use std::sync::Arc;
use std::time::Duration;

use jackdawmux_policy::fleet::record::ConfigRecord;
use kameo::actor::ActorRef;
use reqwest::Client;
use tokio::time::timeout;

use super::source::relay_error;
use super::wire::{CONFIG_PATH, decode_config};
use crate::process::{ApplyPeerConfig, FrontState, StateActor};
use crate::source::{SourceError, SourceErrorKind};

/// Time limit of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// Reads configurations from the peers that the state names.
#[derive(Debug)]
pub(crate) struct ConfigReader {
    client: Client,
    state: Arc<FrontState>,
    state_actor: ActorRef<StateActor>,
}

impl ConfigReader {
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
            .map_err(|error| relay_error("config-open", "-", &error))?;
        Ok(Self { client, state, state_actor })
    }

    /// Reads until the process ends.
    pub(crate) async fn run(self) {
        let mut peers = self.state.later_config_at.subscribe();
        while peers.changed().await.is_ok() {
            let peer = peers.borrow_and_update().clone();
            match self.read(&peer).await {
                Ok(config) => {
                    if self.state_actor.tell(ApplyPeerConfig { config, peer }).await.is_err() {
                        return;
                    }
                }
                // The peer is named again while it is ahead.
                Err(error) => log::warn!("event=config-unread {error}"),
            }
        }
    }

    async fn read(&self, peer: &str) -> Result<ConfigRecord, SourceError> {
        let step = "config-read";
        let failed = |error: &dyn std::fmt::Display| relay_error(step, peer, error);
        let address = self.state.directory().heartbeat_address(peer);
        let address = address.ok_or_else(|| failed(&"not registered"))?;
        let reading = async {
            let response = self.client.get(format!("http://{address}{CONFIG_PATH}")).send().await?;
            response.error_for_status()?.bytes().await
        };
        let bytes = timeout(READ_TIMEOUT, reading)
            .await
            .map_err(|_elapsed| failed(&"no reply in time"))?
            .map_err(|error| failed(&error))?;
        decode_config(&bytes).map_err(|error| SourceError {
            step,
            peer: peer.to_owned(),
            kind: SourceErrorKind::Malformed,
            reason: error.to_string(),
        })
    }
}
