//! Watches the head object in the store and offers what it names.

use std::sync::Arc;
use std::time::Duration;

use jackdawmux_peer::ConfigContent;
use jackdawmux_policy::identity::IncarnationId;
use jackdawmux_store::{HEAD_KEY, ObjectStore, StoreError, StoredObject, decode_head, read_rules};
use kameo::actor::ActorRef;
use tokio::sync::watch;

use super::config::{ActiveConfig, ConfigActor, OfferConfig};
use crate::process::{EntryDirectory, EventLog};

/// Instances of a failure domain that watch the store; two more do no harm.
const WATCHERS_EACH_DOMAIN: usize = 2;
/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed call.
const FAILED_PAUSE: Duration = Duration::from_millis(300);

/// Parts of the watcher.
#[derive(Debug)]
pub(crate) struct HeadWatch {
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) config: ActorRef<ConfigActor>,
    pub(crate) active_config: watch::Receiver<Option<Arc<ActiveConfig>>>,
    pub(crate) events: Arc<EventLog>,
    pub(crate) directory: watch::Receiver<Arc<EntryDirectory>>,
    pub(crate) own: IncarnationId,
    pub(crate) domain: String,
}

/// Watches the head for as long as the config actor lives.
pub(crate) async fn watch_head(parts: HeadWatch) {
    let mut seen = None;
    while parts.config.is_alive() {
        if !parts.is_watcher() {
            // Peers pass new versions on; this instance looks again when the directory changes.
            seen = None;
            let mut directory = parts.directory.clone();
            directory.mark_unchanged();
            let _changed = tokio::time::timeout(WATCH_WAIT, directory.changed()).await;
            continue;
        }
        let answer = match seen {
            // A plain read shows whatever there is, also an object older than before.
            None => parts.store.read(HEAD_KEY).await.map(Some),
            Some(version) => {
                let newer = parts.store.watch(HEAD_KEY, version, WATCH_WAIT).await;
                newer.map(|object| object.map(Some))
            }
        };
        let taken = match answer {
            Ok(Some(Some(object))) => parts.take(&object).await.map(Some),
            Ok(Some(None)) => Ok(Some(0)),
            Ok(None) => Ok(None),
            Err(error) => Err(error),
        };
        match taken {
            Ok(version) => seen = version,
            Err(error) => {
                log::debug!("event=config-watch-failed {error}");
                seen = None;
                let jitter = rand::random_range(0.5..1.5);
                tokio::time::sleep(FAILED_PAUSE.mul_f64(jitter)).await;
            }
        }
    }
}

impl HeadWatch {
    fn in_force(&self) -> u64 {
        self.active_config.borrow().as_ref().map_or(0, |state| state.content.version)
    }

    /// Whether this instance is among the first of its failure domain, or knows no other.
    fn is_watcher(&self) -> bool {
        let directory = self.directory.borrow().clone();
        let before = directory.entries.iter().filter(|entry| {
            entry.is_usable && entry.domain == self.domain && entry.incarnation < self.own
        });
        self.in_force() == 0 || before.count() < WATCHERS_EACH_DOMAIN
    }

    async fn take(&self, object: &StoredObject) -> Result<u64, StoreError> {
        let stored = decode_head(object.version, &object.content)?;
        let accept = &stored.head.accept;
        let in_force = self.in_force();
        if accept.version < in_force {
            self.events.record(
                "alarm-store-older",
                &[("stored", &accept.version), ("in_force", &in_force)],
            );
            return Ok(object.version);
        }
        if accept.version > in_force {
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
