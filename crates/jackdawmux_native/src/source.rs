//! Source of fleet updates that reads the accepted rules.

use std::sync::Arc;
use std::time::Duration;

use jackdawmux_front::source::{RegistrationReceipt, SourceFuture};
use jackdawmux_front::{
    FleetSource, FleetUpdate, ListFreshness, ReadEvidence, SourceError, SourceErrorKind,
    SourcePosition, UpdateBatch, WatchTopic,
};
use jackdawmux_policy::fleet::record::InstanceRecord;
use jackdawmux_rules::{FleetRules, parse_rules, render_diagnostics};
use jackdawmux_store::{HEAD_KEY, ObjectStore, StoreError, read_head, read_rules};

use crate::instances::{INSTANCES_KEY, InstanceTable, UpdateError, update_table};

/// Source of fleet updates over an object store: configuration, endpoints and evacuations from the
/// rules that `jackdawctl accept` wrote, instances from the table in which they register.
#[derive(Debug)]
pub struct RulesSource {
    store: Arc<dyn ObjectStore>,
    /// Address of the store, reported in errors.
    peer: String,
}

impl RulesSource {
    /// Creates a source over `store`, whose address in errors is `peer`.
    #[must_use]
    pub fn new(store: Arc<dyn ObjectStore>, peer: &str) -> Self {
        Self { store, peer: peer.to_owned() }
    }

    fn error(&self, step: &'static str, kind: SourceErrorKind, reason: String) -> SourceError {
        SourceError { step, peer: self.peer.clone(), kind, reason }
    }

    fn read_error(&self, error: &StoreError) -> SourceError {
        let kind = match error {
            StoreError::Transport { .. } => SourceErrorKind::NoReply,
            StoreError::Body { source, .. } if !source.is_size() => SourceErrorKind::NoReply,
            StoreError::Status { .. } => SourceErrorKind::Refused,
            StoreError::Body { .. } | StoreError::Version { .. } | StoreError::Content { .. } => {
                SourceErrorKind::Malformed
            }
        };
        self.error("read", kind, error.to_string())
    }

    fn update_error(&self, error: UpdateError) -> SourceError {
        match error {
            UpdateError::NotDone(reason) => self.error("change", SourceErrorKind::Refused, reason),
            UpdateError::Unknown(error) => {
                self.error("change", SourceErrorKind::NoReply, error.to_string())
            }
        }
    }

    /// Reads the accepted rules and the version of their head object; `None` before the first
    /// accept.
    async fn read_fleet_rules(&self) -> Result<Option<(FleetRules, u64)>, SourceError> {
        let store = self.store.as_ref();
        let head = read_head(store).await.map_err(|error| self.read_error(&error))?;
        let Some(stored) = head else {
            return Ok(None);
        };
        let bytes =
            read_rules(store, &stored.head).await.map_err(|error| self.read_error(&error))?;
        let rules = parse_rules("accepted", &bytes).map_err(|diagnostics| {
            self.error("parse", SourceErrorKind::Malformed, render_diagnostics(&diagnostics))
        })?;
        Ok(Some((rules.fleet_rules(stored.head.accept.version), stored.object_version)))
    }

    async fn list_rules(&self, topic: WatchTopic) -> Result<UpdateBatch, SourceError> {
        let Some((rules, position)) = self.read_fleet_rules().await? else {
            return Ok(batch(Vec::new(), 0));
        };
        let updates = match topic {
            WatchTopic::Config => vec![FleetUpdate::Config(Box::new(rules.config))],
            WatchTopic::Endpoints => {
                let endpoints = rules.endpoints.into_iter();
                endpoints.map(|record| FleetUpdate::Endpoint(record, position)).collect()
            }
            WatchTopic::Evacuations => {
                rules.drained_domains.into_iter().map(FleetUpdate::EvacuationStarted).collect()
            }
            WatchTopic::Instances => Vec::new(),
        };
        Ok(batch(updates, position))
    }

    async fn list_instances(&self) -> Result<UpdateBatch, SourceError> {
        let read = InstanceTable::read(self.store.as_ref()).await;
        let (table, position) = read.map_err(|error| self.read_error(&error))?;
        let updates = table.records().into_iter().map(FleetUpdate::Instance).collect();
        Ok(batch(updates, position))
    }

    async fn list_topic(&self, topic: WatchTopic) -> Result<UpdateBatch, SourceError> {
        match topic {
            WatchTopic::Instances => self.list_instances().await,
            WatchTopic::Config | WatchTopic::Endpoints | WatchTopic::Evacuations => {
                self.list_rules(topic).await
            }
        }
    }

    /// Waits for a newer version of the topic's object. Objects are replaced as a whole and keep no
    /// history, so a newer version is reported as [`SourceErrorKind::HistoryGone`], upon which the
    /// watcher reads the list again.
    async fn watch_topic(
        &self,
        topic: WatchTopic,
        position: SourcePosition,
        wait: Duration,
    ) -> Result<UpdateBatch, SourceError> {
        let key = if topic == WatchTopic::Instances { INSTANCES_KEY } else { HEAD_KEY };
        let watched = self.store.watch(key, position.revision, wait).await;
        match watched.map_err(|error| self.read_error(&error))? {
            None => Ok(batch(Vec::new(), position.revision)),
            Some(object) => {
                let reason = format!("object replaced by version {}", object.version);
                Err(self.error("watch", SourceErrorKind::HistoryGone, reason))
            }
        }
    }
}

impl FleetSource for RulesSource {
    fn list(&self, topic: WatchTopic, _: ListFreshness) -> SourceFuture<'_, UpdateBatch> {
        Box::pin(self.list_topic(topic))
    }

    fn watch(
        &self,
        topic: WatchTopic,
        position: SourcePosition,
        wait: Duration,
    ) -> SourceFuture<'_, UpdateBatch> {
        Box::pin(self.watch_topic(topic, position, wait))
    }

    fn check(&self) -> SourceFuture<'_, ()> {
        Box::pin(async {
            let head = read_head(self.store.as_ref()).await;
            head.map(|_head| ()).map_err(|error| self.read_error(&error))
        })
    }

    fn register<'call>(
        &'call self,
        record: &'call InstanceRecord,
    ) -> SourceFuture<'call, RegistrationReceipt> {
        Box::pin(async move {
            let updated = update_table(self.store.as_ref(), |table| table.insert(record)).await;
            let version = updated.map_err(|error| self.update_error(error))?;
            let position = SourcePosition::first_era(version);
            Ok(RegistrationReceipt { position, is_replacement: false })
        })
    }

    fn withdraw<'call>(&'call self, instance: &'call str) -> SourceFuture<'call, ()> {
        Box::pin(async move {
            let updated = update_table(self.store.as_ref(), |table| table.remove(instance)).await;
            updated.map(|_version| ()).map_err(|error| self.update_error(error))
        })
    }
}

/// Updates as of a version of the object that holds them. The store keeps one history.
const fn batch(updates: Vec<FleetUpdate>, version: u64) -> UpdateBatch {
    let position = SourcePosition::first_era(version);
    let evidence = ReadEvidence::Source;
    UpdateBatch { updates, position, newest_revision: version, is_relayed: false, evidence }
}
