//! Watches the head object in the store and offers the version that it refers to.

use std::sync::Arc;
use std::time::Duration;

use jackdawmux_peer::ConfigContent;
use jackdawmux_policy::identity::IncarnationId;
use jackdawmux_store::{HEAD_KEY, ObjectStore, StoreError, StoredObject, decode_head, read_rules};
use kameo::actor::ActorRef;
use tokio::sync::watch;

use super::config::{ActiveConfig, ConfigActor, OfferConfig};
use crate::process::{EntryDirectory, EventLog};

/// Number of instances in a failure domain that watch the store; two more do no harm.
const WATCHERS_PER_DOMAIN: usize = 2;
/// Time after which a watch without a change returns. A watch whose reply is lost hides a version until
/// this time and the timeout of the call have passed, which must leave time to read the head and to
/// send it to the peers before the version is due everywhere.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between checks whether this instance has become a watcher, if the directory does not change.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Mean delay after a failed call; the jitter is half of it in either direction.
const FAILURE_BACKOFF: Duration = Duration::from_millis(300);

/// Watcher of the head object.
#[derive(Debug)]
pub(crate) struct HeadWatcher {
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) config: ActorRef<ConfigActor>,
    pub(crate) active_config: watch::Receiver<Option<Arc<ActiveConfig>>>,
    pub(crate) events: Arc<EventLog>,
    pub(crate) directory: watch::Receiver<Arc<EntryDirectory>>,
    pub(crate) own_incarnation: IncarnationId,
    pub(crate) domain: String,
}

/// Watches the head object until the config actor stops.
pub(crate) async fn watch_head(watcher: HeadWatcher) {
    let mut last_version = None;
    while watcher.config.is_alive() {
        if !watcher.is_watcher() {
            // Peers send new versions to this instance. It checks whether it has become a watcher
            // when the directory changes.
            last_version = None;
            let mut directory = watcher.directory.clone();
            directory.mark_unchanged();
            let _changed = tokio::time::timeout(ROLE_CHECK_INTERVAL, directory.changed()).await;
            continue;
        }
        let reply = match last_version {
            // A plain read returns any stored version, also one older than before.
            None => watcher.store.read(HEAD_KEY).await.map(Some),
            Some(version) => {
                let newer = watcher.store.watch(HEAD_KEY, version, WATCH_TIMEOUT).await;
                newer.map(|object| object.map(Some))
            }
        };
        let handled_version = match reply {
            Ok(Some(Some(object))) => watcher.handle_head(&object).await.map(Some),
            Ok(Some(None)) => Ok(Some(0)),
            Ok(None) => Ok(None),
            Err(error) => Err(error),
        };
        match handled_version {
            Ok(version) => last_version = version,
            Err(error) => {
                log::debug!("event=config-watch-failed {error}");
                last_version = None;
                let jitter = rand::random_range(0.5..1.5);
                tokio::time::sleep(FAILURE_BACKOFF.mul_f64(jitter)).await;
            }
        }
    }
}

impl HeadWatcher {
    fn active_version(&self) -> u64 {
        self.active_config.borrow().as_ref().map_or(0, |state| state.content.version)
    }

    /// Whether this instance is among the first of its failure domain, or has no active version.
    fn is_watcher(&self) -> bool {
        let directory = self.directory.borrow().clone();
        let before = directory.entries.iter().filter(|entry| {
            entry.is_usable
                && entry.domain == self.domain
                && entry.incarnation < self.own_incarnation
        });
        self.active_version() == 0 || before.count() < WATCHERS_PER_DOMAIN
    }

    async fn handle_head(&self, object: &StoredObject) -> Result<u64, StoreError> {
        let stored = decode_head(object.version, &object.content)?;
        let accept = &stored.head.accept;
        let active_version = self.active_version();
        if accept.version < active_version {
            self.events.record(
                "alarm-store-older",
                &[("stored", &accept.version), ("in_force", &active_version)],
            );
            return Ok(object.version);
        }
        if accept.version > active_version {
            let rules = read_rules(self.store.as_ref(), &stored.head).await?;
            let content = ConfigContent {
                version: accept.version,
                digest: accept.digest.clone(),
                rules: String::from_utf8_lossy(&rules).into_owned(),
            };
            let offer = OfferConfig { content, source: "store".to_owned() };
            if self.config.tell(offer).await.is_err() {
                log::debug!("event=config-offer-dropped source=store");
            }
        }
        Ok(object.version)
    }
}
