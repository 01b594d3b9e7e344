//! Values of the `Retry-After` header of endpoints.

use std::time::{Duration, SystemTime};

use axum::http::HeaderValue;
use jackdawmux_front::dialect::parse_retry_after;
use proptest::prelude::*;
use rstest::rstest;

/// Sun, 06 Nov 1994 08:49:37 GMT.
fn now() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(784_111_777)
}

/// Tests the pause that a value states, in milliseconds.
macro_rules! value_case {
    ($name:ident, $value:literal, $millis:expr) => {
        #[rstest]
        fn $name() {
            let parsed = parse_retry_after(&HeaderValue::from_static($value), now());
            let millis: Option<u64> = $millis;
            assert_eq!(parsed, millis.map(Duration::from_millis));
        }
    };
}

value_case!(seconds, "2", Some(2_000));
value_case!(fractions_of_seconds, " 0.25 ", Some(250));
value_case!(a_date, "Sun, 06 Nov 1994 08:49:40 GMT", Some(3_000));
value_case!(a_past_date, "Sun, 06 Nov 1994 08:49:30 GMT", Some(0));
value_case!(a_negative_number, "-1", None);
value_case!(an_infinite_number, "inf", None);
value_case!(no_number, "soon", None);
value_case!(an_empty_value, "", None);

proptest! {
    #[test]
    fn arbitrary_values_do_not_panic(bytes in prop::collection::vec(32_u8..=126, 0..40)) {
        if let Ok(value) = HeaderValue::from_bytes(&bytes) {
            let _parsed = parse_retry_after(&value, now());
        }
    }
}
