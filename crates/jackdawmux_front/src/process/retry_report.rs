//! Reports the state of the retry budget in metrics and, while retries are made, in the log.

use std::collections::HashMap;
use std::time::Duration;

use jackdawmux_policy::clock::PolicyTime;
use jackdawmux_policy::fleet::retry_share::RetryFigures;
use jackdawmux_runtime::RetryBudgetMetrics;

/// Interval between log lines about the retry budget of a service. One line for each window of the
/// usual length is enough to add up what all instances took.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What was reported about one service.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedFigures {
    counted: RetryFigures,
    logged: RetryFigures,
    logged_at: PolicyTime,
}

/// Reports what was counted since the previous report.
#[derive(Debug, Default)]
pub(super) struct RetryReport {
    reported: HashMap<String, ReportedFigures>,
}

impl RetryReport {
    /// Updates the metrics of a service, and writes a log line if retries were made or refused since
    /// the previous one.
    pub(super) fn record(
        &mut self,
        now: PolicyTime,
        metrics: &RetryBudgetMetrics,
        service: &str,
        figures: RetryFigures,
    ) {
        if !self.reported.contains_key(service) {
            self.reported.insert(service.to_owned(), ReportedFigures::default());
        }
        let Some(reported) = self.reported.get_mut(service) else {
            return;
        };
        let since = |total: u64, before: u64| total.saturating_sub(before);
        let before = std::mem::replace(&mut reported.counted, figures);
        metrics.count_requests(service, since(figures.requests, before.requests));
        metrics.count_retries(service, "taken", since(figures.retries, before.retries));
        metrics.count_retries(service, "refused", since(figures.refused, before.refused));
        // Zero while the list of instances has not been read.
        let instances = figures.instances.unwrap_or(0);
        metrics.set_allowance(
            service,
            figures.allowance,
            u64::try_from(instances).unwrap_or(u64::MAX),
        );
        let logged = reported.logged;
        let retries = since(figures.retries, logged.retries);
        let refused = since(figures.refused, logged.refused);
        let elapsed = now.since(reported.logged_at);
        if retries + refused == 0 || elapsed < LOG_INTERVAL {
            return;
        }
        log::info!(
            "event=retry-budget service={service} requests={} retries={retries} refused={refused} \
             allowance={:.1} instances={} elapsed_ms={}",
            since(figures.requests, logged.requests),
            figures.allowance,
            instances,
            elapsed.as_millis()
        );
        (reported.logged, reported.logged_at) = (figures, now);
    }
}
