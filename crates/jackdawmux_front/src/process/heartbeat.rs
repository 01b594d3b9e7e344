//! Heartbeats between instances: one small CBOR datagram each.
//!
//! A datagram keeps no state, so a silent or restarted peer costs nothing and a cut in one
//! direction stops exactly that direction.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jackdawmux_policy::fleet::crash_record::SharedCrashes;
use kameo::actor::ActorRef;
use serde::de::{Error as _, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::state::{FrontPhase, FrontState};
use super::state_actor::{FleetActor, HearHeartbeat};

/// Largest heartbeat, in bytes: a name of 255 bytes and the crashes, with room to spare.
const HEARTBEAT_BYTES: usize = 512;
/// Elements of an encoded heartbeat.
const HEARTBEAT_ELEMENTS: usize = 4;

/// What an instance tells the others regularly.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Name of the sender.
    pub instance: String,
    /// Whether callers may be sent to it.
    pub is_serving: bool,
    /// How long the source of facts has answered all of the sender's calls, in milliseconds; zero
    /// while it does not.
    pub source_held_ms: u64,
    /// Requests that brought down endpoints, with the crashes that the sender has seen.
    pub crashes: SharedCrashes,
}

impl Serialize for Heartbeat {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(HEARTBEAT_ELEMENTS)?;
        tuple.serialize_element(&self.instance)?;
        tuple.serialize_element(&self.is_serving)?;
        tuple.serialize_element(&self.source_held_ms)?;
        tuple.serialize_element(&self.crashes)?;
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
        formatter.write_str("a heartbeat of four elements")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<Heartbeat, A::Error> {
        let missing = |index| A::Error::invalid_length(index, &self);
        let instance = elements.next_element()?.ok_or_else(|| missing(0))?;
        let is_serving = elements.next_element()?.ok_or_else(|| missing(1))?;
        let source_held_ms = elements.next_element()?.ok_or_else(|| missing(2))?;
        let crashes = elements.next_element()?.ok_or_else(|| missing(3))?;
        Ok(Heartbeat { instance, is_serving, source_held_ms, crashes })
    }
}

/// Encodes a heartbeat.
///
/// # Errors
/// When it cannot be represented.
pub fn encode_heartbeat(heartbeat: &Heartbeat) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::with_capacity(64);
    ciborium::into_writer(heartbeat, &mut bytes).map_err(io::Error::other)?;
    Ok(bytes)
}

/// Decodes a heartbeat.
///
/// # Errors
/// When the bytes are none.
pub fn decode_heartbeat(bytes: &[u8]) -> io::Result<Heartbeat> {
    ciborium::from_reader(bytes).map_err(io::Error::other)
}

/// Sends a heartbeat to the instances that are to hear of this one.
pub(crate) async fn send_heartbeats(state: &FrontState, socket: &UdpSocket) {
    let held = state.contact.held_for();
    let heartbeat = Heartbeat {
        instance: state.settings.instance.clone(),
        is_serving: state.phase() == FrontPhase::Serving,
        crashes: state.steering().crashes().shared(state.clock.now()),
        source_held_ms: held.map_or(0, |span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX)),
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
            // The next heartbeat follows soon; receivers allow for several that are missing.
            log::debug!("event=heartbeat-unsent peer={peer} error={error:?}");
        }
    }
}

/// Sends heartbeats until the process ends.
pub(crate) async fn beat(state: Arc<FrontState>, socket: Arc<UdpSocket>) {
    loop {
        send_heartbeats(&state, &socket).await;
        let period = state.directory().heartbeat_interval();
        sleep(period.mul_f64(rand::random_range(0.9..1.1))).await;
    }
}

/// Receives heartbeats until the process ends.
pub(crate) async fn hear(socket: Arc<UdpSocket>, state_actor: ActorRef<FleetActor>) {
    let mut buffer = [0; HEARTBEAT_BYTES];
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
                if state_actor.tell(HearHeartbeat(heartbeat)).await.is_err() {
                    return;
                }
            }
            Err(error) => log::warn!("event=heartbeat-unread peer={peer} error={error:?}"),
        }
    }
}
