//! Store calls for the group's view: watching it and writing the views that membership plans.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use jackdawmux_policy::group::GroupView;
use jackdawmux_store::{ObjectStore, StoredObject, UpdateOutcome};
use kameo::actor::ActorRef;

use super::message::{ViewRead, ViewWriteFailed};
use super::steering::SteeringActor;

/// Time after which a watch without a change returns. A lost reply hides no view for as long: the member
/// that wrote the view states its version in heartbeats, upon which the others ask for it.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Mean delay after a failed watch; the jitter is half of it in either direction.
const FAILURE_BACKOFF: Duration = Duration::from_millis(300);

/// Returns the store key of a group's view.
pub(crate) fn view_key(group: &str) -> String {
    format!("groups/{group}")
}

/// Watches the view until the steering actor stops.
pub(crate) async fn watch_view(
    store: Arc<dyn ObjectStore>,
    key: String,
    steering: ActorRef<SteeringActor>,
) {
    let mut last_version = 0;
    let mut is_first = true;
    while steering.is_alive() {
        // The first call does not wait: membership must know immediately that a view is absent.
        let reply = if is_first {
            store.read(&key).await
        } else {
            store.watch(&key, last_version, WATCH_TIMEOUT).await
        };
        match reply {
            Ok(object) => {
                is_first = false;
                let read = object.as_ref().and_then(decode_view);
                last_version = read.as_ref().map_or(last_version, |(version, _)| *version);
                let delivery = steering.tell(ViewRead { view: read, write_ended: false }).await;
                if delivery.is_err() {
                    return;
                }
            }
            Err(error) => {
                log::debug!("event=view-watch-failed {error}");
                let jitter = rand::random_range(0.5..1.5);
                tokio::time::sleep(FAILURE_BACKOFF.mul_f64(jitter)).await;
                is_first = true;
            }
        }
    }
}

/// Writes a planned view and reports the result to the actor. Unless the write certainly
/// succeeded, the view is read again, so that the next plan starts from the stored view.
pub(crate) async fn write_view(
    store: Arc<dyn ObjectStore>,
    key: String,
    expected: u64,
    view: GroupView,
    steering: ActorRef<SteeringActor>,
) {
    let Ok(content) = serde_json::to_vec(&view) else {
        return;
    };
    let outcome = store.update(&key, expected, Bytes::from(content)).await;
    let is_delivered = match outcome {
        UpdateOutcome::Done(version) => {
            let view = Some((version, view));
            steering.tell(ViewRead { view, write_ended: true }).await.is_ok()
        }
        UpdateOutcome::Conflict => reread_view(&store, &key, &steering).await,
        UpdateOutcome::NotDone(error) | UpdateOutcome::Unknown(error) => {
            log::warn!("event=view-write-failed {error}");
            reread_view(&store, &key, &steering).await
        }
    };
    if !is_delivered {
        log::debug!("event=view-write-unreported");
    }
}

/// Reads the view on request of membership.
pub(crate) async fn read_view(
    store: Arc<dyn ObjectStore>,
    key: String,
    steering: ActorRef<SteeringActor>,
) {
    match store.read(&key).await {
        Ok(object) => {
            let view = object.as_ref().and_then(decode_view);
            let is_delivered = steering.tell(ViewRead { view, write_ended: false }).await.is_ok();
            log::trace!("event=view-read told={is_delivered}");
        }
        Err(error) => log::debug!("event=view-read-failed {error}"),
    }
}

async fn reread_view(
    store: &Arc<dyn ObjectStore>,
    key: &str,
    steering: &ActorRef<SteeringActor>,
) -> bool {
    match store.read(key).await {
        Ok(object) => {
            let view = object.as_ref().and_then(decode_view);
            steering.tell(ViewRead { view, write_ended: true }).await.is_ok()
        }
        Err(error) => {
            log::debug!("event=view-read-failed {error}");
            steering.tell(ViewWriteFailed).await.is_ok()
        }
    }
}

fn decode_view(object: &StoredObject) -> Option<(u64, GroupView)> {
    match serde_json::from_slice(&object.content) {
        Ok(view) => Some((object.version, view)),
        Err(error) => {
            log::error!("event=view-unreadable version={} error={error}", object.version);
            None
        }
    }
}
