//! Messages of the steering actor.

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

/// A slot given to a request.
#[derive(Debug)]
pub(crate) struct Admission {
    /// Where to send it.
    pub(crate) endpoint: SocketAddr,
    /// Failure domain of the endpoint.
    pub(crate) domain: String,
    /// When the work must have ended, in Unix milliseconds, fixed when the slot is given.
    pub(crate) work_deadline_ms: u64,
}

/// Where a request is to go.
#[derive(Debug)]
pub(crate) enum AdmissionTarget {
    /// To an endpoint, under a slot of this instance.
    Slot(Admission),
    /// To a peer, which serves it from its own slots.
    Peer(PeerIdentity),
}

/// Answer to a request for a slot.
pub(crate) type AdmissionResult = Result<AdmissionTarget, RequestRefusal>;

/// Asks for a slot.
#[derive(Debug)]
pub(crate) struct AdmitRequest {
    /// Name of the service.
    pub(crate) service: String,
    /// What is asked.
    pub(crate) request: SlotRequest,
    /// Digest by which a repeated request is recognised.
    pub(crate) digest: RequestDigest,
    /// Where the answer goes.
    pub(crate) answer: oneshot::Sender<AdmissionResult>,
}

/// A dispatched request ended.
#[derive(Debug)]
pub(crate) struct FinishRequest {
    /// Name of the service.
    pub(crate) service: String,
    /// The try.
    pub(crate) id: RequestId,
    /// How it ended.
    pub(crate) result: ExchangeResult,
    /// Time of the exchange.
    pub(crate) latency: Duration,
    /// What is known of the work at the endpoint.
    pub(crate) outcome: SlotOutcome,
}

/// What is known of the work under a slot that is given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotOutcome {
    /// No work is left.
    Free,
    /// The exchange was cut; the endpoint ends the work once it notices.
    Abandoned,
    /// The endpoint closed the connection without an answer while the request ran.
    Crashed,
}

/// A waiting request is no longer wanted.
#[derive(Debug)]
pub(crate) struct CancelRequest {
    /// Name of the service.
    pub(crate) service: String,
    /// The try.
    pub(crate) id: RequestId,
}

/// Asks whether a retry may be made, and spends the budget when it may.
#[derive(Debug)]
pub(crate) struct SpendRetry {
    /// Name of the service.
    pub(crate) service: String,
}

/// Counts of a peer that came with its answer.
#[derive(Debug)]
pub(crate) struct ReceiveCounts {
    pub(crate) peer: IncarnationId,
    pub(crate) report: ServiceReport,
}

/// Asks what peers are told about a service.
#[derive(Debug)]
pub(crate) struct GetServiceReport {
    pub(crate) service: String,
}

/// A planned stop begins.
#[derive(Debug)]
pub(crate) struct StartLeaving;

/// Asks whether nothing runs here any more.
#[derive(Debug)]
pub(crate) struct WaitDrained;

/// Everything has stopped: pass the tickets on.
#[derive(Debug)]
pub(crate) struct HandOverTickets;

/// Asks for the view to write when leaving for good.
#[derive(Debug)]
pub(crate) struct GetDepartureView;

/// Regular work.
#[derive(Debug)]
pub(crate) struct HeartbeatTick;

/// The store showed the view, or that there is none.
#[derive(Debug)]
pub(crate) struct ViewRead {
    pub(crate) view: Option<(u64, GroupView)>,
    pub(crate) is_write_end: bool,
}

/// A write of the view ended and the store did not answer afterwards.
#[derive(Debug)]
pub(crate) struct WriteEnded;

/// A version of the configuration comes into force.
#[derive(Debug)]
pub(crate) struct PutInForce {
    pub(crate) content: Arc<ConfigContent>,
    pub(crate) table: Arc<RouteTable>,
}

/// Asks for a report of the steering state.
#[derive(Debug)]
pub(crate) struct GetStatus;
