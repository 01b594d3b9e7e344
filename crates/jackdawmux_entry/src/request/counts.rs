//! Load counts of a service at one instance, sent with the response to a request that a peer
//! forwarded.

use jackdawmux_policy::message::ServiceReport;

/// Response header with the load counts.
pub(crate) const COUNTS_HEADER: &str = "jackdaw-counts";

/// Formats the counts as five numbers separated by commas.
pub(crate) fn format_counts(report: &ServiceReport) -> String {
    let ServiceReport { idle, slots, waiting_high, waiting, mean_us, .. } = report;
    format!("{idle},{slots},{waiting_high},{waiting},{mean_us}")
}

/// Parses the format of [`format_counts`].
pub(crate) fn parse_counts(service: &str, text: &str) -> Option<ServiceReport> {
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
