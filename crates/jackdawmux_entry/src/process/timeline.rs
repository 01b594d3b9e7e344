//! Timeline of events. Each event is written as one line of key=value pairs, with a timestamp of a
//! hybrid logical clock that orders events across processes.

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::sync::{Mutex, MutexGuard, PoisonError};

use jackdawmux_policy::hlc::{HybridClock, HybridTimestamp};
use serde::{Deserialize, Serialize};

use jackdawmux_runtime::ProcessClock;

/// Maximum number of events kept for operators to read.
const MAX_EVENTS: usize = 4_096;

/// One event of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// Time of the event on the hybrid logical clock.
    pub stamp: HybridTimestamp,
    /// Name of the instance that recorded the event.
    pub instance: String,
    /// Kind of event.
    pub kind: String,
    /// Further keys and values, in the order in which they are written.
    pub fields: Vec<(String, String)>,
}

impl TimelineEvent {
    /// Returns the event as one line of key=value pairs.
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

/// Records the events of this process.
#[derive(Debug)]
pub struct EventLog {
    instance: String,
    clock: ProcessClock,
    state: Mutex<LogState>,
}

impl EventLog {
    /// Creates an empty event log for one instance.
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
        if state.events.len() >= MAX_EVENTS {
            state.events.pop_front();
        }
        state.events.push_back(event);
    }

    /// Returns a timestamp for an outgoing frame.
    pub fn stamp(&self) -> HybridTimestamp {
        self.lock().clock.tick(self.clock.wall_ms())
    }

    /// Advances the clock past the timestamp of a received frame.
    pub fn observe(&self, stamp: HybridTimestamp) {
        self.lock().clock.observe(stamp);
    }

    /// Returns the recorded events, oldest first. The oldest are discarded when the log is full.
    #[must_use]
    pub fn events(&self) -> Vec<TimelineEvent> {
        self.lock().events.iter().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
