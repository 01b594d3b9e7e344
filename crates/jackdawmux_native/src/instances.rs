//! Instances, in one object that is updated under a condition.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use jackdawmux_policy::fleet::record::InstanceRecord;
use jackdawmux_store::{ObjectStore, StoreError, UpdateOutcome};
use serde::{Deserialize, Serialize};

/// Key of the object.
pub(crate) const INSTANCES_KEY: &str = "fronts/instances";
/// Tries when others write at the same time.
const UPDATE_TRIES: usize = 8;

/// One instance as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredInstance {
    address: SocketAddr,
    heartbeat_address: SocketAddr,
    domain: String,
    capacity_permille: u32,
    incarnation: u64,
}

/// Instances by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct InstanceTable {
    instances: BTreeMap<String, StoredInstance>,
}

/// What kept a change from being made.
#[derive(Debug)]
pub(crate) enum ChangeError {
    /// It was certainly not made.
    NotDone(String),
    /// It may have been made.
    Unknown(StoreError),
}

impl InstanceTable {
    /// Reads the table with its version; empty before the first registration.
    pub(crate) async fn read(store: &dyn ObjectStore) -> Result<(Self, u64), StoreError> {
        let Some(object) = store.read(INSTANCES_KEY).await? else {
            return Ok((Self::default(), 0));
        };
        let table = serde_json::from_slice(&object.content).map_err(|source| {
            StoreError::Content { key: INSTANCES_KEY.to_owned(), reason: source.to_string() }
        })?;
        Ok((table, object.version))
    }

    /// The instances.
    pub(crate) fn records(self) -> Vec<InstanceRecord> {
        let records = self.instances.into_iter().map(|(name, stored)| InstanceRecord {
            name,
            address: stored.address,
            heartbeat_address: stored.heartbeat_address,
            domain: stored.domain,
            capacity_permille: stored.capacity_permille,
            incarnation: stored.incarnation,
        });
        records.collect()
    }

    /// Puts an instance in.
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

    /// Takes an instance out.
    pub(crate) fn remove(&mut self, name: &str) {
        self.instances.remove(name);
    }
}

/// Changes the table; starts over when another instance was first.
pub(crate) async fn change_table(
    store: &dyn ObjectStore,
    change: impl Fn(&mut InstanceTable),
) -> Result<(), ChangeError> {
    for _ in 0..UPDATE_TRIES {
        let (before, version) = InstanceTable::read(store)
            .await
            .map_err(|error| ChangeError::NotDone(error.to_string()))?;
        let mut after = before.clone();
        change(&mut after);
        if after == before {
            return Ok(());
        }
        let content =
            serde_json::to_vec(&after).map_err(|error| ChangeError::NotDone(error.to_string()))?;
        match store.update(INSTANCES_KEY, version, Bytes::from(content)).await {
            UpdateOutcome::Done(_version) => return Ok(()),
            UpdateOutcome::Conflict => {}
            UpdateOutcome::NotDone(error) => return Err(ChangeError::NotDone(error.to_string())),
            UpdateOutcome::Unknown(error) => return Err(ChangeError::Unknown(error)),
        }
    }
    Err(ChangeError::NotDone(format!("{UPDATE_TRIES} tries met other writers")))
}
