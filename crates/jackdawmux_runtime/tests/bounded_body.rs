//! Bodies of other processes that have no end, or are larger than their reader allows.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use jackdawmux_runtime::{BoundedBodyError, HeldBudget, read_bounded};

const FRAME: &[u8] = &[b'x'; 1_000];

/// A body of one frame after the other.
#[derive(Clone, Debug, Default)]
struct EndlessBody {
    read: Arc<AtomicUsize>,
    declared: Option<u64>,
}

impl Body for EndlessBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.read.fetch_add(FRAME.len(), Ordering::Relaxed);
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(FRAME)))))
    }

    fn size_hint(&self) -> SizeHint {
        self.declared.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// Guards against a body without end that is kept.
#[tokio::test]
async fn a_body_without_end_is_left_at_the_limit() {
    let (body, budget) = (EndlessBody::default(), HeldBudget::new(1_000_000));
    let error = read_bounded(body.clone(), 10_500, &mut budget.share()).await;
    assert!(matches!(error, Err(BoundedBodyError::TooLarge { limit: 10_500 })), "{error:?}");
    assert_eq!(body.read.load(Ordering::Relaxed), 11_000);
    assert_eq!(budget.held(), 0);
}

/// Guards against a declared size that is read until it is too large.
#[tokio::test]
async fn a_body_that_declares_too_much_is_not_read() {
    let body = EndlessBody { declared: Some(10_501), ..EndlessBody::default() };
    let budget = HeldBudget::new(1_000_000);
    let error = read_bounded(body.clone(), 10_500, &mut budget.share()).await;
    assert!(error.is_err_and(|error| error.is_size()));
    assert_eq!(body.read.load(Ordering::Relaxed), 0);
}

/// Guards against many bodies that are each within their limit.
#[tokio::test]
async fn bodies_that_are_read_together_share_one_budget() {
    let budget = HeldBudget::new(15_000);
    let mut first = budget.share();
    let whole = Full::new(Bytes::from(vec![b'x'; 10_000]));
    let read = read_bounded(whole.clone(), 10_500, &mut first).await.expect("within the budget");
    assert_eq!((read.len(), budget.held()), (10_000, 10_000));
    let error = read_bounded(whole.clone(), 10_500, &mut budget.share()).await;
    assert!(error.is_err_and(|error| error.is_size()));
    drop(first);
    assert!(read_bounded(whole, 10_500, &mut budget.share()).await.is_ok());
}

/// Guards against a part that is taken for the whole.
#[tokio::test]
async fn a_body_that_ends_early_is_an_error() {
    let parts: [Result<Frame<Bytes>, io::Error>; 2] =
        [Ok(Frame::data(Bytes::from_static(b"part"))), Err(io::ErrorKind::ConnectionReset.into())];
    let body = http_body_util::StreamBody::new(futures_util::stream::iter(parts));
    let error = read_bounded(body.boxed(), 100, &mut HeldBudget::new(100).share()).await;
    assert!(error.is_err_and(|error| !error.is_size()));
}
