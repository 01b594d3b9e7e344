//! Table of registered instances, kept in one object that is replaced by conditional updates.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use jackdawmux_policy::fleet::record::InstanceRecord;
use jackdawmux_store::{ObjectStore, StoreError, UpdateOutcome};
use serde::{Deserialize, Serialize};

/// Key of the object that holds the table.
pub(crate) const INSTANCES_KEY: &str = "fronts/instances";
/// Maximum number of attempts to update the table when other instances write at the same time.
const MAX_UPDATE_ATTEMPTS: usize = 8;

/// Registration of one instance, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredInstance {
    address: SocketAddr,
    heartbeat_address: SocketAddr,
    domain: String,
    capacity_permille: u32,
    incarnation: u64,
}

/// Registered instances by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct InstanceTable {
    instances: BTreeMap<String, StoredInstance>,
}

/// Why an update of the table failed.
#[derive(Debug)]
pub(crate) enum UpdateError {
    /// The update was certainly not written.
    NotDone(String),
    /// The update may have been written.
    Unknown(StoreError),
}

impl InstanceTable {
    /// Reads the table and the version of its object; an empty table and version 0 before the first
    /// registration.
    pub(crate) async fn read(store: &dyn ObjectStore) -> Result<(Self, u64), StoreError> {
        let Some(object) = store.read(INSTANCES_KEY).await? else {
            return Ok((Self::default(), 0));
        };
        let table = serde_json::from_slice(&object.content).map_err(|source| {
            StoreError::Content { key: INSTANCES_KEY.to_owned(), reason: source.to_string() }
        })?;
        Ok((table, object.version))
    }

    /// Converts the table to instance records, sorted by name.
    pub(crate) fn records(self) -> Vec<InstanceRecord> {
        let records = self.instances.into_iter().map(|(name, stored)| InstanceRecord {
            name,
            address: stored.address,
            heartbeat_address: stored.heartbeat_address,
            domain: stored.domain,
            capacity_permille: stored.capacity_permille,
            incarnation: stored.incarnation,
            cap_address: None,
        });
        records.collect()
    }

    /// Adds an instance, or replaces its registration.
    pub(crate) fn insert(&mut self, record: &InstanceRecord) {
        let stored = StoredInstance {
            address: record.address,
            heartbeat_address: record.heartbeat_address,
            domain: record.domain.clone(),
            capacity_permille: record.capacity_permille,
            incarnation: record.incarnation,
        };
        self.instances.insert(record.name.clone(), stored);
    }

    /// Removes an instance, if registered.
    pub(crate) fn remove(&mut self, name: &str) {
        self.instances.remove(name);
    }
}

/// Applies `change` to the table and writes it back. Reads the table again and retries when another
/// writer replaced it in between. Returns the version of
/// the object that contains the change.
pub(crate) async fn update_table(
    store: &dyn ObjectStore,
    change: impl Fn(&mut InstanceTable),
) -> Result<u64, UpdateError> {
    for _ in 0..MAX_UPDATE_ATTEMPTS {
        let (before, version) = InstanceTable::read(store)
            .await
            .map_err(|error| UpdateError::NotDone(error.to_string()))?;
        let mut after = before.clone();
        change(&mut after);
        if after == before {
            return Ok(version);
        }
        let content =
            serde_json::to_vec(&after).map_err(|error| UpdateError::NotDone(error.to_string()))?;
        match store.update(INSTANCES_KEY, version, Bytes::from(content)).await {
            UpdateOutcome::Done(version) => return Ok(version),
            UpdateOutcome::Conflict => {}
            UpdateOutcome::NotDone(error) => return Err(UpdateError::NotDone(error.to_string())),
            UpdateOutcome::Unknown(error) => return Err(UpdateError::Unknown(error)),
        }
    }
    Err(UpdateError::NotDone(format!(
        "instance table: {MAX_UPDATE_ATTEMPTS} update attempts conflicted with other writers"
    )))
}
