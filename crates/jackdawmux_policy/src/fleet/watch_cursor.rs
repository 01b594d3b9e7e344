//! What to ask the source of facts next, from how earlier calls ended.

/// A call to the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SourceCall {
    /// Read all facts of the topic.
    List,
    /// Wait for facts after a position.
    Watch {
        /// Position in the source's history.
        position: u64,
    },
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// It was answered.
    Answered {
        /// Position that the answer tells.
        position: u64,
        /// Whether it holds no fact.
        is_empty: bool,
    },
    /// The history after the position is no longer kept.
    HistoryGone,
    /// No usable answer came.
    Failed,
}

/// Position of one topic in the source's history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct WatchCursor {
    position: Option<u64>,
}

impl WatchCursor {
    /// The next call.
    #[must_use]
    pub const fn next(&self) -> SourceCall {
        match self.position {
            None => SourceCall::List,
            Some(position) => SourceCall::Watch { position },
        }
    }

    /// The source may be back after an outage. A watch would say nothing for as long as nothing
    /// changes, so the list is read.
    pub const fn probe(&mut self) {
        self.position = None;
    }

    /// A call ended.
    ///
    /// The position moves only with facts: a source that withholds them for a moment may already
    /// tell a later position. A watch that was cut may have missed facts whose history is going, so
    /// after a failure only a new list is sure.
    pub const fn record(&mut self, ask: SourceCall, end: CallOutcome) {
        match (ask, end) {
            (_, CallOutcome::HistoryGone | CallOutcome::Failed) => self.position = None,
            (SourceCall::Watch { .. }, CallOutcome::Answered { is_empty: true, .. }) => {}
            (_, CallOutcome::Answered { position, .. }) => self.position = Some(position),
        }
    }
}
