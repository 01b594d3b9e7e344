//! Latency and outcomes of the requests of a load run.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use hdrhistogram::Histogram;
use serde_json::json;

/// Maximum latency recorded, in microseconds; longer ones are clamped to it.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Latency and outcomes of one operation.
#[derive(Clone, Debug)]
pub struct OperationReport {
    latency: Histogram<u64>,
    outcomes: BTreeMap<String, u64>,
}

impl Default for OperationReport {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
            .expect("the bounds are constants that the histogram accepts");
        Self { latency, outcomes: BTreeMap::new() }
    }
}

impl OperationReport {
    /// Records one request, with the latency since the time at which the request was due.
    ///
    /// Only requests that ran contribute to the latency.
    pub fn record(&mut self, outcome: &str, latency_us: u64) {
        *self.outcomes.entry(outcome.to_owned()).or_default() += 1;
        if outcome == "ran" {
            self.latency.saturating_record(latency_us.max(1));
        }
    }

    /// Latency of requests that ran at a quantile from 0 to 1, in milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Number of requests with the given outcome.
    #[must_use]
    pub fn count(&self, outcome: &str) -> u64 {
        self.outcomes.get(outcome).copied().unwrap_or(0)
    }

    /// Number of requests.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.outcomes.values().sum()
    }
}

/// Results of a load run by operation.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Reports by `METHOD /service/path`.
    pub operations: BTreeMap<String, OperationReport>,
}

impl LoadReport {
    /// Number of requests with the given outcome, over all operations.
    #[must_use]
    pub fn count(&self, outcome: &str) -> u64 {
        self.operations.values().map(|report| report.count(outcome)).sum()
    }

    /// The report as a text table.
    #[must_use]
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<24} {:>8} {:>9} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8}\n",
            "operation",
            "total",
            "p50 ms",
            "p99 ms",
            "max ms",
            "ran",
            "not-run",
            "unknown",
            "error"
        );
        for (name, report) in &self.operations {
            let _ = writeln!(
                text,
                "{name:<24} {:>8} {:>9.2} {:>9.2} {:>9.2} {:>8} {:>8} {:>8} {:>8}",
                report.total(),
                report.quantile_ms(0.5),
                report.quantile_ms(0.99),
                report.quantile_ms(1.0),
                report.count("ran"),
                report.count("not-run"),
                report.count("unknown"),
                report.count("error"),
            );
        }
        text
    }

    /// The report as JSON, one object per operation.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        let rows = self.operations.iter().map(|(name, report)| {
            json!({
                "operation": name,
                "total": report.total(),
                "p50_ms": report.quantile_ms(0.5),
                "p99_ms": report.quantile_ms(0.99),
                "outcomes": report.outcomes,
            })
        });
        json!(rows.collect::<Vec<_>>())
    }
}
