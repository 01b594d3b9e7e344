//! Messages to the steering actor.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jackdawmux_peer::{ConfigContent, PeerIdentity};
use jackdawmux_policy::endpoint::ExchangeResult;
use jackdawmux_policy::group::GroupView;
use jackdawmux_policy::identity::{IncarnationId, RequestId};
use jackdawmux_policy::message::ServiceReport;
use jackdawmux_policy::outcome::RequestRefusal;
use jackdawmux_policy::poison::RequestDigest;
use jackdawmux_policy::scheduler::SlotRequest;
use jackdawmux_policy::table::RouteTable;
use tokio::sync::oneshot;

/// A slot granted to a request.
#[derive(Debug)]
pub(crate) struct Admission {
    /// Endpoint that the request is sent to.
    pub(crate) endpoint: SocketAddr,
    /// Failure domain of the endpoint.
    pub(crate) domain: String,
    /// Time by which the work must have ended, in Unix milliseconds. It is fixed when the slot is
    /// granted.
    pub(crate) work_deadline_ms: u64,
}

/// Where an admitted request is sent.
#[derive(Debug)]
pub(crate) enum AdmissionTarget {
    /// To an endpoint, with a slot of this instance.
    Slot(Admission),
    /// To a peer, which serves the request with a slot of its own.
    Peer(PeerIdentity),
}

/// Reply to an [`AdmitRequest`].
pub(crate) type AdmissionResult = Result<AdmissionTarget, RequestRefusal>;

/// Requests a slot.
#[derive(Debug)]
pub(crate) struct AdmitRequest {
    /// Name of the service.
    pub(crate) service: String,
    /// What the scheduler needs to know of the request.
    pub(crate) request: SlotRequest,
    /// Digest that is the same when the caller repeats the request.
    pub(crate) digest: RequestDigest,
    /// Channel for the reply.
    pub(crate) reply_sender: oneshot::Sender<AdmissionResult>,
}

/// Gives back the slot of a dispatched request.
#[derive(Debug)]
pub(crate) struct FinishRequest {
    /// Name of the service.
    pub(crate) service: String,
    /// Identifier of the attempt.
    pub(crate) id: RequestId,
    /// Result of the exchange.
    pub(crate) result: ExchangeResult,
    /// Duration of the exchange.
    pub(crate) latency: Duration,
    /// Whether the endpoint may still be working on the request.
    pub(crate) outcome: SlotOutcome,
}

/// State of the work at the endpoint when its slot is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotOutcome {
    /// The endpoint has no work left for this slot.
    Free,
    /// The exchange was abandoned; the endpoint ends the work once it notices.
    Abandoned,
    /// The endpoint closed the connection without a response while the request ran.
    Crashed,
}

/// Removes a waiting request from the queue.
#[derive(Debug)]
pub(crate) struct CancelRequest {
    /// Name of the service.
    pub(crate) service: String,
    /// Identifier of the attempt.
    pub(crate) id: RequestId,
}

/// Withdraws one retry from the budget of a service; the reply is false when none is left.
#[derive(Debug)]
pub(crate) struct SpendRetry {
    /// Name of the service.
    pub(crate) service: String,
}

/// Load counts that a peer attached to its response.
#[derive(Debug)]
pub(crate) struct ReceiveCounts {
    pub(crate) peer: IncarnationId,
    pub(crate) report: ServiceReport,
}

/// Queries the load counts of a service that are sent to peers.
#[derive(Debug)]
pub(crate) struct GetServiceReport {
    pub(crate) service: String,
}

/// Starts a planned stop.
#[derive(Debug)]
pub(crate) struct StartLeaving;

/// Queries whether no request is running or waiting here.
#[derive(Debug)]
pub(crate) struct IsDrained;

/// Hands the tickets over to a successor. Sent only after all requests have ended.
#[derive(Debug)]
pub(crate) struct HandOverTickets;

/// Queries the view without this instance, to be written at the end of a planned stop.
#[derive(Debug)]
pub(crate) struct GetDepartureView;

/// Triggers the periodic work and the heartbeats to peers.
#[derive(Debug)]
pub(crate) struct HeartbeatTick;

/// The store returned the view, or reported that there is none.
#[derive(Debug)]
pub(crate) struct ViewRead {
    /// The view and its version in the store.
    pub(crate) view: Option<(u64, GroupView)>,
    /// Whether a write of this instance has ended with this read.
    pub(crate) write_ended: bool,
}

/// A write of the view did not certainly succeed, and reading the view afterwards failed.
#[derive(Debug)]
pub(crate) struct ViewWriteFailed;

/// Applies a new version of the configuration to the steering state.
#[derive(Debug)]
pub(crate) struct ActivateConfig {
    pub(crate) content: Arc<ConfigContent>,
    pub(crate) table: Arc<RouteTable>,
}

/// Queries a report of the steering state.
#[derive(Debug)]
pub(crate) struct GetStatus;
