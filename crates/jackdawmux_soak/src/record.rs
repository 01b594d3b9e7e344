//! What callers and the operator saw.

use std::time::{Duration, Instant};

use jackdawmux_platform_standins::caller::CallerResponse;

/// Kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May be repeated.
    Look,
    /// Runs at most once.
    Pay,
    /// May be repeated; its route exists in one version only.
    Probe {
        /// That version.
        version: u64,
    },
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A whole answer came.
    Answered(CallerResponse),
    /// The connection ended without a whole answer.
    Cut,
    /// The caller left before an answer came.
    Abandoned,
    /// Nothing came, long after the caller's time.
    Unanswered,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Identity of the attempt.
    pub attempt: String,
    /// Front that it was sent to.
    pub front: usize,
    /// How often that front had been started.
    pub start: u64,
    /// Kind.
    pub kind: RequestKind,
    /// Method and path.
    pub target: String,
    /// Body.
    pub body: String,
    /// When its last byte was written.
    pub sent_at: Instant,
    /// When the outcome was seen.
    pub ended_at: Instant,
    /// How long the caller waits.
    pub wait: Duration,
    /// Outcome.
    pub outcome: RequestOutcome,
}

impl RequestRecord {
    /// The whole answer, if one came.
    #[must_use]
    pub fn answer(&self) -> Option<&CallerResponse> {
        match &self.outcome {
            RequestOutcome::Answered(answer) => Some(answer),
            _ => None,
        }
    }

    /// Status of the answer; 0 without one.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.answer().map_or(0, CallerResponse::status)
    }

    /// Time until the outcome.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.ended_at.saturating_duration_since(self.sent_at)
    }
}

/// Fronts that one look-up named.
#[derive(Clone, Debug)]
pub struct LookupRecord {
    /// Front that answered.
    pub front: usize,
    /// Fronts that it named.
    pub named: Vec<usize>,
    /// When.
    pub at: Instant,
}

/// A version of the configuration that the store has.
#[derive(Clone, Debug)]
pub struct VersionFact {
    /// Version.
    pub version: u64,
    /// Service that its routes go to.
    pub service: &'static str,
    /// When the write began.
    pub written_at: Instant,
    /// When the store had it.
    pub acked_at: Instant,
}

/// Something that must not be used any more.
#[derive(Clone, Debug)]
pub struct LeavingFact {
    /// Name of the endpoint, or of the failure domain.
    pub name: String,
    /// When the store had it.
    pub acked_at: Instant,
    /// When it was taken back.
    pub until: Option<Instant>,
}

/// How long a start of a front lasted.
#[derive(Clone, Copy, Debug)]
pub struct FrontLife {
    /// Front.
    pub front: usize,
    /// Number of the start.
    pub start: u64,
    /// Beginning.
    pub from: Instant,
    /// End; none while it runs.
    pub until: Option<Instant>,
    /// When it was asked to stop.
    pub stop_asked: Option<Instant>,
}
