//! Responses of upstreams that belong to no request, on connections that are kept.

use std::net::SocketAddr;
use std::time::Duration;

use axum::body::Body;
use axum::http::Request;
use http_body_util::BodyExt;
use jackdawmux_entry::connection::{ExchangeOutcome, UpstreamPool, exchange};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIME_LIMIT: Duration = Duration::from_secs(5);

/// Starts an upstream that sends the responses to the requests of each connection in order.
async fn start_upstream(responses: &'static [&'static str]) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                for response in responses {
                    let mut buffer = [0; 4096];
                    if !matches!(stream.read(&mut buffer).await, Ok(1..)) {
                        return;
                    }
                    stream.write_all(response.as_bytes()).await.expect("the response is read");
                }
            });
        }
    });
    address
}

/// Sends a request and keeps its connection after a complete response. Returns the status; none if the
/// response proves nothing.
async fn send(pool: &UpstreamPool, address: SocketAddr, id: &str) -> Option<u16> {
    let request = Request::builder().uri("/").header("host", "x");
    let request = request.header("jackdaw-request-id", id).body(Body::empty());
    let request = request.expect("a valid request");
    match exchange(pool, address, request, TIME_LIMIT).await {
        ExchangeOutcome::Answered(upstream) => {
            let (head, body) = upstream.response.into_parts();
            body.collect().await.expect("a complete body");
            pool.checkin(upstream.connection);
            Some(head.status.as_u16())
        }
        ExchangeOutcome::Lost { .. } => None,
        ExchangeOutcome::Unsent { error, .. } => panic!("{error}"),
    }
}

const OWN: &str = "HTTP/1.1 200 OK\r\nJackdaw-Request-Id: a-1\r\nContent-Length: 0\r\n\r\n";

/// Guards against a request that is reported as not run, or as answered, because of late bytes.
#[rstest]
#[case::unnamed_refusal(&[OWN, "HTTP/1.1 503 Late\r\nJackdaw-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"])]
#[case::unnamed_success(&[OWN, "HTTP/1.1 200 Late\r\nContent-Length: 0\r\n\r\n"])]
#[case::other_name(&[OWN, OWN])]
#[case::other_protocol(&[OWN, "HTTP/1.1 101 Late\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\n"])]
#[tokio::test]
async fn late_bytes_prove_nothing(#[case] responses: &'static [&'static str]) {
    let address = start_upstream(responses).await;
    let pool = UpstreamPool::default();
    assert_eq!(send(&pool, address, "a-1").await, Some(200));
    assert_eq!(send(&pool, address, "a-2").await, None, "on the same connection");
    assert_eq!(send(&pool, address, "a-1").await, Some(200), "on a new connection");
}

/// Guards against a status that is none: callers could not tell whether the request ran.
#[rstest]
#[case::zero(&["HTTP/1.1 000 None\r\nJackdaw-Request-Id: a-1\r\nContent-Length: 0\r\n\r\n"])]
#[case::below_all_classes(&["HTTP/1.1 099 None\r\nJackdaw-Request-Id: a-1\r\nContent-Length: 0\r\n\r\n"])]
#[case::above_all_classes(&["HTTP/1.1 600 None\r\nJackdaw-Request-Id: a-1\r\nContent-Length: 0\r\n\r\n"])]
#[tokio::test]
async fn a_status_that_is_none_proves_nothing(#[case] responses: &'static [&'static str]) {
    let address = start_upstream(responses).await;
    assert_eq!(send(&UpstreamPool::default(), address, "a-1").await, None);
}

/// An upstream that names no exchange gets a new connection for each, so that its response can only be
/// that of its request.
#[tokio::test]
async fn an_upstream_that_names_no_exchange_is_served_on_new_connections() {
    let address = start_upstream(&["HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"]).await;
    let pool = UpstreamPool::default();
    for index in 0..3 {
        assert_eq!(send(&pool, address, &format!("a-{index}")).await, Some(200));
    }
}
