//! An instance's counts of a service, as they travel with the answer of a passed request.

use jackdawmux_policy::message::ServiceReport;

/// Header with the counts.
pub(crate) const COUNTS_HEADER: &str = "jackdaw-counts";

/// Counts as five numbers.
pub(crate) fn counts_text(report: &ServiceReport) -> String {
    let ServiceReport { idle, slots, waiting_high, waiting, mean_us, .. } = report;
    format!("{idle},{slots},{waiting_high},{waiting},{mean_us}")
}

/// Reads what [`counts_text`] wrote.
pub(crate) fn read_counts(service: &str, text: &str) -> Option<ServiceReport> {
    let mut numbers = text.split(',').map(str::parse::<u32>);
    let mut next = || numbers.next()?.ok();
    Some(ServiceReport {
        service: service.to_owned(),
        idle: next()?,
        slots: next()?,
        waiting_high: next()?,
        waiting: next()?,
        mean_us: next()?,
    })
}
