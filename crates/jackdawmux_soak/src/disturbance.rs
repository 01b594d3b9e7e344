//! Log of which components were disturbed at which time. Promises with a time bound apply only to
//! fronts that were connected throughout.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::plan::FaultKind;

/// Time without a disturbance after which a front counts as connected; the `stabilityWindow` of
/// the fronts' settings.
pub const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// Component affected by a disturbance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DisturbedComponent {
    /// A front, by its index: the process or one of its links.
    Front(usize),
    /// The store, for all fronts.
    Store,
    /// All components: the soak process was not scheduled, so the others may not have been either.
    Everything,
    /// An endpoint, by its id.
    Endpoint(String),
}

/// Time span in which a component was disturbed.
#[derive(Clone, Debug)]
pub struct DisturbanceSpan {
    /// Affected component.
    pub component: DisturbedComponent,
    /// Kind of fault that caused the disturbance.
    pub kind: FaultKind,
    /// Start of the disturbance.
    pub started_at: Instant,
    /// End of the disturbance; none while it lasts.
    pub ended_at: Option<Instant>,
}

/// All disturbances of a run, in the order in which they were recorded.
#[derive(Debug, Default)]
pub struct DisturbanceLog {
    spans: Mutex<Vec<DisturbanceSpan>>,
}

impl DisturbanceLog {
    /// Records the start of a disturbance and returns its index, to be given to [`Self::end`].
    pub fn begin(&self, component: DisturbedComponent, kind: FaultKind) -> usize {
        let mut spans = self.spans.lock().expect("no task panicked");
        spans.push(DisturbanceSpan { component, kind, started_at: Instant::now(), ended_at: None });
        spans.len() - 1
    }

    /// Records the end of the disturbance with this index.
    pub fn end(&self, index: usize) {
        let mut spans = self.spans.lock().expect("no task panicked");
        spans[index].ended_at = Some(Instant::now());
    }

    /// Records a disturbance that ends now.
    pub fn record(&self, component: DisturbedComponent, kind: FaultKind, started_at: Instant) {
        let ended_at = Some(Instant::now());
        let mut spans = self.spans.lock().expect("no task panicked");
        spans.push(DisturbanceSpan { component, kind, started_at, ended_at });
    }

    /// Copy of all spans recorded so far.
    pub fn spans(&self) -> Vec<DisturbanceSpan> {
        self.spans.lock().expect("no task panicked").clone()
    }
}

/// Queries on the spans of a finished run.
#[derive(Clone, Copy, Debug)]
pub struct DisturbanceView<'spans>(pub &'spans [DisturbanceSpan]);

impl DisturbanceView<'_> {
    /// Whether a relevant span overlaps the interval, or ended at most one stability window before
    /// it.
    #[must_use]
    pub fn any_overlaps(
        &self,
        from: Instant,
        until: Instant,
        is_relevant: impl Fn(&DisturbanceSpan) -> bool,
    ) -> bool {
        self.0.iter().filter(|span| is_relevant(span)).any(|span| {
            let has_ended = span.ended_at.is_some_and(|end| end + STABILITY_WINDOW < from);
            span.started_at <= until && !has_ended
        })
    }

    /// Whether a front was connected throughout the interval.
    #[must_use]
    pub fn is_connected(&self, front: usize, from: Instant, until: Instant) -> bool {
        !self.any_overlaps(from, until, |span| {
            matches!(span.component, DisturbedComponent::Store | DisturbedComponent::Everything)
                || span.component == DisturbedComponent::Front(front)
        })
    }

    /// Whether a disturbance of an endpoint overlaps the interval, or ended at most one stability
    /// window before it.
    #[must_use]
    pub fn is_endpoint_disturbed(&self, name: &str, from: Instant, until: Instant) -> bool {
        self.any_overlaps(
            from,
            until,
            |span| matches!(&span.component, DisturbedComponent::Endpoint(other) if other == name),
        )
    }
}
