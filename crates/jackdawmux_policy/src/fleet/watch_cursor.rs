//! Chooses the next call to the update source from the outcomes of earlier calls.

/// A call to the update source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SourceCall {
    /// Reads the full list of a topic.
    List,
    /// Waits for updates after a position.
    Watch {
        /// Position in the source's history.
        position: u64,
    },
}

/// Outcome of a call to the update source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// The source replied.
    Answered {
        /// Position in the source's history that the reply reports.
        position: u64,
        /// Whether the reply contained no updates.
        is_empty: bool,
    },
    /// The source no longer keeps the history after the position.
    HistoryGone,
    /// No usable reply was received.
    Failed,
}

/// Position of one topic in the source's history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct WatchCursor {
    position: Option<u64>,
}

impl WatchCursor {
    /// Returns the next call to make.
    #[must_use]
    pub const fn next(&self) -> SourceCall {
        match self.position {
            None => SourceCall::List,
            Some(position) => SourceCall::Watch { position },
        }
    }

    /// Makes the next call a list, to check whether the source has recovered from an outage. A
    /// watch returns only when something changes, so it cannot show that the source has recovered.
    pub const fn probe(&mut self) {
        self.position = None;
    }

    /// Records the outcome of a call.
    ///
    /// An empty watch reply does not advance the position: a source that withholds updates for a
    /// moment may already report a later position. After a failure the list is read again, because
    /// a watch that was cut off may have missed updates that are about to leave the history.
    pub const fn record(&mut self, call: SourceCall, outcome: CallOutcome) {
        match (call, outcome) {
            (_, CallOutcome::HistoryGone | CallOutcome::Failed) => self.position = None,
            (SourceCall::Watch { .. }, CallOutcome::Answered { is_empty: true, .. }) => {}
            (_, CallOutcome::Answered { position, .. }) => self.position = Some(position),
        }
    }
}
