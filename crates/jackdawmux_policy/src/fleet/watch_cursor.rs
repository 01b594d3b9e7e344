//! Chooses the next call to the update source from the outcomes of earlier calls.

use super::position::SourcePosition;

/// A call to the update source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SourceCall {
    /// Reads the full list of a topic.
    List {
        /// Whether nothing has been read yet, so that an old list reverts nothing.
        is_first: bool,
    },
    /// Waits for updates after a position.
    Watch {
        /// Position in the source's history.
        position: SourcePosition,
    },
}

/// Outcome of a call to the update source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// The source replied.
    Answered {
        /// Position in the source's history that the reply reports.
        position: SourcePosition,
        /// Whether the reply contained no updates.
        is_empty: bool,
    },
    /// The source no longer keeps the history after the position.
    HistoryGone,
    /// No usable reply was received.
    Failed,
}

/// What to do with the updates of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum ReplyUse {
    /// Apply them.
    Apply,
    /// Ignore them: they belong to another era than the position from which they were read.
    Discard,
}

/// Position of one topic in the source's history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct WatchCursor {
    position: Option<SourcePosition>,
    has_listed: bool,
    /// Highest era that any reply has reported.
    era: u64,
}

impl WatchCursor {
    /// Returns the next call to make.
    #[must_use]
    pub const fn next(&self) -> SourceCall {
        match self.position {
            None => SourceCall::List { is_first: !self.has_listed },
            Some(position) => SourceCall::Watch { position },
        }
    }

    /// Makes the next call a list: to check whether the source has recovered from an outage, or
    /// because updates are known to be missing. A watch returns only when something changes.
    pub const fn restart(&mut self) {
        self.position = None;
    }

    /// Makes the next call a list if the source names a later era than the replies so far. Returns
    /// whether it does.
    pub const fn enter_era(&mut self, era: u64) -> bool {
        let is_later = era > self.era && self.position.is_some();
        if era > self.era {
            self.era = era;
            self.position = None;
        }
        is_later
    }

    /// Records the outcome of a call and returns what to do with its updates.
    ///
    /// An empty watch reply does not advance the position: a source that withholds updates for a
    /// moment may already report a later position. After a failure the list is read again, because
    /// a watch that was cut off may have missed updates that are about to leave the history.
    pub const fn record(&mut self, call: SourceCall, outcome: CallOutcome) -> ReplyUse {
        match outcome {
            CallOutcome::HistoryGone | CallOutcome::Failed => {
                self.position = None;
                ReplyUse::Discard
            }
            CallOutcome::Answered { position, is_empty } => {
                self.record_answer(call, position, is_empty)
            }
        }
    }

    const fn record_answer(
        &mut self,
        call: SourceCall,
        position: SourcePosition,
        is_empty: bool,
    ) -> ReplyUse {
        if position.era < self.era {
            // A late reply from before the restore.
            self.position = None;
            return ReplyUse::Discard;
        }
        self.era = position.era;
        match call {
            SourceCall::Watch { position: from } if from.era != position.era => {
                self.position = None;
                ReplyUse::Discard
            }
            SourceCall::Watch { .. } if is_empty => ReplyUse::Apply,
            SourceCall::Watch { .. } | SourceCall::List { .. } => {
                self.has_listed = true;
                self.position = Some(position);
                ReplyUse::Apply
            }
        }
    }
}
