//! Decoding of malformed frames and of unknown fields; authentication with shared keys.

use std::time::Duration;

use jackdawmux_peer::{
    FrameBody, MAX_FRAME_BYTES, PeerEvent, PeerFrame, PeerHub, PeerIdentity, PeerKeys, PeerTarget,
    decode_frame, encode_frame,
};
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::hlc::HybridTimestamp;
use jackdawmux_policy::identity::IncarnationId;
use jackdawmux_policy::message::{InstanceHeartbeat, ServiceReport, SteeringMessage};
use proptest::prelude::{any, proptest};
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::timeout;

fn heartbeat() -> PeerFrame {
    let report = ServiceReport {
        service: "ledger".to_owned(),
        idle: 3,
        slots: 9,
        ..ServiceReport::default()
    };
    let heartbeat = InstanceHeartbeat {
        clock: PolicyTime(5),
        config_version: 2,
        view_version: 3,
        reports: vec![report],
        is_leaving: false,
        handovers: Vec::new(),
    };
    let stamp = HybridTimestamp { wall_ms: 1, logical: 2 };
    PeerFrame { stamp, body: FrameBody::Steering(SteeringMessage::Heartbeat(heartbeat)) }
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        cases: 4_000,
        ..proptest::prelude::ProptestConfig::default()
    })]

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _outcome = decode_frame(&bytes);
    }

    #[test]
    fn decoding_a_modified_frame_does_not_panic(position in 0_usize..200, byte in any::<u8>()) {
        let mut bytes = encode_frame(&heartbeat()).unwrap();
        let position = position % bytes.len();
        bytes[position] = byte;
        let _outcome = decode_frame(&bytes);
    }
}

#[test]
fn a_decoded_frame_equals_the_encoded_one() {
    let bytes = encode_frame(&heartbeat()).unwrap();
    assert_eq!(decode_frame(&bytes).unwrap(), heartbeat());
}

#[test]
fn a_frame_above_the_size_limit_is_rejected() {
    assert!(decode_frame(&vec![0; MAX_FRAME_BYTES + 1]).is_err());
}

#[test]
fn unknown_fields_are_skipped() {
    let bytes = encode_frame(&heartbeat()).unwrap();
    let mut value: ciborium::Value = ciborium::from_reader(bytes.as_slice()).unwrap();
    let ciborium::Value::Map(fields) = &mut value else {
        panic!("frame is not encoded as a CBOR map");
    };
    fields.push((ciborium::Value::from("later"), ciborium::Value::from(1)));
    let mut bytes = Vec::new();
    ciborium::into_writer(&value, &mut bytes).unwrap();
    assert_eq!(decode_frame(&bytes).unwrap(), heartbeat());
}

fn keys(keys: &[&str]) -> PeerKeys {
    PeerKeys::new(&keys.iter().map(|key| (*key).to_owned()).collect::<Vec<_>>())
}

async fn hub(id: u64, keys: PeerKeys, scope: &str) -> (PeerHub, mpsc::Receiver<PeerEvent>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let identity = PeerIdentity {
        instance: format!("e{id}"),
        incarnation: IncarnationId(id),
        address,
        peer_address: address,
        domain: "d".to_owned(),
    };
    let (events, incoming) = mpsc::channel(16);
    (PeerHub::spawn(listener, identity, keys, scope.to_owned(), events).unwrap(), incoming)
}

#[rstest]
#[case::same_key(&["one"], &["one"], true)]
#[case::rotation(&["new", "old"], &["old", "new"], true)]
#[case::other_key(&["one"], &["two"], false)]
#[tokio::test]
async fn only_peers_with_a_shared_key_connect(
    #[case] left: &[&str],
    #[case] right: &[&str],
    #[case] is_connected: bool,
) {
    let (dialling, _own) = hub(1, keys(left), "store main").await;
    let (accepting, mut incoming) = hub(2, keys(right), "store main").await;
    let target = PeerTarget { incarnation: IncarnationId(2), address: accepting.address() };
    dialling.set_peers(&[target]);
    let wait = if is_connected { Duration::from_secs(20) } else { Duration::from_millis(700) };
    let event = timeout(wait, incoming.recv()).await;
    assert_eq!(matches!(event, Ok(Some(PeerEvent::Connected(_)))), is_connected);
}

/// Guards against an entry that takes the view of another group: it binds the peer port of a killed
/// entry of another deployment with the same key, whose peers dial it.
#[rstest]
#[case::other_group("store main", "store spare")]
#[case::other_deployment("store main", "elsewhere main")]
#[tokio::test]
async fn peers_of_another_deployment_or_group_do_not_connect(
    #[case] left: &str,
    #[case] right: &str,
) {
    let (dialling, mut own) = hub(1, keys(&["one"]), left).await;
    let (accepting, mut incoming) = hub(2, keys(&["one"]), right).await;
    dialling
        .set_peers(&[PeerTarget { incarnation: IncarnationId(2), address: accepting.address() }]);
    accepting
        .set_peers(&[PeerTarget { incarnation: IncarnationId(1), address: dialling.address() }]);
    let wait = Duration::from_millis(700);
    assert!(timeout(wait, incoming.recv()).await.is_err(), "the dialling end was accepted");
    assert!(timeout(wait, own.recv()).await.is_err(), "the accepting end was accepted");
}
