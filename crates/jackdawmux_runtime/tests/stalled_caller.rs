//! Callers that do not read their responses.

use std::time::Duration;

use jackdawmux_runtime::GuardedStream;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};
use tokio::time::{Instant, sleep, timeout};

const LIMIT: Duration = Duration::from_secs(30);

/// Guards against a connection that holds its response for as long as the caller likes.
#[tokio::test(start_paused = true)]
async fn a_connection_whose_caller_reads_nothing_ends() {
    let (near, _far) = duplex(64);
    let mut stream = GuardedStream::new(near, 1_024, Duration::from_secs(3));
    let written = timeout(LIMIT, stream.write_all(&[b'x'; 1_000])).await;
    let error = written.expect("the write ends").expect_err("the write fails");
    assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
}

/// Guards against a limit on the whole response, which would cut off slow callers that do read.
#[tokio::test(start_paused = true)]
async fn a_caller_that_reads_slowly_gets_the_whole_response() {
    let (near, mut far) = duplex(64);
    let mut stream = GuardedStream::new(near, 1_024, Duration::from_secs(3));
    let started = Instant::now();
    let reading = tokio::spawn(async move {
        let (mut total, mut buffer) = (0, [0; 64]);
        while total < 1_000 {
            sleep(Duration::from_secs(2)).await;
            total += far.read(&mut buffer).await.expect("the connection is open");
        }
        total
    });
    stream.write_all(&[b'x'; 1_000]).await.expect("the response is written");
    assert_eq!(reading.await.expect("the reader ends"), 1_000);
    assert!(started.elapsed() > LIMIT);
}
