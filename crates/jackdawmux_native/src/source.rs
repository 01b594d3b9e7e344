//! Facts from the accepted rules.

use std::sync::Arc;
use std::time::Duration;

use jackdawmux_front::source::SourceFuture;
use jackdawmux_front::{
    FleetSource, FleetUpdate, SourceError, SourceErrorKind, UpdateBatch, WatchTopic,
};
use jackdawmux_policy::fleet::record::InstanceRecord;
use jackdawmux_rules::{FleetRules, parse_rules, render_diagnostics};
use jackdawmux_store::{HEAD_KEY, ObjectStore, StoreError, read_head, read_rules};

use crate::instances::{ChangeError, INSTANCES_KEY, InstanceTable, change_table};

/// Source of facts that reads rules as `jackdawctl accept` wrote them.
#[derive(Debug)]
pub struct RulesSource {
    store: Arc<dyn ObjectStore>,
    /// Address of the store, for errors.
    peer: String,
}

impl RulesSource {
    /// A source over `store`; `peer` names it in errors.
    #[must_use]
    pub fn new(store: Arc<dyn ObjectStore>, peer: &str) -> Self {
        Self { store, peer: peer.to_owned() }
    }

    fn error(&self, step: &'static str, kind: SourceErrorKind, reason: String) -> SourceError {
        SourceError { step, peer: self.peer.clone(), kind, reason }
    }

    fn failed_read(&self, error: &StoreError) -> SourceError {
        let kind = match error {
            StoreError::Transport { .. } => SourceErrorKind::NoAnswer,
            StoreError::Status { .. } => SourceErrorKind::Refused,
            StoreError::Version { .. } | StoreError::Content { .. } => SourceErrorKind::Malformed,
        };
        self.error("read", kind, error.to_string())
    }

    fn failed_change(&self, error: ChangeError) -> SourceError {
        match error {
            ChangeError::NotDone(reason) => self.error("change", SourceErrorKind::Refused, reason),
            ChangeError::Unknown(error) => {
                self.error("change", SourceErrorKind::NoAnswer, error.to_string())
            }
        }
    }

    /// The accepted rules with the position of their head; none before the first accept.
    async fn read_fleet_rules(&self) -> Result<Option<(FleetRules, u64)>, SourceError> {
        let store = self.store.as_ref();
        let head = read_head(store).await.map_err(|error| self.failed_read(&error))?;
        let Some(stored) = head else {
            return Ok(None);
        };
        let bytes =
            read_rules(store, &stored.head).await.map_err(|error| self.failed_read(&error))?;
        let rules = parse_rules("accepted", &bytes).map_err(|mistakes| {
            self.error("parse", SourceErrorKind::Malformed, render_diagnostics(&mistakes))
        })?;
        Ok(Some((rules.fleet_rules(stored.head.accept.version), stored.object_version)))
    }

    async fn list_rules(&self, topic: WatchTopic) -> Result<UpdateBatch, SourceError> {
        let Some((rules, position)) = self.read_fleet_rules().await? else {
            return Ok(UpdateBatch { updates: Vec::new(), position: 0 });
        };
        let updates = match topic {
            WatchTopic::Config => vec![FleetUpdate::Config(Box::new(rules.config))],
            WatchTopic::Endpoints => {
                rules.endpoints.into_iter().map(FleetUpdate::Endpoint).collect()
            }
            WatchTopic::Evacuations => {
                rules.drained_domains.into_iter().map(FleetUpdate::EvacuationStarted).collect()
            }
            WatchTopic::Instances => Vec::new(),
        };
        Ok(UpdateBatch { updates, position })
    }

    async fn list_instances(&self) -> Result<UpdateBatch, SourceError> {
        let read = InstanceTable::read(self.store.as_ref()).await;
        let (table, position) = read.map_err(|error| self.failed_read(&error))?;
        let updates = table.records().into_iter().map(FleetUpdate::Instance).collect();
        Ok(UpdateBatch { updates, position })
    }

    async fn list_topic(&self, topic: WatchTopic) -> Result<UpdateBatch, SourceError> {
        match topic {
            WatchTopic::Instances => self.list_instances().await,
            WatchTopic::Config | WatchTopic::Endpoints | WatchTopic::Evacuations => {
                self.list_rules(topic).await
            }
        }
    }

    /// Objects are replaced as a whole and keep no history, so a newer one is read by a list.
    async fn watch_topic(
        &self,
        topic: WatchTopic,
        position: u64,
        wait: Duration,
    ) -> Result<UpdateBatch, SourceError> {
        let key = if topic == WatchTopic::Instances { INSTANCES_KEY } else { HEAD_KEY };
        let watched = self.store.watch(key, position, wait).await;
        match watched.map_err(|error| self.failed_read(&error))? {
            None => Ok(UpdateBatch { updates: Vec::new(), position }),
            Some(object) => {
                let reason = format!("version {} replaces the object", object.version);
                Err(self.error("watch", SourceErrorKind::HistoryGone, reason))
            }
        }
    }
}

impl FleetSource for RulesSource {
    fn list(&self, topic: WatchTopic) -> SourceFuture<'_, UpdateBatch> {
        Box::pin(self.list_topic(topic))
    }

    fn watch(
        &self,
        topic: WatchTopic,
        position: u64,
        wait: Duration,
    ) -> SourceFuture<'_, UpdateBatch> {
        Box::pin(self.watch_topic(topic, position, wait))
    }

    fn register<'call>(&'call self, record: &'call InstanceRecord) -> SourceFuture<'call, ()> {
        Box::pin(async move {
            let changed = change_table(self.store.as_ref(), |table| table.insert(record)).await;
            changed.map_err(|error| self.failed_change(error))
        })
    }

    fn withdraw<'call>(&'call self, instance: &'call str) -> SourceFuture<'call, ()> {
        Box::pin(async move {
            let changed = change_table(self.store.as_ref(), |table| table.remove(instance)).await;
            changed.map_err(|error| self.failed_change(error))
        })
    }
}
