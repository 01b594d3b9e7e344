//! A store whose objects never end.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use jackdawmux_store::{HttpStore, ObjectStore};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Bytes that a reader of rules and group views may keep, and those that sockets hold besides.
const MAX_READ_BYTES: usize = 32 * 1024 * 1024;
/// Time in which a call must have ended.
const CALL_TIME: Duration = Duration::from_secs(4);
const HEAD: &str = "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n";

/// Starts a store that repeats a filler after a head. Returns its address and the bytes written.
async fn start_store(head: String) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let written = Arc::<AtomicUsize>::default();
    let count = Arc::clone(&written);
    tokio::spawn(async move {
        while let Ok((mut stream, _peer)) = listener.accept().await {
            let (head, count) = (head.clone(), Arc::clone(&count));
            tokio::spawn(async move {
                let mut buffer = [0; 4096];
                let _request = stream.read(&mut buffer).await;
                let mut text = head;
                while stream.write_all(text.as_bytes()).await.is_ok() {
                    count.fetch_add(text.len(), Ordering::Relaxed);
                    text = "x".repeat(64 * 1024);
                }
            });
        }
    });
    (format!("http://{address}"), written)
}

/// Guards against an object without end that is kept.
#[rstest]
#[case::without_length("\r\n")]
#[case::with_length("Content-Length: 99999999999\r\n\r\n")]
#[tokio::test]
async fn an_object_without_end_is_an_error_of_its_read(#[case] framing: &str) {
    let (base, written) = start_store(format!("{HEAD}{framing}")).await;
    let store = HttpStore::open(&base, None).expect("the client opens");
    let read = timeout(CALL_TIME, store.read("config/head")).await.expect("the read ends");
    assert!(read.is_err());
    let watch = store.watch("config/head", 1, Duration::from_secs(1));
    assert!(timeout(CALL_TIME, watch).await.expect("the watch ends").is_err());
    let written = written.load(Ordering::Relaxed);
    assert!(written < 2 * MAX_READ_BYTES, "{written} bytes");
}
