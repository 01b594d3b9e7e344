//! Guards that release a queue entry or a slot however the request ends, including when its future
//! is dropped.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::endpoint::ExchangeResult;
use jackdawmux_policy::identity::RequestId;
use tokio::time::{Sleep, sleep_until};

use crate::connection::UpstreamConnection;
use crate::process::{CancelRequest, EntryContext, FinishRequest, SlotOutcome};

/// Cancels a request that waits for a slot, unless its admission was answered.
pub(crate) struct WaitGuard {
    pub(crate) context: Arc<EntryContext>,
    pub(crate) service: Arc<str>,
    pub(crate) id: RequestId,
    pub(crate) is_answered: bool,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let cancel = CancelRequest { service: self.service.to_string(), id: self.id };
        if self.context.steering.tell(cancel).try_send().is_err() {
            log::debug!("event=cancel-unsent request={}", self.id.0);
        }
    }
}

/// Holds a slot. Dropping the guard without a result releases the slot as cancelled.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    context: Arc<EntryContext>,
    service: Arc<str>,
    id: RequestId,
    started: PolicyTime,
    is_finished: bool,
}

impl SlotGuard {
    pub(crate) fn new(context: &Arc<EntryContext>, service: &Arc<str>, id: RequestId) -> Self {
        Self {
            context: Arc::clone(context),
            service: Arc::clone(service),
            id,
            started: context.clock.now(),
            is_finished: false,
        }
    }

    /// Releases the slot with the result of the exchange; no work is left at the endpoint.
    pub(crate) fn finish(mut self, result: ExchangeResult) {
        self.send_finish(result, SlotOutcome::Free);
    }

    /// Releases the slot of an aborted exchange; the endpoint may still be working on the request.
    pub(crate) fn finish_aborted(mut self, result: ExchangeResult) {
        self.send_finish(result, SlotOutcome::Abandoned);
    }

    /// Releases the slot after the endpoint closed the connection without a response.
    pub(crate) fn finish_closed(mut self) {
        self.send_finish(ExchangeResult::Failed, SlotOutcome::Crashed);
    }

    fn elapsed(&self) -> Duration {
        self.context.clock.now().since(self.started)
    }

    fn send_finish(&mut self, result: ExchangeResult, outcome: SlotOutcome) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        let finish = FinishRequest {
            service: self.service.to_string(),
            id: self.id,
            result,
            latency: self.elapsed(),
            outcome,
        };
        if self.context.steering.tell(finish).try_send().is_err() {
            log::debug!("event=finish-unsent request={}", self.id.0);
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.send_finish(ExchangeResult::Cancelled, SlotOutcome::Abandoned);
    }
}

/// A response body that streams to the caller. It holds the slot and the upstream connection until
/// its end.
pub(crate) struct SlotBody {
    incoming: Incoming,
    /// The connection until the response has ended, and the slot unless a peer holds it.
    open: Option<(Option<SlotGuard>, UpstreamConnection)>,
    context: Arc<EntryContext>,
    deadline: Pin<Box<Sleep>>,
}

impl SlotBody {
    pub(crate) fn new(
        incoming: Incoming,
        guard: Option<SlotGuard>,
        connection: UpstreamConnection,
        context: &Arc<EntryContext>,
        deadline: PolicyTime,
    ) -> Self {
        let deadline = Box::pin(sleep_until(context.clock.instant(deadline)));
        Self { incoming, open: Some((guard, connection)), context: Arc::clone(context), deadline }
    }

    fn finish_incomplete(&mut self) {
        if let Some((guard, connection)) = self.open.take() {
            if let Some(guard) = guard {
                guard.finish_aborted(ExchangeResult::Failed);
            }
            drop(connection);
        }
    }

    fn finish_complete(&mut self) {
        if let Some((guard, connection)) = self.open.take() {
            if let Some(guard) = guard {
                guard.finish(ExchangeResult::Answered);
            }
            self.context.pool.checkin(connection);
        }
    }
}

impl Body for SlotBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        match Pin::new(&mut self.incoming).poll_frame(context) {
            Poll::Ready(None) => {
                self.finish_complete();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => {
                self.finish_incomplete();
                Poll::Ready(Some(Err(axum::Error::new(error))))
            }
            Poll::Ready(Some(Ok(frame))) => {
                if self.incoming.is_end_stream() {
                    self.finish_complete();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Pending => {
                if self.deadline.as_mut().poll(context).is_pending() {
                    return Poll::Pending;
                }
                self.finish_incomplete();
                let error = axum::Error::new("deadline passed before the end of the response body");
                Poll::Ready(Some(Err(error)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
