//! What a response proves about the request that was sent before it.

use axum::http::{HeaderValue, StatusCode};
use jackdawmux_front::ResponseHeaders;
use jackdawmux_front::request::proof::{ResponseProof, prove_response};
use proptest::prelude::*;

fn attempt() -> impl Strategy<Value = Option<HeaderValue>> {
    prop_oneof![
        Just(None),
        Just(Some(HeaderValue::from_static("own"))),
        Just(Some(HeaderValue::from_static("other"))),
    ]
}

prop_compose! {
    fn response()(
        status in 100..1_000_u16,
        attempt in attempt(),
        flags in any::<[bool; 3]>(),
    ) -> (StatusCode, ResponseHeaders) {
        let status = StatusCode::from_u16(status).expect("a status code");
        let [is_not_run, is_signed, is_encoded] = flags;
        let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        let headers = ResponseHeaders {
            attempt, is_not_run, is_misdirected, is_signed, is_encoded,
            ..ResponseHeaders::default()
        };
        (status, headers)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        failure_persistence: None,
        cases: 5_000,
        ..ProptestConfig::default()
    })]

    /// Guards against MIXED, REFUSED and TWICE: nothing is taken for a response unless it is shown to be
    /// that of the request.
    #[test]
    fn only_a_response_of_the_attempt_proves_something(
        (status, headers) in response(),
        sent in attempt(),
        is_reused: bool,
    ) {
        let proof = prove_response(status, &headers, sent.as_ref(), is_reused);
        let proves = !matches!(proof, ResponseProof::Nothing(_));
        let is_named = sent.is_some() && headers.attempt == sent;
        if is_reused {
            prop_assert!(!proves || is_named);
        }
        if headers.attempt.is_some() && headers.attempt != sent {
            prop_assert!(!proves, "it names another attempt");
        }
        if matches!(proof, ResponseProof::NotRun | ResponseProof::Misdirected) {
            prop_assert!(headers.is_not_run || headers.is_misdirected);
        }
        if proof == ResponseProof::Answered {
            prop_assert!(![408, 421, 429, 503].contains(&status.as_u16()));
            prop_assert!((200..600).contains(&status.as_u16()) && !headers.is_encoded);
            prop_assert!(!status.is_success() || (headers.is_signed && headers.attempt == sent));
        }
    }

    /// A sound response is never thrown away.
    #[test]
    fn a_named_response_proves_what_it_says(status in 200..600_u16, is_reused: bool) {
        let status = StatusCode::from_u16(status).expect("a status code");
        let sent = HeaderValue::from_static("own");
        let is_refusal = [408, 421, 429, 503].contains(&status.as_u16());
        let headers = ResponseHeaders {
            attempt: Some(sent.clone()),
            is_not_run: is_refusal,
            is_signed: true,
            ..ResponseHeaders::default()
        };
        let expected = if is_refusal { ResponseProof::NotRun } else { ResponseProof::Answered };
        prop_assert_eq!(prove_response(status, &headers, Some(&sent), is_reused), expected);
    }
}
