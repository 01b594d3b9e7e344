//! Guards that give slots back, whatever becomes of the request.

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

/// Takes a waiting request back unless it was answered.
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

/// Holds a slot; dropping it without a result gives it back as cancelled.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    context: Arc<EntryContext>,
    service: Arc<str>,
    id: RequestId,
    begun: PolicyTime,
    is_finished: bool,
}

impl SlotGuard {
    pub(crate) fn new(context: &Arc<EntryContext>, service: &Arc<str>, id: RequestId) -> Self {
        Self {
            context: Arc::clone(context),
            service: Arc::clone(service),
            id,
            begun: context.clock.now(),
            is_finished: false,
        }
    }

    /// Gives the slot back with what was learnt.
    pub(crate) fn finish(mut self, result: ExchangeResult) {
        self.end(result, SlotOutcome::Free);
    }

    /// Gives the slot back after the exchange was given up on while the endpoint may still work.
    pub(crate) fn finish_cut(mut self, result: ExchangeResult) {
        self.end(result, SlotOutcome::Abandoned);
    }

    /// Gives the slot back; the endpoint closed the connection without an answer.
    pub(crate) fn finish_dead(mut self) {
        self.end(ExchangeResult::Failed, SlotOutcome::Crashed);
    }

    fn elapsed(&self) -> Duration {
        self.context.clock.now().since(self.begun)
    }

    fn end(&mut self, result: ExchangeResult, outcome: SlotOutcome) {
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
        self.end(ExchangeResult::Cancelled, SlotOutcome::Abandoned);
    }
}

/// An answer's body on its way to the caller; holds the slot and the connection until its end.
pub(crate) struct SlotBody {
    incoming: Incoming,
    held: Option<(SlotGuard, UpstreamConnection)>,
    context: Arc<EntryContext>,
    deadline: Pin<Box<Sleep>>,
}

impl SlotBody {
    pub(crate) fn new(
        incoming: Incoming,
        guard: SlotGuard,
        connection: UpstreamConnection,
        context: &Arc<EntryContext>,
        deadline: PolicyTime,
    ) -> Self {
        let deadline = Box::pin(sleep_until(context.clock.instant(deadline)));
        Self { incoming, held: Some((guard, connection)), context: Arc::clone(context), deadline }
    }

    fn end_broken(&mut self) {
        if let Some((guard, connection)) = self.held.take() {
            guard.finish_cut(ExchangeResult::Failed);
            drop(connection);
        }
    }

    fn end_whole(&mut self) {
        if let Some((guard, connection)) = self.held.take() {
            guard.finish(ExchangeResult::Answered);
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
                self.end_whole();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => {
                self.end_broken();
                Poll::Ready(Some(Err(axum::Error::new(error))))
            }
            Poll::Ready(Some(Ok(frame))) => {
                if self.incoming.is_end_stream() {
                    self.end_whole();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Pending => {
                if self.deadline.as_mut().poll(context).is_pending() {
                    return Poll::Pending;
                }
                self.end_broken();
                let error = axum::Error::new("the deadline passed before the answer ended");
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
