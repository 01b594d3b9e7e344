//! What incarnations of endpoints have stated about themselves in their responses.
//!
//! A statement holds for an incarnation, not for its registration: registrations expire, move and
//! are listed again while the endpoint keeps running. It is therefore kept here and copied to the
//! state of an endpoint whenever that state is created.

use std::collections::HashMap;
use std::time::Duration;

use super::choice::{EndpointKey, LimitStatement};
use super::endpoint_limit::LimitRate;
use crate::clock::PolicyTime;

/// How long a statement is kept after it was last made. It exceeds the longest pause and the time
/// for which an endpoint keeps serving after it started to leave.
const NOTICE_RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of incarnations whose statements are kept.
const MAX_NOTICES: usize = 8_192;

/// One run of an endpoint's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct EndpointIncarnation {
    pub(super) key: EndpointKey,
    /// Start in Unix milliseconds; zero if not stated.
    pub(super) started_ms: u64,
}

/// Everything that an incarnation has stated so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StatedNotice {
    /// Whether it is leaving. This is final for an incarnation.
    pub(super) is_leaving: bool,
    /// Until when it wants no further requests from this instance.
    pub(super) paused_until: PolicyTime,
    /// Requests that it takes from all instances together.
    pub(super) limit: Option<LimitRate>,
    stated_at: PolicyTime,
}

/// Statements by incarnation.
#[derive(Clone, Debug, Default)]
pub(super) struct NoticeRegister {
    notices: HashMap<EndpointIncarnation, StatedNotice>,
}

impl NoticeRegister {
    /// Returns what an incarnation has stated.
    pub(super) fn stated(&self, incarnation: EndpointIncarnation) -> StatedNotice {
        self.notices.get(&incarnation).copied().unwrap_or_default()
    }

    /// Adds a statement of an incarnation and returns all that it has stated.
    pub(super) fn record(
        &mut self,
        now: PolicyTime,
        incarnation: EndpointIncarnation,
        is_leaving: bool,
        pause: Option<Duration>,
        limit: LimitStatement,
    ) -> StatedNotice {
        self.make_room(now, incarnation);
        let stated = self.notices.entry(incarnation).or_default();
        stated.is_leaving |= is_leaving;
        if let Some(pause) = pause {
            stated.paused_until = stated.paused_until.max(now + pause);
        }
        match limit {
            LimitStatement::Unknown => {}
            LimitStatement::Unlimited => stated.limit = None,
            LimitStatement::Limited(rate) => stated.limit = Some(rate),
        }
        stated.stated_at = now;
        *stated
    }

    /// Extends the retention of what an incarnation has stated.
    pub(super) fn retain(&mut self, now: PolicyTime, incarnation: EndpointIncarnation) {
        if let Some(stated) = self.notices.get_mut(&incarnation) {
            stated.stated_at = now;
        }
    }

    /// Drops the statements whose retention is over.
    pub(super) fn prune(&mut self, now: PolicyTime) {
        self.notices.retain(|_, stated| now.since(stated.stated_at) < NOTICE_RETENTION);
    }

    fn make_room(&mut self, now: PolicyTime, incarnation: EndpointIncarnation) {
        if self.notices.len() < MAX_NOTICES || self.notices.contains_key(&incarnation) {
            return;
        }
        self.prune(now);
        if self.notices.len() < MAX_NOTICES {
            return;
        }
        let oldest = self.notices.iter().min_by_key(|(_, stated)| stated.stated_at);
        if let Some(oldest) = oldest.map(|(incarnation, _)| *incarnation) {
            self.notices.remove(&oldest);
        }
    }
}
