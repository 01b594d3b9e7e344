//! Check of fronts that are partitioned from all endpoints.

use super::{RunChecker, SoakPromise};
use crate::disturbance::STABILITY_WINDOW;
use crate::record::{PartitionRecord, RequestKind, RequestOutcome, RequestRecord};

/// Failures at partitioned fronts that are allowed in any case, and one in
/// [`REQUESTS_PER_FAILURE`] requests in addition.
const MAX_FAILURES: usize = 10;
const REQUESTS_PER_FAILURE: usize = 50;

impl<'run> RunChecker<'_, 'run> {
    /// While some fronts are partitioned and others are not, the callers of both must be served: at
    /// the partitioned ones at least two thirds as often.
    pub(super) fn check_partitions(&mut self) {
        for partition in &self.observations.events.partitions {
            let counted: Vec<&RequestRecord> = self
                .observations
                .requests
                .iter()
                .filter(|request| self.is_compared(partition, request))
                .collect();
            let is_partitioned =
                |request: &&&RequestRecord| partition.fronts.contains(&request.front);
            let is_served = |request: &&&RequestRecord| request.status() == 200;
            let sent = counted.iter().filter(is_partitioned).count();
            let served = counted.iter().filter(is_partitioned).filter(is_served).count();
            let other_sent = counted.len() - sent;
            let other_served = counted.iter().filter(is_served).count() - served;
            let is_close = served * other_sent * 3 >= other_served * sent * 2;
            let allowed = MAX_FAILURES + counted.len() / REQUESTS_PER_FAILURE;
            if !is_close && sent - served > allowed {
                let detail = format!(
                    "fronts {:?}: {served} of {sent}, the others {other_served} of {other_sent}",
                    partition.fronts
                );
                self.report(SoakPromise::PartitionIsBridged, detail);
            }
        }
    }

    /// Whether a request was sent late enough in a partition, to a front that nothing else disturbed,
    /// another partition included. While all fronts are partitioned there is nothing to compare with.
    fn is_compared(&self, partition: &PartitionRecord, request: &RequestRecord) -> bool {
        let from = partition.started_at + STABILITY_WINDOW;
        let others = || {
            let partitions = self.observations.events.partitions.iter();
            partitions.filter(|other| {
                !std::ptr::eq(*other, partition)
                    && other.started_at <= request.ended_at
                    && other.ended_at + STABILITY_WINDOW >= request.sent_at
            })
        };
        let is_in_others = |front: usize| others().any(|other| other.fronts.contains(&front));
        let has_reachable = || {
            let processes = &self.observations.events.front_processes;
            processes.iter().any(|process| {
                !partition.fronts.contains(&process.front) && !is_in_others(process.front)
            })
        };
        has_reachable()
            && !is_in_others(request.front)
            && request.sent_at >= from
            && request.ended_at <= partition.ended_at
            && !matches!(request.kind, RequestKind::Probe { .. })
            && request.outcome != RequestOutcome::Abandoned
            && self.observations.disturbances.is_connected(
                request.front,
                request.sent_at,
                request.ended_at,
            )
    }
}
