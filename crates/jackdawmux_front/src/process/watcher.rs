//! Follows one topic of the source: the list, then what changes.

use std::sync::Arc;
use std::time::Duration;

use jackdawmux_policy::fleet::watch_cursor::{CallOutcome, SourceCall, WatchCursor};
use kameo::actor::ActorRef;
use tokio::time::sleep;

use super::contact::SourceContact;
use super::state_actor::{FleetActor, LearnNews, NoteSourceBack};
use crate::source::{FleetSource, SourceError, SourceErrorKind, UpdateBatch, WatchTopic};

/// Longest time for which one watch waits.
const WATCH_LONGEST: Duration = Duration::from_secs(12);
/// Pause after facts about the deployment have come, in which further ones gather, as a share of
/// the time within which a fact must be acted upon: every call has its price, and the rest of that
/// time is left for a slow answer and for requests on their way.
const GATHER_SHARE: f64 = 0.3;
/// The same for instances, of which heartbeats tell sooner whether they live.
const GATHER_INSTANCES: Duration = Duration::from_secs(1);
/// First pause after a failed call; doubles up to the longest.
const RETRY_FIRST: Duration = Duration::from_millis(100);
/// Longest pause after failed calls; facts are due within two seconds of the source's return.
const RETRY_LONGEST: Duration = Duration::from_millis(400);
/// An outage at least this long lets registrations lapse that live on.
const OUTAGE_SHORTEST: Duration = Duration::from_secs(1);

/// Follows one topic until the process ends.
pub(crate) struct TopicWatcher {
    pub(crate) source: Arc<dyn FleetSource>,
    pub(crate) contact: Arc<SourceContact>,
    pub(crate) state_actor: ActorRef<FleetActor>,
    pub(crate) topic: WatchTopic,
    /// Time within which a fact must be acted upon.
    pub(crate) due: Duration,
}

impl TopicWatcher {
    pub(crate) async fn run(self) {
        let mut cursor = WatchCursor::default();
        let mut pause = RETRY_FIRST;
        loop {
            let probe = self.contact.wait_turn().await;
            if probe.is_some() {
                cursor.probe();
            }
            let ask = cursor.next();
            match self.call(ask).await {
                Ok(batch) => {
                    pause = RETRY_FIRST;
                    self.note_success().await;
                    drop(probe);
                    let is_empty = batch.updates.is_empty();
                    cursor
                        .record(ask, CallOutcome::Answered { position: batch.position, is_empty });
                    if !self.pass_on(batch, ask == SourceCall::List).await {
                        return;
                    }
                }
                Err(error) if error.kind == SourceErrorKind::HistoryGone => {
                    self.note_success().await;
                    log::info!("event=history-gone topic={} {error}", self.topic);
                    cursor.record(ask, CallOutcome::HistoryGone);
                }
                Err(error) => {
                    cursor.record(ask, CallOutcome::Failed);
                    self.note_failure(&error);
                    sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
                    pause = (pause * 2).min(RETRY_LONGEST);
                }
            }
        }
    }

    async fn call(&self, ask: SourceCall) -> Result<UpdateBatch, SourceError> {
        match ask {
            SourceCall::List => self.source.list(self.topic).await,
            SourceCall::Watch { position } => {
                self.source.watch(self.topic, position, WATCH_LONGEST).await
            }
        }
    }

    async fn pass_on(&self, batch: UpdateBatch, is_whole: bool) -> bool {
        let is_empty = batch.updates.is_empty();
        let message = LearnNews { topic: self.topic, batch, is_whole };
        let is_passed = self.state_actor.tell(message).await.is_ok();
        if !is_empty {
            let is_instances = self.topic == WatchTopic::Instances;
            let pause = self.due.mul_f64(GATHER_SHARE);
            sleep(if is_instances { GATHER_INSTANCES } else { pause }).await;
        }
        is_passed
    }

    async fn note_success(&self) {
        let Some(outage) = self.contact.regain() else {
            return;
        };
        log::info!(
            "event=dependency-regained dependency=store topic={} outage_ms={}",
            self.topic,
            outage.as_millis()
        );
        let message = NoteSourceBack { outage };
        if outage >= OUTAGE_SHORTEST && self.state_actor.tell(message).await.is_err() {
            log::debug!("event=source-back-unsent");
        }
    }

    fn note_failure(&self, error: &SourceError) {
        if self.contact.lose() {
            log::warn!("event=dependency-lost dependency=store topic={} {error}", self.topic);
        }
    }
}
