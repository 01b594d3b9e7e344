//! Watches one topic of the source: reads the full list, then the changes.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::relay::RelayTimes;
use jackdawmux_policy::fleet::watch_cursor::{CallOutcome, ReplyUse, SourceCall, WatchCursor};
use kameo::actor::ActorRef;
use tokio::time::sleep;

use super::connectivity::check;
use super::state::FrontState;
use super::state_actor::{ApplyUpdates, SourceRecovered, StateActor};
use super::team_permission::ReadFacts;
use crate::source::{
    FleetSource, ListFreshness, ReadEvidence, SourceError, SourceErrorKind, UpdateBatch, WatchTopic,
};

/// Time for the reply to a watch in addition to its wait, for topics that must count as current. Even
/// a slow source replies within fractions of a second.
const REPLY_MARGIN: Duration = Duration::from_secs(1);
/// Limit that no reply exceeds.
const UNLIMITED: Duration = Duration::from_secs(3_600);
/// Delay after a watch that brought updates, in which further updates accumulate, as a share of the time
/// within which an update must be applied. Each call to the source has a cost; the rest of that
/// time allows for a slow response and for requests in progress.
const BATCH_DELAY_SHARE: f64 = 0.3;
/// The same delay for instances; it may be longer, because heartbeats show sooner whether an
/// instance is up.
const INSTANCES_BATCH_DELAY: Duration = Duration::from_secs(1);
/// Smallest share of these delays that is used. Instances that receive the same update must not all start their next
/// watch at one moment, in which a lost reply would hide an update from all of them.
const MIN_DELAY_SHARE: f64 = 0.7;
/// Smallest share of the wait of a watch, for the same reason.
const MIN_WAIT_SHARE: f64 = 0.95;
/// Updates in a reply from which on the next watch follows without a delay. A source limits the updates
/// of one reply, so more of them may wait there.
const MAX_DELAYED_UPDATES: usize = 250;
/// Time since the last read by another instance within which this one counts as a relay.
const RELAY_ACTIVITY: Duration = Duration::from_secs(5);
/// Backoff after the first failed call; doubles up to `MAX_BACKOFF`.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff after failed calls; updates must be applied within two seconds of the source's
/// recovery.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Time over which the instances spread their lists after a restore of the source.
const RESTORE_LIST_SPREAD: Duration = Duration::from_millis(300);
/// Minimum outage of the source that lets the registrations of running endpoints lapse.
const MIN_OUTAGE: Duration = Duration::from_secs(1);

/// Watches one topic until the process ends.
pub(crate) struct TopicWatcher {
    pub(crate) source: Arc<dyn FleetSource>,
    pub(crate) state_actor: ActorRef<StateActor>,
    pub(crate) topic: WatchTopic,
    /// Time within which an update must be applied.
    pub(crate) update_deadline: Duration,
    /// The changes that this instance and its peers have applied, and the notification that a peer
    /// is ahead.
    pub(crate) state: Arc<FrontState>,
}

/// How a call to the source ended.
enum CallEnd {
    /// With a reply or an error.
    Returned(Result<UpdateBatch, SourceError>),
    /// Another call showed that this one may never be answered.
    Interrupted,
    /// A peer is ahead.
    Behind,
}

impl TopicWatcher {
    pub(crate) async fn run(self) {
        let mut cursor = WatchCursor::default();
        let mut backoff = INITIAL_BACKOFF;
        // Delay before the list if the history is gone again although the topic was just listed.
        let mut gone_backoff = Duration::ZERO;
        let mut read_until = self.state.permission.now();
        loop {
            let probe = self.state.connectivity.acquire_probe().await;
            if probe.is_some() {
                if let Err(reason) = check(self.source.as_ref()).await {
                    log::debug!("event=dependency-still-lost dependency=store {reason}");
                    sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                    continue;
                }
                self.record_success().await;
                cursor.restart();
            }
            if cursor.enter_era(self.state.connectivity.era()) {
                sleep(RESTORE_LIST_SPREAD.mul_f64(rand::random())).await;
            }
            let call = cursor.next();
            let mut read = self.start_read(call, read_until);
            let end = self.execute(call, read).await;
            read.received = self.state.permission.now();
            read_until = read.received;
            match end {
                CallEnd::Returned(Ok(batch)) => {
                    backoff = INITIAL_BACKOFF;
                    if matches!(call, SourceCall::Watch { .. }) {
                        gone_backoff = Duration::ZERO;
                    }
                    self.record_success().await;
                    self.state.freshness().record_reply(self.state.clock.now(), self.topic);
                    drop(probe);
                    if !batch.is_relayed {
                        self.state.relay.record_reply(self.topic);
                    }
                    self.state.connectivity.observe_era(batch.position.era);
                    // An update that cannot be decoded has been read nevertheless.
                    let is_empty =
                        batch.updates.is_empty() && batch.evidence != ReadEvidence::Undecoded;
                    let position = batch.position;
                    let outcome = CallOutcome::Answered { position, is_empty };
                    match cursor.record(call, outcome) {
                        ReplyUse::Apply if !self.deliver(call, read, batch).await => return,
                        ReplyUse::Apply => {}
                        ReplyUse::Discard => {
                            log::info!("event=reply-discarded topic={} at={position}", self.topic);
                        }
                    }
                }
                CallEnd::Returned(Err(error)) if error.kind == SourceErrorKind::HistoryGone => {
                    self.record_success().await;
                    log::info!("event=history-gone topic={} {error}", self.topic);
                    let _discarded = cursor.record(call, CallOutcome::HistoryGone);
                    sleep(gone_backoff.mul_f64(rand::random_range(0.5..1.0))).await;
                    gone_backoff = (gone_backoff * 2).clamp(INITIAL_BACKOFF, MAX_BACKOFF);
                }
                CallEnd::Returned(Err(error)) if error.kind == SourceErrorKind::WatchOverdue => {
                    log::warn!("event=watch-abandoned topic={} {error}", self.topic);
                    let _discarded = cursor.record(call, CallOutcome::Failed);
                }
                CallEnd::Returned(Err(error)) => {
                    let _discarded = cursor.record(call, CallOutcome::Failed);
                    self.record_failure(&error);
                    sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
                CallEnd::Interrupted => {
                    let _discarded = cursor.record(call, CallOutcome::Failed);
                }
                CallEnd::Behind => {
                    self.state.bypasses_relay[self.topic as usize].store(true, Ordering::Relaxed);
                    log::info!("event=peer-ahead topic={}", self.topic);
                    cursor.restart();
                }
            }
        }
    }

    /// Determines how a call is made. The first list may be old unless it must prove that it is the
    /// newest.
    fn start_read(&self, call: SourceCall, read_until: PolicyTime) -> ReadFacts {
        let needs_proof = self.state.permission.max_wait(self.topic).is_some();
        let started = self.state.permission.now();
        ReadFacts {
            started,
            received: started,
            idle: started.since(read_until),
            is_full_list: matches!(call, SourceCall::List { .. }),
            may_be_old: !needs_proof && matches!(call, SourceCall::List { is_first: true }),
        }
    }

    async fn execute(&self, call: SourceCall, read: ReadFacts) -> CallEnd {
        let mut interruptions = self.state.connectivity.interruptions();
        let max_wait = self.state.permission.max_wait(self.topic);
        let freshness =
            if read.may_be_old { ListFreshness::MayBeOld } else { ListFreshness::Current };
        let returned = async {
            match call {
                SourceCall::List { .. } => self.source.list(self.topic, freshness).await,
                SourceCall::Watch { position } => {
                    let wait = self.state.read_times(self.topic).wait_after(read.idle);
                    let wait = max_wait.map_or(wait, |max_wait| max_wait.min(wait));
                    let wait = wait.mul_f64(rand::random_range(MIN_WAIT_SHARE..1.0));
                    self.source.watch(self.topic, position, wait).await
                }
            }
        };
        // A watch whose reply is lost must not use up the time for which its topic counts as current.
        let reply_limit = max_wait.map_or(UNLIMITED, |wait| wait + REPLY_MARGIN);
        // A list returns all changes; only a watch can miss one without failing.
        let is_waiting = matches!(call, SourceCall::Watch { .. });
        if is_waiting {
            self.state.freshness().start_call(self.state.clock.now(), self.topic);
        }
        let end = tokio::select! {
            biased;
            result = returned => CallEnd::Returned(result),
            _ = interruptions.changed() => CallEnd::Interrupted,
            () = self.state.is_behind[self.topic as usize].notified(), if is_waiting => CallEnd::Behind,
            () = sleep(reply_limit), if is_waiting => {
                log::info!("event=watch-abandoned topic={} reason=no-reply-in-time", self.topic);
                CallEnd::Interrupted
            }
        };
        self.state.freshness().end_call(self.topic);
        end
    }

    async fn deliver(&self, call: SourceCall, read: ReadFacts, batch: UpdateBatch) -> bool {
        let from = match call {
            SourceCall::List { .. } => None,
            SourceCall::Watch { position } => Some(position),
        };
        self.state.relay.record(self.topic, from, &batch);
        // A relay has already waited for further updates, and a list has taken its time.
        let is_delayed = from.is_some()
            && !batch.is_relayed
            && (1..MAX_DELAYED_UPDATES).contains(&batch.updates.len());
        let message = ApplyUpdates { topic: self.topic, batch, read };
        let is_delivered = self.state_actor.tell(message).await.is_ok();
        if is_delayed {
            let delay = self.batch_delay();
            sleep(delay.mul_f64(rand::random_range(MIN_DELAY_SHARE..1.0))).await;
        }
        is_delivered
    }

    /// Delay after a batch from the source, in which further updates accumulate. A relay saves its
    /// readers the calls, so it may read more often.
    fn batch_delay(&self) -> Duration {
        if self.state.relay.was_read_within(RELAY_ACTIVITY) {
            return RelayTimes::new(self.update_deadline).batch_delay;
        }
        match self.topic {
            WatchTopic::Instances => {
                let max_wait = self.state.permission.max_wait(self.topic);
                max_wait.map_or(INSTANCES_BATCH_DELAY, |wait| INSTANCES_BATCH_DELAY.min(wait / 2))
            }
            _ => self.update_deadline.mul_f64(BATCH_DELAY_SHARE),
        }
    }

    async fn record_success(&self) {
        let Some(outage) = self.state.connectivity.record_success() else {
            return;
        };
        log::info!(
            "event=dependency-regained dependency=store topic={} outage_ms={}",
            self.topic,
            outage.as_millis()
        );
        let message = SourceRecovered { outage };
        if outage >= MIN_OUTAGE && self.state_actor.tell(message).await.is_err() {
            log::debug!("event=source-back-unsent");
        }
    }

    fn record_failure(&self, error: &SourceError) {
        if self.state.connectivity.record_failure() {
            log::warn!("event=dependency-lost dependency=store topic={} {error}", self.topic);
        }
    }
}
