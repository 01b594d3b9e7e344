//! The header by which a relay states when its own read began.

use jackdawmux_front::relay::{format_proof, parse_proof};
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::permission::ConfigProof;
use proptest::prelude::*;
use rstest::rstest;

const SENT: PolicyTime = PolicyTime(5_000_000);
const RECEIVED: PolicyTime = PolicyTime(6_000_000);

proptest! {
    /// Guards against an age that depends on the difference between two clocks, or that counts from
    /// later than the relay's own read.
    #[test]
    fn a_proof_never_counts_from_later_than_the_relay_s_read(
        read_at in 0_u64..10_000_000,
        sent_at in 0_u64..10_000_000,
        travel in 0_u64..1_000_000,
        held in 0_u64..1_000_000,
        reader_clock in 0_u64..1_000_000_000,
        relay_clock in 0_u64..1_000_000_000,
    ) {
        let arrived_at = sent_at + travel;
        let received_at = read_at.max(arrived_at + held);
        let proof = ConfigProof { started: PolicyTime(relay_clock + read_at), version: 7 };
        let text = format_proof(Some(proof), PolicyTime(relay_clock + arrived_at));
        let own = |time: u64| PolicyTime(reader_clock + 20_000_000 + time);
        let parsed = parse_proof(&text, own(sent_at), own(received_at)).flatten();
        let expected = PolicyTime(own(read_at).0 - travel);
        prop_assert_eq!(parsed, Some(ConfigProof { started: expected, version: 7 }));
    }

    #[test]
    fn arbitrary_text_ends_nothing(text in ".{0,40}") {
        let _parsed = parse_proof(&text, SENT, RECEIVED);
    }
}

#[rstest]
#[case::no_read("none", Some(None))]
#[case::future("1000001 3", Some(None))]
#[case::no_version("-100", None)]
#[case::empty("", None)]
#[case::not_a_number("x 3", None)]
#[case::too_large("99999999999999999999 3", None)]
fn a_reply_without_a_usable_proof_gives_none(
    #[case] text: &str,
    #[case] expected: Option<Option<ConfigProof>>,
) {
    assert_eq!(parse_proof(text, SENT, RECEIVED), expected);
}
