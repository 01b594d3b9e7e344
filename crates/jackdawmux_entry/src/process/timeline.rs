//! The time line: one event, one line of key=value, ordered by a hybrid clock over processes.

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::sync::{Mutex, MutexGuard, PoisonError};

use jackdawmux_policy::hlc::{HybridClock, HybridTimestamp};
use serde::{Deserialize, Serialize};

use jackdawmux_runtime::ProcessClock;

/// Events kept for reading by operators.
const EVENTS_KEPT: usize = 4_096;

/// One event of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// When, on the hybrid clock.
    pub stamp: HybridTimestamp,
    /// The instance.
    pub instance: String,
    /// Kind of event.
    pub kind: String,
    /// Further facts.
    pub fields: Vec<(String, String)>,
}

impl TimelineEvent {
    /// The event as one line of key=value pairs.
    #[must_use]
    pub fn line(&self) -> String {
        let mut line =
            format!("stamp={} instance={} event={}", self.stamp, self.instance, self.kind);
        for (key, value) in &self.fields {
            let is_plain = !value.is_empty() && !value.contains([' ', '"', '=']);
            let _infallible = if is_plain {
                write!(line, " {key}={value}")
            } else {
                write!(line, " {key}={value:?}")
            };
        }
        line
    }
}

#[derive(Debug, Default)]
struct LogState {
    clock: HybridClock,
    events: VecDeque<TimelineEvent>,
}

/// Events of this process.
#[derive(Debug)]
pub struct EventLog {
    instance: String,
    clock: ProcessClock,
    state: Mutex<LogState>,
}

impl EventLog {
    /// An empty log of one instance.
    #[must_use]
    pub fn new(instance: &str, clock: ProcessClock) -> Self {
        Self { instance: instance.to_owned(), clock, state: Mutex::default() }
    }

    /// Records an event and writes it to the log.
    pub fn record(&self, kind: &str, fields: &[(&str, &dyn std::fmt::Display)]) {
        let fields: Vec<(String, String)> =
            fields.iter().map(|(key, value)| ((*key).to_owned(), value.to_string())).collect();
        let mut state = self.lock();
        let stamp = state.clock.tick(self.clock.wall_ms());
        let instance = self.instance.clone();
        let event = TimelineEvent { stamp, instance, kind: kind.to_owned(), fields };
        log::info!("{}", event.line());
        if state.events.len() >= EVENTS_KEPT {
            state.events.pop_front();
        }
        state.events.push_back(event);
    }

    /// A stamp for an outgoing frame.
    pub fn stamp(&self) -> HybridTimestamp {
        self.lock().clock.tick(self.clock.wall_ms())
    }

    /// Takes in the stamp of a frame that arrived.
    pub fn observe(&self, stamp: HybridTimestamp) {
        self.lock().clock.observe(stamp);
    }

    /// All events kept, oldest first.
    #[must_use]
    pub fn events(&self) -> Vec<TimelineEvent> {
        self.lock().events.iter().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
