//! Messages of relays: updates as CBOR in the bodies of HTTP responses.

use std::{fmt, io};

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::permission::ConfigProof;
use jackdawmux_policy::fleet::position::SourcePosition;
use serde::de::{DeserializeOwned, Error as _, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

use crate::source::FleetUpdate;

/// Path of reads from a relay.
pub(super) const UPDATES_PATH: &str = "/relay/updates";
/// Path of the configuration in force.
pub(super) const CONFIG_PATH: &str = "/relay/config";
/// Path of what is known from before a restore of the source.
pub(super) const RESTORE_PATH: &str = "/relay/restore";

/// Header that states how long after the arrival of the request the read began with which the
/// sender last found its state to be current, in microseconds, and the version of the configuration
/// then. Builds that do not know teams omit it.
pub(super) const PROOF_HEADER: &str = "jackdawmux-config-proof";
/// Value of the header if there was no such read.
const NO_PROOF: &str = "none";

/// Formats a proof for the reply to a request that arrived at this time.
pub fn format_proof(proof: Option<ConfigProof>, arrived: PolicyTime) -> String {
    let Some(ConfigProof { started, version }) = proof else {
        return NO_PROOF.to_owned();
    };
    let offset = i128::from(started.0) - i128::from(arrived.0);
    format!("{offset} {version}")
}

/// Parses a proof from the reply to a request that was sent at this time, in terms of the own clock.
/// The request arrived later, so the result is never later than the actual start of the read. `None`
/// if the text is malformed, `Some(None)` if there was no such read.
pub fn parse_proof(
    text: &str,
    sent: PolicyTime,
    received: PolicyTime,
) -> Option<Option<ConfigProof>> {
    if text == NO_PROOF {
        return Some(None);
    }
    let (offset, version) = text.split_once(' ')?;
    let offset: i64 = offset.parse().ok()?;
    let version = version.parse().ok()?;
    let started = PolicyTime(sent.0.saturating_add_signed(offset));
    // A read that has not begun yet cannot have been answered.
    Some((started <= received).then_some(ConfigProof { started, version }))
}

/// Read from a relay, as the query of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RelayQuery {
    /// Topic, as in the logs.
    pub(super) topic: String,
    /// Position of the reader; none to read the full list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) era: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) revision: Option<u64>,
    /// How long the relay may hold the read if it has no updates, in milliseconds.
    #[serde(default)]
    pub(super) wait_ms: u64,
}

impl RelayQuery {
    /// Position of the reader.
    pub(super) fn position(&self) -> Option<SourcePosition> {
        Some(SourcePosition { era: self.era?, revision: self.revision? })
    }
}

/// Largest reply of another instance, in bytes.
pub(super) const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;
/// Updates that a reply may hold. Even at 3,400 instances, no topic has half as many objects.
const MAX_UPDATES: usize = 100_000;

/// Updates in the reply of a relay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedBatch {
    /// Era of the position after the updates.
    pub era: u64,
    /// Revision of the position after the updates.
    pub revision: u64,
    /// Revision of the newest change among the updates.
    pub newest_revision: u64,
    /// The updates, in the order in which they are applied.
    #[serde(deserialize_with = "read_updates")]
    pub updates: Vec<FleetUpdate>,
}

/// Reads updates up to their highest number: they take more memory than their encoding.
fn read_updates<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<FleetUpdate>, D::Error> {
    struct UpdatesVisitor;

    impl<'de> Visitor<'de> for UpdatesVisitor {
        type Value = Vec<FleetUpdate>;

        fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
            write!(formatter, "at most {MAX_UPDATES} updates")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Self::Value, A::Error> {
            let mut updates = Vec::new();
            while let Some(update) = access.next_element()? {
                if updates.len() == MAX_UPDATES {
                    return Err(A::Error::invalid_length(MAX_UPDATES + 1, &self));
                }
                updates.push(update);
            }
            Ok(updates)
        }
    }

    deserializer.deserialize_seq(UpdatesVisitor)
}

/// Encodes a reply.
///
/// # Errors
/// When it cannot be represented in CBOR.
pub fn encode_batch(batch: &RelayedBatch) -> io::Result<Vec<u8>> {
    encode(batch)
}

/// Decodes a reply.
///
/// # Errors
/// When the bytes are not an encoded reply.
pub fn decode_batch(bytes: &[u8]) -> io::Result<RelayedBatch> {
    decode(bytes)
}

/// Encodes an object for another instance.
///
/// # Errors
/// When it cannot be represented in CBOR.
pub(super) fn encode(object: &impl Serialize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(object, &mut bytes).map_err(io::Error::other)?;
    Ok(bytes)
}

/// Decodes an object of another instance.
///
/// # Errors
/// When the bytes are not an encoded object of this type.
pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    ciborium::from_reader(bytes).map_err(|error| io::Error::other(describe(&error)))
}

/// Describes an error without the value that caused it, which may be a team's key.
fn describe(error: &ciborium::de::Error<io::Error>) -> String {
    use ciborium::de::Error;
    match error {
        Error::Io(error) => format!("truncated: {}", error.kind()),
        Error::Syntax(offset) => format!("invalid CBOR at byte {offset}"),
        Error::Semantic(Some(offset), _text) => format!("unexpected data at byte {offset}"),
        Error::Semantic(None, _text) => "unexpected data".to_owned(),
        Error::RecursionLimitExceeded => "nested too deeply".to_owned(),
    }
}
