//! Heartbeats round-trip through their encoding, and no received bytes cause a panic.

use jackdawmux_front::SourcePosition;
use jackdawmux_front::process::{Heartbeat, decode_heartbeat, encode_heartbeat};
use jackdawmux_policy::fleet::region_demand::DemandStatement;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn heartbeat_round_trips(
        instance in "[a-z0-9-]{1,60}",
        is_serving in any::<bool>(),
        source_connected_ms in any::<u64>(),
        crashes in prop::collection::vec(any::<(u64, u32)>(), 0..8),
        positions in any::<[(u64, u64); 4]>(),
        config_version in any::<u64>(),
        is_isolated in any::<bool>(),
        request_rate in any::<u32>(),
        demands in prop::collection::vec(any::<(u32, u32, u32)>(), 0..=6),
    ) {
        let newest_changes = positions.map(|(era, revision)| SourcePosition { era, revision });
        let crashes = crashes.into_iter().collect();
        let demands = demands.into_iter().map(DemandStatement::from).collect();
        let heartbeat = Heartbeat { instance, is_serving, source_connected_ms, crashes, newest_changes, config_version, is_isolated, request_rate, demands };
        let bytes = encode_heartbeat(&heartbeat).expect("the heartbeat is encoded");
        prop_assert!(bytes.len() <= 512, "{} bytes", bytes.len());
        prop_assert_eq!(decode_heartbeat(&bytes).expect("the heartbeat is decoded"), heartbeat);
    }

    /// Guards against a fleet that falls apart while it is updated: earlier releases send fewer
    /// elements, later ones more.
    #[test]
    fn heartbeats_of_other_releases_are_decoded(instance in "[a-z0-9-]{1,60}", revision in any::<u64>()) {
        let crashes: Vec<(u64, u32)> = Vec::new();
        let positions = [(0_u64, revision); 4];
        let mut four = Vec::new();
        let fields = (&instance, true, 7_u64, &crashes);
        ciborium::into_writer(&fields, &mut four).expect("the heartbeat is encoded");
        let mut five = Vec::new();
        let fields = (&instance, true, 7_u64, &crashes, positions);
        ciborium::into_writer(&fields, &mut five).expect("the heartbeat is encoded");
        let mut six = Vec::new();
        let fields = (&instance, true, 7_u64, &crashes, positions, 0_u64);
        ciborium::into_writer(&fields, &mut six).expect("the heartbeat is encoded");
        let mut eight = Vec::new();
        let fields = (&instance, true, 7_u64, &crashes, positions, 0_u64, false, "later");
        ciborium::into_writer(&fields, &mut eight).expect("the heartbeat is encoded");
        for (bytes, expected) in [(four, 0), (five, revision), (six, revision), (eight, revision)] {
            let heartbeat = decode_heartbeat(&bytes).expect("the heartbeat is decoded");
            prop_assert_eq!(heartbeat.newest_changes[0].revision, expected);
            prop_assert_eq!(heartbeat.config_version, 0);
            prop_assert!(!heartbeat.is_isolated);
            prop_assert_eq!(heartbeat.request_rate, 0);
            prop_assert!(heartbeat.demands.is_empty());
        }
    }

    /// Guards against datagrams that receivers cut off: with the longest name and all crashes, only some
    /// statements of demand fit.
    #[test]
    fn statements_that_do_not_fit_are_left_out(demands in prop::collection::vec(any::<(u32, u32, u32)>(), 6)) {
        let heartbeat = Heartbeat {
            instance: "n".repeat(255),
            is_serving: true,
            source_connected_ms: u64::MAX,
            crashes: std::iter::repeat_n((u64::MAX, u32::MAX), 8).collect(),
            newest_changes: [SourcePosition { era: u64::MAX, revision: u64::MAX }; 4],
            config_version: u64::MAX,
            is_isolated: true,
            request_rate: u32::MAX,
            demands: demands.into_iter().map(DemandStatement::from).collect(),
        };
        let bytes = encode_heartbeat(&heartbeat).expect("the heartbeat is encoded");
        prop_assert!(bytes.len() <= 512, "{} bytes", bytes.len());
        let decoded = decode_heartbeat(&bytes).expect("the heartbeat is decoded");
        prop_assert_eq!(&decoded.demands[..], &heartbeat.demands[..decoded.demands.len()]);
        prop_assert!(!decoded.demands.is_empty());
        prop_assert!(decoded.is_isolated);
    }

    /// Guards against an upgrade that earlier releases cannot read, and against one that changes the
    /// heartbeats of deployments that state no demand.
    #[test]
    fn earlier_releases_decode_heartbeats_with_demand(demands in prop::collection::vec(any::<(u32, u32, u32)>(), 0..=6)) {
        type Earlier = (String, bool, u64, Vec<(u64, u32)>, [(u64, u64); 4], u64, bool);
        let count = demands.len();
        let heartbeat = Heartbeat {
            instance: "front-a-1".to_owned(),
            is_serving: true,
            source_connected_ms: 7,
            crashes: Default::default(),
            newest_changes: Default::default(),
            config_version: 4,
            is_isolated: true,
            request_rate: 0,
            demands: demands.into_iter().map(DemandStatement::from).collect(),
        };
        let bytes = encode_heartbeat(&heartbeat).expect("the heartbeat is encoded");
        let earlier: Earlier = ciborium::from_reader(&bytes[..]).expect("an earlier release decodes it");
        prop_assert_eq!((earlier.0, earlier.5, earlier.6), (heartbeat.instance, 4, true));
        prop_assert_eq!(bytes[0], if count == 0 { 0x87 } else { 0x89 });
    }

    #[test]
    fn arbitrary_bytes_decode_to_an_error_or_a_heartbeat(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        if let Ok(heartbeat) = decode_heartbeat(&bytes) {
            prop_assert!(encode_heartbeat(&heartbeat).is_ok());
        }
    }

    #[test]
    fn truncated_heartbeat_is_an_error(cut in 1..20_usize) {
        let heartbeat = Heartbeat {
            instance: "front-a-1".to_owned(),
            is_serving: true,
            source_connected_ms: 1_000,
            crashes: std::iter::once((9, 1)).collect(),
            newest_changes: Default::default(),
            config_version: 4,
            is_isolated: false,
            request_rate: 0,
            demands: Default::default(),
        };
        let bytes = encode_heartbeat(&heartbeat).expect("the heartbeat is encoded");
        prop_assert!(decode_heartbeat(&bytes[..bytes.len() - cut.min(bytes.len())]).is_err());
    }
}
