//! Handshake at the start of a link, which authenticates both ends with a shared key.
//!
//! The accepting end sends a nonce. The dialling end replies with its identity, its own nonce and
//! an authentication code over both nonces and the identity. The accepting end then sends its own
//! code over both nonces.
//!
//! Both ends also state their scope, the deployment and group that they belong to. Ends of different
//! scopes refuse each other even if they hold the same key; an end of an earlier release states none.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, KeyInit, Mac};
use jackdawmux_policy::identity::IncarnationId;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use snafu::{OptionExt, ResultExt, ensure};
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::error::{ChannelSnafu, MalformedSnafu, PeerError, RefusedSnafu};

/// Timeout for dialling or accepting a link, including the WebSocket upgrade and the handshake.
pub(crate) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Version of the frame encoding.
const PROTOCOL_VERSION: u32 = 1;

/// Shared keys. The first one signs; codes made with any of them are accepted.
#[derive(Clone)]
pub struct PeerKeys {
    keys: Vec<Vec<u8>>,
}

impl std::fmt::Debug for PeerKeys {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "PeerKeys({} hidden)", self.keys.len())
    }
}

impl PeerKeys {
    /// Creates the key set with the signing key first; an empty list becomes a single empty key.
    #[must_use]
    pub fn new(keys: &[String]) -> Self {
        let mut keys: Vec<Vec<u8>> = keys.iter().map(|key| key.as_bytes().to_vec()).collect();
        if keys.is_empty() {
            keys.push(Vec::new());
        }
        Self { keys }
    }

    /// Computes the authentication code (HMAC-SHA-256) of the parts with the first key.
    #[must_use]
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; 32] {
        mac_of(&self.keys[0], parts).finalize().into_bytes().into()
    }

    /// Whether `code` is the authentication code of the parts for any of the keys.
    #[must_use]
    pub fn verify(&self, parts: &[&[u8]], code: &[u8]) -> bool {
        self.keys.iter().any(|key| mac_of(key, parts).verify_slice(code).is_ok())
    }
}

fn mac_of(key: &[u8], parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    for part in parts {
        // Each part is preceded by its length, so that different lists of parts never give the same
        // input.
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part);
    }
    mac
}

/// Identity of an instance, as sent to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerIdentity {
    /// Instance name from the settings.
    pub instance: String,
    /// Incarnation of the running process.
    pub incarnation: IncarnationId,
    /// Address on which it accepts callers.
    pub address: SocketAddr,
    /// Address on which it accepts peers.
    pub peer_address: SocketAddr,
    /// Failure domain of the instance.
    pub domain: String,
}

#[derive(Debug, Serialize, Deserialize)]
struct Challenge {
    protocol: u32,
    nonce: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct DialProof {
    identity: PeerIdentity,
    nonce: u64,
    code: Vec<u8>,
    #[serde(default)]
    scope: Option<ScopeProof>,
}

#[derive(Debug, Serialize, Deserialize)]
struct AcceptProof {
    code: Vec<u8>,
    #[serde(default)]
    scope: Option<ScopeProof>,
}

/// Scope of one end, with its code over the scope and both nonces.
#[derive(Debug, Serialize, Deserialize)]
struct ScopeProof {
    scope: String,
    code: Vec<u8>,
}

impl ScopeProof {
    fn new(keys: &PeerKeys, scope: &str, nonces: &[[u8; 8]; 2]) -> Self {
        let code = keys.sign(&[b"scope", &nonces[0], &nonces[1], scope.as_bytes()]).to_vec();
        Self { scope: scope.to_owned(), code }
    }

    /// Checks the scope of the other end against the own one.
    fn check(
        &self,
        keys: &PeerKeys,
        own: &str,
        nonces: &[[u8; 8]; 2],
        peer: &str,
    ) -> Result<(), PeerError> {
        let parts: [&[u8]; 4] = [b"scope", &nonces[0], &nonces[1], self.scope.as_bytes()];
        ensure!(
            keys.verify(&parts, &self.code),
            RefusedSnafu { peer, reason: "the scope of the other end is not authentic" }
        );
        ensure!(
            self.scope == own,
            RefusedSnafu { peer, reason: "the other end belongs to another deployment or group" }
        );
        Ok(())
    }
}

/// Accepting end of the handshake; returns the identity of the dialling end.
pub(crate) async fn accept_handshake(
    channel: &mut WebSocketStream<TcpStream>,
    (keys, scope): (&PeerKeys, &str),
    peer: &str,
) -> Result<PeerIdentity, PeerError> {
    let challenge = Challenge { protocol: PROTOCOL_VERSION, nonce: rand::random() };
    send(channel, &challenge, peer).await?;
    let proof: DialProof = receive(channel, peer).await?;
    let identity = encode(&proof.identity)?;
    let nonces = [challenge.nonce.to_be_bytes(), proof.nonce.to_be_bytes()];
    let parts: [&[u8]; 4] = [b"dial", &nonces[0], &nonces[1], &identity];
    ensure!(
        keys.verify(&parts, &proof.code),
        RefusedSnafu { peer, reason: "the dialling end holds no accepted key" }
    );
    let code = keys.sign(&[b"accept", &nonces[0], &nonces[1]]).to_vec();
    // Sent before the scope of the other end is checked, so that both ends log the reason.
    let own_scope = Some(ScopeProof::new(keys, scope, &nonces));
    send(channel, &AcceptProof { code, scope: own_scope }, peer).await?;
    if let Some(other) = &proof.scope {
        other.check(keys, scope, &nonces, peer)?;
    }
    Ok(proof.identity)
}

/// Dialling end of the handshake.
pub(crate) async fn dial_handshake(
    channel: &mut WebSocketStream<TcpStream>,
    (keys, scope): (&PeerKeys, &str),
    identity: &PeerIdentity,
    peer: &str,
) -> Result<(), PeerError> {
    let challenge: Challenge = receive(channel, peer).await?;
    ensure!(
        challenge.protocol == PROTOCOL_VERSION,
        RefusedSnafu { peer, reason: "the accepting end uses another protocol version" }
    );
    let nonce: u64 = rand::random();
    let nonces = [challenge.nonce.to_be_bytes(), nonce.to_be_bytes()];
    let encoded = encode(identity)?;
    let code = keys.sign(&[b"dial", &nonces[0], &nonces[1], &encoded]).to_vec();
    let own_scope = Some(ScopeProof::new(keys, scope, &nonces));
    let proof = DialProof { identity: identity.clone(), nonce, code, scope: own_scope };
    send(channel, &proof, peer).await?;
    let proof: AcceptProof = receive(channel, peer).await?;
    let parts: [&[u8]; 3] = [b"accept", &nonces[0], &nonces[1]];
    ensure!(
        keys.verify(&parts, &proof.code),
        RefusedSnafu { peer, reason: "the accepting end holds no accepted key" }
    );
    if let Some(other) = &proof.scope {
        other.check(keys, scope, &nonces, peer)?;
    }
    Ok(())
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, PeerError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes)
        .map_err(|error| PeerError::Malformed { reason: error.to_string() })?;
    Ok(bytes)
}

async fn send<T: Serialize>(
    channel: &mut WebSocketStream<TcpStream>,
    value: &T,
    peer: &str,
) -> Result<(), PeerError> {
    let message = Message::binary(encode(value)?);
    channel.send(message).await.context(ChannelSnafu { step: "handshake", peer })
}

async fn receive<T: DeserializeOwned>(
    channel: &mut WebSocketStream<TcpStream>,
    peer: &str,
) -> Result<T, PeerError> {
    let message = channel
        .next()
        .await
        .context(RefusedSnafu { peer, reason: "the link closed during the handshake" })?
        .context(ChannelSnafu { step: "handshake", peer })?;
    ciborium::from_reader(message.into_data().as_ref())
        .map_err(|error| MalformedSnafu { reason: error.to_string() }.build())
}
