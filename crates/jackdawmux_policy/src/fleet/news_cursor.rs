//! What to ask the source of facts next, from how earlier calls ended.

/// A call to the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SourceAsk {
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
pub enum AskEnd {
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
pub struct NewsCursor {
    position: Option<u64>,
}

impl NewsCursor {
    /// The next call.
    #[must_use]
    pub const fn next(&self) -> SourceAsk {
        match self.position {
            None => SourceAsk::List,
            Some(position) => SourceAsk::Watch { position },
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
    pub const fn note(&mut self, ask: SourceAsk, end: AskEnd) {
        match (ask, end) {
            (_, AskEnd::HistoryGone | AskEnd::Failed) => self.position = None,
            (SourceAsk::Watch { .. }, AskEnd::Answered { is_empty: true, .. }) => {}
            (_, AskEnd::Answered { position, .. }) => self.position = Some(position),
        }
    }
}
