//! Request caps of teams over all instances.
//!
//! A few instances, one in each region, hold the cap of a team as token buckets that together fill
//! at its rate. An instance that has requests of the team asks a holder for tokens. A token counts
//! only within [`TOKEN_LIFETIME`] of the moment at which it was asked for, by the clock of the
//! asking instance. The requests of a window therefore never exceed the rate over the window and
//! this time, plus the burst, whatever messages are lost, late or repeated.

mod client;
mod holder;
mod members;
mod message;
mod state;

use std::time::Duration;

pub use client::{WaitEnd, WaiterId};
pub use members::MemberChange;
pub use message::{CapAnswer, CapAsk, HolderId, MAX_TEAMS_PER_ASK, TeamAnswer, TeamAsk, TeamId};
pub use state::{CapLimit, CapState};

/// How long a token may be used after it was asked for. The cap allows 10 % over a window of 5 s;
/// this time accounts for half of it.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(250);
/// Time without a reply after which the next holder is asked. Links between regions take 24 ms.
pub const HOLDER_TIMEOUT: Duration = Duration::from_millis(60);
/// How long a holder that did not reply is skipped.
pub const SILENCE_TIME: Duration = Duration::from_secs(2);
/// Maximum age of the read that confirmed the list of instances, for a holder to grant tokens.
pub const MAX_PROOF_AGE: Duration = Duration::from_secs(3);
/// Time after which a new holder begins to fill its bucket. Its predecessor grants nothing
/// [`MAX_PROOF_AGE`] after the change; the rest allows for clocks and for the delay of the change.
pub const TAKEOVER_DELAY: Duration = Duration::from_secs(5);

/// Why a request got no token. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapRefusal {
    /// All holders that replied have no token left.
    OverCap {
        /// When a token is expected for this request.
        retry_after: Duration,
    },
    /// No holder could tell whether the request is within the cap.
    Unknown {
        /// When a holder is expected to reply.
        retry_after: Duration,
    },
}
