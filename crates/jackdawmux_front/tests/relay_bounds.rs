//! Replies of relays that would take more memory than their encoding.

use jackdawmux_front::FleetUpdate;
use jackdawmux_front::relay::{RelayedBatch, decode_batch, encode_batch};

/// More updates than any topic has objects at 3,400 instances.
const TOO_MANY: usize = 100_001;

fn batch(count: usize) -> RelayedBatch {
    let update = FleetUpdate::EvacuationEnded("a".to_owned());
    RelayedBatch { era: 0, revision: 1, newest_revision: 1, updates: vec![update; count] }
}

/// Guards against a small reply of very many updates.
#[test]
fn a_reply_of_too_many_updates_is_an_error() {
    let encoded = encode_batch(&batch(TOO_MANY)).expect("a batch is encoded");
    assert!(decode_batch(&encoded).is_err());
    let encoded = encode_batch(&batch(TOO_MANY - 1)).expect("a batch is encoded");
    assert_eq!(decode_batch(&encoded).expect("as many as allowed"), batch(TOO_MANY - 1));
}
