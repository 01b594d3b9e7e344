//! Which parts were disturbed when. Promises with a time bound hold for fronts in touch only.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::plan::FaultKind;

/// Time without disturbance after which a front is in touch, as the platform's settings say.
pub const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// What a disturbance concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DisturbedPart {
    /// A front, or a link of it.
    Front(usize),
    /// The store, for every front.
    Store,
    /// The soak itself did not run for a moment, and so perhaps nothing did.
    Everything,
    /// An endpoint, by its name.
    Endpoint(String),
}

/// A span of disturbance.
#[derive(Clone, Debug)]
pub struct DisturbanceSpan {
    /// What it concerns.
    pub part: DisturbedPart,
    /// Its cause.
    pub kind: FaultKind,
    /// Beginning.
    pub from: Instant,
    /// End; none while it lasts.
    pub until: Option<Instant>,
}

/// All disturbances of a run.
#[derive(Debug, Default)]
pub struct DisturbanceLog {
    spans: Mutex<Vec<DisturbanceSpan>>,
}

impl DisturbanceLog {
    /// Notes the beginning and returns the key for the end.
    pub fn begin(&self, part: DisturbedPart, kind: FaultKind) -> usize {
        let mut spans = self.spans.lock().expect("no task panicked");
        spans.push(DisturbanceSpan { part, kind, from: Instant::now(), until: None });
        spans.len() - 1
    }

    /// Notes the end.
    pub fn end(&self, key: usize) {
        let mut spans = self.spans.lock().expect("no task panicked");
        spans[key].until = Some(Instant::now());
    }

    /// Notes a span that has ended.
    pub fn note(&self, part: DisturbedPart, kind: FaultKind, from: Instant) {
        let until = Some(Instant::now());
        let mut spans = self.spans.lock().expect("no task panicked");
        spans.push(DisturbanceSpan { part, kind, from, until });
    }

    /// All spans.
    pub fn spans(&self) -> Vec<DisturbanceSpan> {
        self.spans.lock().expect("no task panicked").clone()
    }
}

/// Questions about the spans of a run that has ended.
#[derive(Clone, Copy, Debug)]
pub struct DisturbanceView<'spans>(pub &'spans [DisturbanceSpan]);

impl DisturbanceView<'_> {
    /// Whether a span of some part overlaps a time, or ended less than a stability window before.
    #[must_use]
    pub fn is_any(
        &self,
        from: Instant,
        until: Instant,
        fits: impl Fn(&DisturbanceSpan) -> bool,
    ) -> bool {
        self.0.iter().filter(|span| fits(span)).any(|span| {
            let ended = span.until.is_some_and(|end| end + STABILITY_WINDOW < from);
            span.from <= until && !ended
        })
    }

    /// Whether a front was in touch through the whole of a time.
    #[must_use]
    pub fn is_in_touch(&self, front: usize, from: Instant, until: Instant) -> bool {
        !self.is_any(from, until, |span| {
            matches!(span.part, DisturbedPart::Store | DisturbedPart::Everything)
                || span.part == DisturbedPart::Front(front)
        })
    }

    /// Whether an endpoint was disturbed in a time.
    #[must_use]
    pub fn is_endpoint_harmed(&self, name: &str, from: Instant, until: Instant) -> bool {
        self.is_any(
            from,
            until,
            |span| matches!(&span.part, DisturbedPart::Endpoint(other) if other == name),
        )
    }
}
