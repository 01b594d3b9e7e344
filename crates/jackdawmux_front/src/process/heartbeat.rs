//! Heartbeats between instances: one small CBOR datagram each.
//!
//! Datagrams need no connection state, so an unresponsive or restarted peer costs nothing, and a
//! network cut in one direction stops heartbeats in that direction only.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ciborium::Value;
use jackdawmux_policy::fleet::crash_record::SharedCrashes;
use jackdawmux_policy::fleet::freshness::NewestChanges;
use jackdawmux_policy::fleet::region_demand::DemandStatements;
use kameo::actor::ActorRef;
use serde::de::{Error as _, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use strum::EnumCount;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use super::state::{FrontPhase, FrontState};
use super::state_actor::{HeartbeatReceived, StateActor};
use crate::source::{SourcePosition, WatchTopic};

/// Largest heartbeat and size of the receive buffer, in bytes; fits a name of 255 bytes and the
/// crashes.
const MAX_HEARTBEAT_BYTES: usize = 512;
/// Elements of an encoded heartbeat. The last two are left out by a sender that states nothing in
/// them, so that heartbeats of deployments without load pressure stay as they were.
const HEARTBEAT_ELEMENTS: usize = 9;

/// State that an instance sends to the others at regular intervals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Name of the sender.
    pub instance: String,
    /// Whether lookups may return it.
    pub is_serving: bool,
    /// How long the source of fleet updates has answered all of the sender's calls, in
    /// milliseconds; zero while it does not.
    pub source_connected_ms: u64,
    /// Requests that crashed endpoints, with the number of crashes that the sender observed.
    pub crashes: SharedCrashes,
    /// Newest change that the sender has applied, by topic; zeros from a sender that does not state
    /// them.
    pub newest_changes: NewestChanges,
    /// Version of the configuration in force at the sender; zero if there is none or the sender does
    /// not state it.
    pub config_version: u64,
    /// Whether it reaches no endpoint; false from a sender that does not state it.
    pub is_isolated: bool,
    /// Requests per second that the sender receives from callers; zero from a sender that does not
    /// state them.
    pub request_rate: u32,
    /// Demand for each service that is steered under load; empty from a sender that does not state it.
    pub demands: DemandStatements,
}

impl Serialize for Heartbeat {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let omitted = match (self.request_rate, self.demands.is_empty()) {
            (0, true) => 2,
            (_, true) => 1,
            (_, false) => 0,
        };
        let mut tuple = serializer.serialize_tuple(HEARTBEAT_ELEMENTS - omitted)?;
        tuple.serialize_element(&self.instance)?;
        tuple.serialize_element(&self.is_serving)?;
        tuple.serialize_element(&self.source_connected_ms)?;
        tuple.serialize_element(&self.crashes)?;
        tuple
            .serialize_element(&self.newest_changes.map(|change| (change.era, change.revision)))?;
        tuple.serialize_element(&self.config_version)?;
        tuple.serialize_element(&self.is_isolated)?;
        if omitted < 2 {
            tuple.serialize_element(&self.request_rate)?;
        }
        if omitted == 0 {
            tuple.serialize_element(&self.demands)?;
        }
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Heartbeat {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(HEARTBEAT_ELEMENTS, HeartbeatVisitor)
    }
}

struct HeartbeatVisitor;

impl<'de> Visitor<'de> for HeartbeatVisitor {
    type Value = Heartbeat;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a heartbeat of four to nine elements")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<Heartbeat, A::Error> {
        let missing = |index| A::Error::invalid_length(index, &self);
        let instance = elements.next_element()?.ok_or_else(|| missing(0))?;
        let is_serving = elements.next_element()?.ok_or_else(|| missing(1))?;
        let source_connected_ms = elements.next_element()?.ok_or_else(|| missing(2))?;
        let crashes = elements.next_element()?.ok_or_else(|| missing(3))?;
        // Instances of earlier releases send four to eight elements.
        let positions: [(u64, u64); WatchTopic::COUNT] =
            elements.next_element()?.unwrap_or_default();
        let newest_changes = positions.map(|(era, revision)| SourcePosition { era, revision });
        let config_version = elements.next_element()?.unwrap_or_default();
        let is_isolated = elements.next_element()?.unwrap_or_default();
        let request_rate = elements.next_element()?.map(read_rate).unwrap_or_default();
        // A later release may state something else here.
        let demands: Option<Value> = elements.next_element()?;
        let demands = demands.and_then(|value| value.deserialized().ok()).unwrap_or_default();
        Ok(Heartbeat {
            instance,
            is_serving,
            source_connected_ms,
            crashes,
            newest_changes,
            config_version,
            is_isolated,
            request_rate,
            demands,
        })
    }
}

/// Reads a rate. A later release may send something else in its place, which must not make the rest
/// of the heartbeat unreadable.
fn read_rate(element: Value) -> u32 {
    element.as_integer().and_then(|rate| u32::try_from(rate).ok()).unwrap_or_default()
}

/// Encodes a heartbeat. Statements of demand that do not fit beside a long name are left out, because
/// receivers cut off longer datagrams.
///
/// # Errors
/// When it cannot be represented in CBOR.
pub fn encode_heartbeat(heartbeat: &Heartbeat) -> io::Result<Vec<u8>> {
    let mut bytes = encode_all(heartbeat)?;
    let mut shorter = heartbeat.clone();
    while bytes.len() > MAX_HEARTBEAT_BYTES && shorter.demands.pop().is_some() {
        bytes = encode_all(&shorter)?;
    }
    Ok(bytes)
}

fn encode_all(heartbeat: &Heartbeat) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::with_capacity(64);
    ciborium::into_writer(heartbeat, &mut bytes).map_err(io::Error::other)?;
    Ok(bytes)
}

/// Decodes a heartbeat.
///
/// # Errors
/// When the bytes are not an encoded heartbeat.
pub fn decode_heartbeat(bytes: &[u8]) -> io::Result<Heartbeat> {
    ciborium::from_reader(bytes).map_err(io::Error::other)
}

/// Sends one heartbeat to each peer that the directory selects.
pub(crate) async fn send_heartbeats(state: &FrontState, socket: &UdpSocket) {
    let connected = state.connectivity.connected_for();
    let config_version = state.config_version();
    let (crashes, is_isolated, is_load_aware, demands) = {
        let now = state.clock.now();
        let steering = state.steering();
        let is_isolated = steering.reachability().is_isolated();
        let demands = steering.demand_statements(now);
        (steering.crashes().shared(now), is_isolated, steering.is_load_aware(), demands)
    };
    let heartbeat = Heartbeat {
        instance: state.settings.instance.clone(),
        is_serving: state.phase() == FrontPhase::Serving,
        crashes,
        source_connected_ms: connected
            .map_or(0, |span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX)),
        newest_changes: state.freshness().applied(),
        config_version,
        is_isolated,
        request_rate: if is_load_aware { state.request_rate() } else { 0 },
        demands,
    };
    let bytes = match encode_heartbeat(&heartbeat) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!("event=heartbeat-unsent step=encode error={error:?}");
            return;
        }
    };
    let peers: Vec<SocketAddr> =
        state.directory().peers().iter().map(|record| record.heartbeat_address).collect();
    for peer in peers {
        if let Err(error) = socket.send_to(&bytes, peer).await {
            // Not retried: receivers tolerate several missing heartbeats.
            log::debug!("event=heartbeat-unsent peer={peer} error={error:?}");
        }
    }
}

/// Sends heartbeats until the process ends.
pub(crate) async fn send_periodically(state: Arc<FrontState>, socket: Arc<UdpSocket>) {
    loop {
        send_heartbeats(&state, &socket).await;
        let interval = state.directory().heartbeat_interval();
        let interval = interval.mul_f64(rand::random_range(0.9..1.1));
        // Peers must learn at once that this instance has become isolated, or no longer is.
        let _elapsed = timeout(interval, state.heartbeat_due.notified()).await;
    }
}

/// Receives heartbeats until the process ends.
pub(crate) async fn receive_heartbeats(socket: Arc<UdpSocket>, state_actor: ActorRef<StateActor>) {
    let mut buffer = [0; MAX_HEARTBEAT_BYTES];
    loop {
        let (count, peer) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!("event=heartbeat-unread error={error:?}");
                sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        match decode_heartbeat(&buffer[..count]) {
            Ok(heartbeat) => {
                if state_actor.tell(HeartbeatReceived(heartbeat)).await.is_err() {
                    return;
                }
            }
            Err(error) => log::warn!("event=heartbeat-unread peer={peer} error={error:?}"),
        }
    }
}
