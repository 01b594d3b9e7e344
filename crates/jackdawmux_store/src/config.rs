//! Accepted configuration in the platform's store.
//!
//! One head object holds the latest accepted version and the digest of its content. To accept a
//! version is a conditional update of the head. The content is written before the head, under keys
//! that contain its digest, so that a crash in between leaves the previous version unchanged.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::error::StoreError;
use crate::store::{ObjectStore, UpdateOutcome};

/// Store key of the head object.
pub const HEAD_KEY: &str = "config/head";
/// Maximum size of one chunk of content, in bytes.
const MAX_CHUNK_BYTES: usize = 900_000;
/// Largest rules file, in bytes.
const MAX_RULES_BYTES: usize = 32 * 1024 * 1024;
/// Maximum number of earlier accept records in the head.
const MAX_LOG_RECORDS: usize = 100;
/// Maximum attempts to write the head when the outcome of an update is unknown.
const MAX_HEAD_ATTEMPTS: usize = 5;

/// Record of one accepted version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptRecord {
    /// Version number of the accepted configuration.
    pub version: u64,
    /// SHA-256 of the rules file, in hexadecimal.
    pub digest: String,
    /// Random id of this accept, by which it is found in the store after a reply was lost.
    pub accept_id: String,
    /// Name of the operator who accepted the version.
    pub accepted_by: String,
    /// Reason stated by the operator.
    pub note: String,
    /// Time of the accept, in Unix milliseconds.
    pub accepted_ms: u64,
}

/// Content of the head object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Record of the accept that created this head.
    pub accept: AcceptRecord,
    /// Store keys of the content's chunks, in order.
    pub chunks: Vec<String>,
    /// Records of earlier accepts, oldest first.
    pub log: Vec<AcceptRecord>,
}

impl ConfigHead {
    /// Whether this head or its log contains the accept with this id.
    #[must_use]
    pub fn has_accept(&self, accept_id: &str) -> bool {
        let earlier = self.log.iter();
        std::iter::once(&self.accept).chain(earlier).any(|record| record.accept_id == accept_id)
    }
}

/// The head with its version in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHead {
    /// Version of the object, for conditional updates.
    pub object_version: u64,
    /// Content of the head object.
    pub head: ConfigHead,
}

/// An operator's request to accept a rules file.
#[derive(Clone, Debug)]
pub struct AcceptRequest<'call> {
    /// Content of the rules file.
    pub rules: &'call [u8],
    /// Name of the operator who accepted the version.
    pub by: &'call str,
    /// Reason stated by the operator.
    pub note: &'call str,
    /// Version on which the operator's change is based; `None` accepts any current version.
    pub base: Option<u64>,
    /// The new version is higher than this one, even if the store returns a lower current version.
    pub above: u64,
    /// Time of the request, in Unix milliseconds.
    pub now_ms: u64,
}

/// Outcome of an accept.
#[derive(Debug)]
pub enum AcceptOutcome {
    /// The version is in the store.
    Accepted(AcceptRecord),
    /// Another accept came first; the head was not changed. The current head, if it could be read.
    Superseded(Option<Box<ConfigHead>>),
    /// The version was not accepted.
    NotDone(StoreError),
    /// The version may have been accepted; a later read confirms it if the head or its log
    /// contains this accept id.
    Unknown(String, StoreError),
}

/// SHA-256 of a rules file, in hexadecimal.
#[must_use]
pub fn digest_of(rules: &[u8]) -> String {
    Sha256::digest(rules).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Reads the head; `None` if no version was accepted yet.
///
/// # Errors
/// When the store does not reply or the head cannot be read.
pub async fn read_head(store: &dyn ObjectStore) -> Result<Option<StoredHead>, StoreError> {
    let Some(object) = store.read(HEAD_KEY).await? else {
        return Ok(None);
    };
    decode_head(object.version, &object.content).map(Some)
}

/// Decodes a head object.
///
/// # Errors
/// When the content is not a valid head.
pub fn decode_head(object_version: u64, content: &[u8]) -> Result<StoredHead, StoreError> {
    let head = serde_json::from_slice(content).map_err(|source| StoreError::Content {
        key: HEAD_KEY.to_owned(),
        reason: source.to_string(),
    })?;
    Ok(StoredHead { object_version, head })
}

/// Reads the rules file to which a head refers and verifies its digest.
///
/// # Errors
/// When the store does not reply, a chunk is missing or the digest differs.
pub async fn read_rules(store: &dyn ObjectStore, head: &ConfigHead) -> Result<Vec<u8>, StoreError> {
    let mut rules = Vec::new();
    for key in &head.chunks {
        let chunk = store.read(key).await?.ok_or_else(|| StoreError::Content {
            key: key.clone(),
            reason: "missing".to_owned(),
        })?;
        rules.extend_from_slice(&chunk.content);
        if rules.len() > MAX_RULES_BYTES {
            let reason = format!("rules of more than {MAX_RULES_BYTES} bytes");
            return Err(StoreError::Content { key: HEAD_KEY.to_owned(), reason });
        }
    }
    if digest_of(&rules) != head.accept.digest {
        let reason = "rules do not match the digest in the head".to_owned();
        return Err(StoreError::Content { key: HEAD_KEY.to_owned(), reason });
    }
    Ok(rules)
}

/// Accepts a rules file, which the caller of this function must have checked.
pub async fn accept_rules(store: &dyn ObjectStore, request: &AcceptRequest<'_>) -> AcceptOutcome {
    let stored = match read_head(store).await {
        Ok(stored) => stored,
        Err(error) => return AcceptOutcome::NotDone(error),
    };
    let current = stored.as_ref().map_or(0, |stored| stored.head.accept.version);
    if request.base.is_some_and(|base| base != current) {
        return AcceptOutcome::Superseded(stored.map(|stored| Box::new(stored.head)));
    }
    let digest = digest_of(request.rules);
    let chunks = match write_chunks(store, &digest, request.rules).await {
        Ok(chunks) => chunks,
        Err(error) => return AcceptOutcome::NotDone(error),
    };
    let accept = AcceptRecord {
        version: current.max(request.above) + 1,
        digest,
        accept_id: format!("{:032x}", rand::random::<u128>()),
        accepted_by: request.by.to_owned(),
        note: request.note.to_owned(),
        accepted_ms: request.now_ms,
    };
    let expected = stored.as_ref().map_or(0, |stored| stored.object_version);
    let head = next_head(stored.map(|stored| stored.head), accept, chunks);
    write_head(store, expected, head).await
}

fn next_head(
    previous: Option<ConfigHead>,
    accept: AcceptRecord,
    chunks: Vec<String>,
) -> ConfigHead {
    let mut log = Vec::new();
    if let Some(previous) = previous {
        log = previous.log;
        log.push(previous.accept);
    }
    let excess = log.len().saturating_sub(MAX_LOG_RECORDS);
    log.drain(..excess);
    ConfigHead { accept, chunks, log }
}

/// Writes the content in chunks and returns their keys. A chunk never changes once written, so a
/// conflict means that the same chunk is already stored.
async fn write_chunks(
    store: &dyn ObjectStore,
    digest: &str,
    rules: &[u8],
) -> Result<Vec<String>, StoreError> {
    let mut keys = Vec::new();
    for (index, chunk) in rules.chunks(MAX_CHUNK_BYTES).enumerate() {
        let key = format!("config/content/{digest}/{index}");
        match store.update(&key, 0, Bytes::copy_from_slice(chunk)).await {
            UpdateOutcome::Done(_) | UpdateOutcome::Conflict => {}
            UpdateOutcome::NotDone(error) | UpdateOutcome::Unknown(error) => {
                // The reply may have been lost after the write took effect; a read confirms it.
                if store.read(&key).await?.is_none() {
                    return Err(error);
                }
            }
        }
        keys.push(key);
    }
    Ok(keys)
}

async fn write_head(store: &dyn ObjectStore, expected: u64, head: ConfigHead) -> AcceptOutcome {
    let content = match serde_json::to_vec(&head) {
        Ok(content) => Bytes::from(content),
        Err(source) => {
            let reason = source.to_string();
            let key = HEAD_KEY.to_owned();
            return AcceptOutcome::NotDone(StoreError::Content { key, reason });
        }
    };
    let mut unknown_error = None;
    for _ in 0..MAX_HEAD_ATTEMPTS {
        match store.update(HEAD_KEY, expected, content.clone()).await {
            UpdateOutcome::Done(_) => return AcceptOutcome::Accepted(head.accept),
            UpdateOutcome::Conflict => return resolve_conflict(store, head, unknown_error).await,
            UpdateOutcome::NotDone(error) => {
                if unknown_error.is_none() {
                    return AcceptOutcome::NotDone(error);
                }
            }
            // A repeat of the same conditional update decides: it takes effect, or conflicts
            // because the earlier one or another accept did.
            UpdateOutcome::Unknown(error) => unknown_error = Some(error),
        }
    }
    let fallback = StoreError::Content {
        key: HEAD_KEY.to_owned(),
        reason: "no attempt to write the head got a conclusive reply".to_owned(),
    };
    AcceptOutcome::Unknown(head.accept.accept_id, unknown_error.unwrap_or(fallback))
}

/// Handles a conflict: the head was changed either by an earlier attempt of this accept or by
/// another accept.
async fn resolve_conflict(
    store: &dyn ObjectStore,
    head: ConfigHead,
    unknown_error: Option<StoreError>,
) -> AcceptOutcome {
    match read_head(store).await {
        Ok(Some(stored)) if stored.head.has_accept(&head.accept.accept_id) => {
            AcceptOutcome::Accepted(head.accept)
        }
        Ok(stored) => AcceptOutcome::Superseded(stored.map(|stored| Box::new(stored.head))),
        Err(error) => match unknown_error {
            Some(_) => AcceptOutcome::Unknown(head.accept.accept_id, error),
            None => AcceptOutcome::Superseded(None),
        },
    }
}
