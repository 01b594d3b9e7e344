//! Source that reads from the relay of the own group, and from the actual source if there is none.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jackdawmux_policy::fleet::permission::ConfigProof;
use jackdawmux_policy::fleet::position::{SourcePosition, WatchTopic};
use jackdawmux_policy::fleet::record::InstanceRecord;
use jackdawmux_policy::fleet::relay::{ReadPath, RelayTimes};
use jackdawmux_runtime::read_bounded;
use reqwest::{Client, StatusCode};
use strum::EnumCount;
use tokio::time::{Instant, sleep, timeout};

use super::wire::{
    MAX_REPLY_BYTES, PROOF_HEADER, RelayQuery, RelayedBatch, UPDATES_PATH, decode_batch,
    parse_proof,
};
use crate::process::FrontState;
use crate::source::{
    FleetSource, ListFreshness, ReadEvidence, RegistrationReceipt, SourceError, SourceErrorKind,
    SourceFuture, UpdateBatch,
};

/// Longest wait, after the start, to learn whether the group has a relay.
const MAX_DECISION_TIME: Duration = Duration::from_secs(3);
/// Time between looks whether it has.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);
/// Time between reads of a relay that does not read the source yet.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait of a watch at the source while it is not known whether the group has a relay.
const UNDECIDED_WAIT: Duration = Duration::from_secs(2);
/// Wait of a watch at the source after a relay did not reply, for topics whose age must be proved: the
/// relay has used up most of the time.
const PROOF_FALLBACK_WAIT: Duration = Duration::from_millis(200);
/// Time for the reply of a relay in addition to the wait, for these topics.
const PROOF_REPLY_MARGIN: Duration = Duration::from_millis(500);

/// Reads updates over the relay of the own group.
#[derive(Debug)]
pub struct RelayedSource {
    source: Arc<dyn FleetSource>,
    state: Arc<FrontState>,
    client: Client,
    opened: Instant,
    /// Position of the latest batch of each topic. A relay that is behind it is not read.
    positions: Mutex<[SourcePosition; WatchTopic::COUNT]>,
    /// Incarnation of the latest relay that does not state how old its data is. Its build does not
    /// change while it runs.
    unproven: Mutex<Option<u64>>,
}

/// Reply of a relay.
enum RelayReply {
    Updates(RelayedBatch, Option<ConfigProof>),
    /// There are no updates after the reader's position.
    Unchanged(Option<ConfigProof>),
    HistoryGone,
    /// The instance does not read the source itself, or the source does not answer it.
    NotRelay,
    /// The instance does not state how old its data is, as needed for this topic.
    Unproven,
}

impl RelayedSource {
    /// Opens a reader of the relays that `state` selects, with `source` behind them.
    ///
    /// # Errors
    /// When the HTTP client cannot be set up.
    pub fn open(source: Arc<dyn FleetSource>, state: Arc<FrontState>) -> Result<Self, SourceError> {
        let times = RelayTimes::new(state.settings.bounds.update_deadline);
        let client = Client::builder()
            .connect_timeout(times.relay_margin())
            .no_proxy()
            .tcp_nodelay(true)
            .pool_max_idle_per_host(WatchTopic::COUNT)
            .build()
            .map_err(|error| relay_error("relay-open", "-", &error))?;
        let positions = Mutex::default();
        let (opened, unproven) = (Instant::now(), Mutex::default());
        Ok(Self { source, state, client, opened, positions, unproven })
    }

    /// Waits, shortly after the start, until it is known whether the group has a relay.
    async fn decide(&self) -> ReadPath {
        loop {
            match self.state.read_path() {
                ReadPath::Undecided if self.opened.elapsed() < MAX_DECISION_TIME => {
                    sleep(DECISION_INTERVAL).await;
                }
                path => return path,
            }
        }
    }

    /// Selects from where a topic is read.
    fn path_of(&self, topic: WatchTopic) -> ReadPath {
        match self.state.read_path() {
            ReadPath::Relay(relay) if self.is_unproven(topic, &relay) => ReadPath::Direct,
            path => path,
        }
    }

    fn needs_proof(&self, topic: WatchTopic) -> bool {
        self.state.permission.max_wait(topic).is_some()
    }

    fn is_unproven(&self, topic: WatchTopic, relay: &InstanceRecord) -> bool {
        let unproven = *self.unproven.lock().unwrap_or_else(PoisonError::into_inner);
        unproven == Some(relay.incarnation) && self.needs_proof(topic)
    }

    fn record_unproven(&self, topic: WatchTopic, relay: &InstanceRecord) {
        let mut unproven = self.unproven.lock().unwrap_or_else(PoisonError::into_inner);
        if unproven.replace(relay.incarnation) != Some(relay.incarnation) {
            log::info!("event=relay-unproven relay={} topic={topic}", relay.name);
        }
    }

    async fn list_relayed(
        &self,
        topic: WatchTopic,
        freshness: ListFreshness,
    ) -> Result<UpdateBatch, SourceError> {
        let is_bypassed = self.state.bypasses_relay[topic as usize].swap(false, Ordering::Relaxed);
        let times = RelayTimes::new(self.state.settings.bounds.update_deadline);
        let deadline = Instant::now() + times.wait;
        while !is_bypassed && let ReadPath::Relay(relay) = self.path_of(topic) {
            match self.read(&relay, topic, None, Duration::ZERO).await {
                Ok(RelayReply::Updates(batch, proof)) if self.is_current(topic, &batch) => {
                    return Ok(self.accept(topic, batch, proof));
                }
                Ok(RelayReply::Unproven) => self.record_unproven(topic, &relay),
                // After an outage the relay reads the source at about the same time.
                Ok(RelayReply::NotRelay) if Instant::now() < deadline => {
                    sleep(RETRY_INTERVAL).await;
                }
                Ok(_) => break,
                Err(error) => self.suspect(&relay, &error),
            }
        }
        let batch = self.source.list(topic, freshness).await?;
        self.record_position(topic, batch.position);
        Ok(batch)
    }

    async fn watch_relayed(
        &self,
        topic: WatchTopic,
        position: SourcePosition,
        wait: Duration,
    ) -> Result<UpdateBatch, SourceError> {
        let deadline = Instant::now() + wait;
        // How instances find each other cannot depend on a relay.
        let mut path = if topic == WatchTopic::Instances || self.needs_proof(topic) {
            self.path_of(topic)
        } else {
            self.decide().await
        };
        let mut is_fallback = false;
        while let ReadPath::Relay(relay) = path {
            let relay_wait = self.relay_wait(topic).min(wait);
            let read = self.read(&relay, topic, Some(position), relay_wait).await;
            if matches!(read, Ok(RelayReply::Updates(..) | RelayReply::Unchanged(_))) {
                self.state.connectivity.record_relay_reply();
            }
            match read {
                Ok(RelayReply::Updates(batch, proof)) => {
                    return Ok(self.accept(topic, batch, proof));
                }
                Ok(RelayReply::HistoryGone) => {
                    let kind = SourceErrorKind::HistoryGone;
                    let (step, peer) = ("relay-watch", relay.name.clone());
                    return Err(SourceError { step, peer, kind, reason: "status 410".to_owned() });
                }
                Ok(RelayReply::Unchanged(proof))
                    if Instant::now() >= deadline || self.needs_proof(topic) =>
                {
                    return Ok(UpdateBatch::unchanged(position, ReadEvidence::Relay(proof)));
                }
                Ok(RelayReply::Unchanged(_)) => {}
                Ok(RelayReply::Unproven) => self.record_unproven(topic, &relay),
                Ok(RelayReply::NotRelay) => {
                    self.suspect(&relay, &relay_error("relay-watch", &relay.name, &"not a relay"));
                    is_fallback = true;
                }
                Err(error) => {
                    self.suspect(&relay, &error);
                    is_fallback = true;
                }
            }
            path = self.path_of(topic);
        }
        let wait = match path {
            _ if is_fallback && self.needs_proof(topic) => wait.min(PROOF_FALLBACK_WAIT),
            _ if is_fallback => wait.min(self.state.read_times(topic).min_source_wait),
            ReadPath::Undecided => wait.min(UNDECIDED_WAIT),
            _ => wait,
        };
        let batch = self.watch_source(topic, position, wait).await?;
        if !batch.updates.is_empty() {
            self.record_position(topic, batch.position);
        }
        Ok(batch)
    }

    /// Watches a topic at the source. A reply that is overdue is taken for lost.
    async fn watch_source(
        &self,
        topic: WatchTopic,
        position: SourcePosition,
        wait: Duration,
    ) -> Result<UpdateBatch, SourceError> {
        let limit = wait + self.state.read_times(topic).reply_margin;
        let watch = self.source.watch(topic, position, wait);
        timeout(limit, watch).await.unwrap_or_else(|_elapsed| {
            let (step, kind) = ("watch", SourceErrorKind::WatchOverdue);
            let reason = format!("no reply in {} ms", limit.as_millis());
            Err(SourceError { step, peer: "-".to_owned(), kind, reason })
        })
    }

    /// Reads from a relay. Ends at once if another read finds that it does not reply.
    async fn read(
        &self,
        relay: &InstanceRecord,
        topic: WatchTopic,
        position: Option<SourcePosition>,
        wait: Duration,
    ) -> Result<RelayReply, SourceError> {
        let mut suspicions = self.state.relay_suspicions.subscribe();
        let margin = if self.needs_proof(topic) {
            PROOF_REPLY_MARGIN
        } else {
            self.state.read_times(topic).relay_margin()
        };
        let limit = wait + margin;
        let reading = timeout(limit, self.request(relay, topic, position, wait));
        tokio::select! {
            biased;
            result = reading => result.unwrap_or_else(|_elapsed| {
                let reason = "no reply in time".to_owned();
                let (step, kind) = ("relay-read", SourceErrorKind::NoReply);
                Err(SourceError { step, peer: relay.name.clone(), kind, reason })
            }),
            _ = suspicions.changed() => {
                let reason = "another read failed".to_owned();
                let (step, kind) = ("relay-read", SourceErrorKind::NoReply);
                Err(SourceError { step, peer: relay.name.clone(), kind, reason })
            }
        }
    }

    async fn request(
        &self,
        relay: &InstanceRecord,
        topic: WatchTopic,
        position: Option<SourcePosition>,
        wait: Duration,
    ) -> Result<RelayReply, SourceError> {
        let query = RelayQuery {
            topic: topic.to_string(),
            era: position.map(|position| position.era),
            revision: position.map(|position| position.revision),
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        let url = format!("http://{}{UPDATES_PATH}", relay.heartbeat_address);
        let request = self.client.get(url).query(&query);
        let failed = |error: &dyn std::fmt::Display| relay_error("relay-read", &relay.name, error);
        let sent = self.state.permission.now();
        let response = request.send().await.map_err(|error| failed(&error))?;
        let received = self.state.permission.now();
        let header = response.headers().get(PROOF_HEADER).and_then(|value| value.to_str().ok());
        let proof = header.and_then(|text| parse_proof(text, sent, received));
        let is_data = matches!(response.status(), StatusCode::OK | StatusCode::NO_CONTENT);
        if is_data && proof.is_none() && self.needs_proof(topic) {
            return Ok(RelayReply::Unproven);
        }
        let proof = proof.flatten();
        match response.status() {
            StatusCode::OK => {
                let mut share = self.state.held_replies.share();
                let body = reqwest::Body::from(response);
                let bytes = read_bounded(body, MAX_REPLY_BYTES, &mut share)
                    .await
                    .map_err(|error| failed(&error))?;
                let batch = decode_batch(&bytes).map_err(|error| failed(&error))?;
                Ok(RelayReply::Updates(batch, proof))
            }
            StatusCode::NO_CONTENT => Ok(RelayReply::Unchanged(proof)),
            StatusCode::GONE => Ok(RelayReply::HistoryGone),
            StatusCode::CONFLICT => Ok(RelayReply::NotRelay),
            status => Err(failed(&format_args!("status {}", status.as_u16()))),
        }
    }

    fn relay_wait(&self, topic: WatchTopic) -> Duration {
        let times = self.state.read_times(topic);
        match topic {
            WatchTopic::Endpoints => times.wait,
            WatchTopic::Config | WatchTopic::Evacuations | WatchTopic::Instances => times.long_wait,
        }
    }

    /// Whether a list of a relay is at least as new as what was read before.
    fn is_current(&self, topic: WatchTopic, batch: &RelayedBatch) -> bool {
        let position = SourcePosition { era: batch.era, revision: batch.revision };
        let positions = self.positions.lock().unwrap_or_else(PoisonError::into_inner);
        position >= positions[topic as usize]
    }

    fn accept(
        &self,
        topic: WatchTopic,
        batch: RelayedBatch,
        proof: Option<ConfigProof>,
    ) -> UpdateBatch {
        let RelayedBatch { era, revision, newest_revision, updates } = batch;
        let position = SourcePosition { era, revision };
        self.record_position(topic, position);
        let evidence = ReadEvidence::Relay(proof);
        UpdateBatch { updates, position, newest_revision, is_relayed: true, evidence }
    }

    fn record_position(&self, topic: WatchTopic, position: SourcePosition) {
        let mut positions = self.positions.lock().unwrap_or_else(PoisonError::into_inner);
        let known = &mut positions[topic as usize];
        *known = position.max(*known);
    }

    fn suspect(&self, relay: &InstanceRecord, error: &SourceError) {
        if self.state.suspect_relay(&relay.name) {
            log::info!("event=relay-suspected relay={} {error}", relay.name);
        }
    }
}

impl FleetSource for RelayedSource {
    fn list(&self, topic: WatchTopic, freshness: ListFreshness) -> SourceFuture<'_, UpdateBatch> {
        Box::pin(self.list_relayed(topic, freshness))
    }

    fn watch(
        &self,
        topic: WatchTopic,
        position: SourcePosition,
        wait: Duration,
    ) -> SourceFuture<'_, UpdateBatch> {
        Box::pin(self.watch_relayed(topic, position, wait))
    }

    fn era(&self) -> u64 {
        self.source.era()
    }

    fn check(&self) -> SourceFuture<'_, ()> {
        self.source.check()
    }

    fn register<'call>(
        &'call self,
        record: &'call InstanceRecord,
    ) -> SourceFuture<'call, RegistrationReceipt> {
        self.source.register(record)
    }

    fn withdraw<'call>(&'call self, instance: &'call str) -> SourceFuture<'call, ()> {
        self.source.withdraw(instance)
    }
}

pub(super) fn relay_error(
    step: &'static str,
    peer: &str,
    error: &dyn std::fmt::Display,
) -> SourceError {
    let kind = SourceErrorKind::NoReply;
    SourceError { step, peer: peer.to_owned(), kind, reason: error.to_string() }
}
