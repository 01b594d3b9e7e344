//! Prometheus metrics, served at `/metrics`.

use std::collections::HashSet;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use snafu::Snafu;

/// Bucket bounds of the latency histogram, in seconds.
const LATENCY_BUCKETS_S: [f64; 14] =
    [0.000_2, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// Teams that are counted by name; further ones are counted together, so that the number of series
/// is bounded.
const MAX_COUNTED_TEAMS: usize = 64;

/// The metrics exporter could not be set up.
#[derive(Debug, Snafu)]
#[snafu(display("step=metrics error={reason}"))]
pub struct MetricsError {
    reason: String,
}

/// Metrics of request caps.
#[derive(Clone, Debug)]
pub struct CapMetrics {
    requests: Counter<u64>,
    tokens: Counter<u64>,
    datagrams: Counter<u64>,
}

impl CapMetrics {
    /// Counts a request of a team with a cap, once it is decided.
    pub fn count_request(&self, outcome: &'static str) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts tokens that another instance asked this one for.
    pub fn count_tokens(&self, outcome: &'static str, count: u64) {
        if count > 0 {
            self.tokens.add(count, &[KeyValue::new("outcome", outcome)]);
        }
    }

    /// Counts a datagram about caps.
    pub fn count_datagram(&self, kind: &'static str) {
        self.datagrams.add(1, &[KeyValue::new("kind", kind)]);
    }
}

/// Metrics of the retry budget, by service.
#[derive(Clone, Debug)]
pub struct RetryBudgetMetrics {
    requests: Counter<u64>,
    retries: Counter<u64>,
    allowance: Gauge<f64>,
    instances: Gauge<u64>,
}

impl RetryBudgetMetrics {
    /// Counts requests that the budget is computed from.
    pub fn count_requests(&self, service: &str, count: u64) {
        self.requests.add(count, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts retries by `outcome`: `taken`, or `refused` if the budget was used up.
    pub fn count_retries(&self, service: &str, outcome: &'static str, count: u64) {
        let labels =
            [KeyValue::new("service", service.to_owned()), KeyValue::new("outcome", outcome)];
        self.retries.add(count, &labels);
    }

    /// Sets the number of retries that the budget allows now, and the number of instances that the
    /// slack is divided by.
    pub fn set_allowance(&self, service: &str, allowance: f64, instances: u64) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.allowance.record(allowance, &labels);
        self.instances.record(instances, &labels);
    }
}

/// Metrics of one instance.
#[derive(Debug)]
pub struct ProcessMetrics {
    registry: Registry,
    // Kept because dropping the provider stops collection.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    team_requests: Counter<u64>,
    counted_teams: Mutex<HashSet<String>>,
    latency: Histogram<f64>,
    retries: Counter<u64>,
    forwarded: Counter<u64>,
    refusals: Counter<u64>,
    config_version: Gauge<u64>,
    isolated: Gauge<u64>,
    permission_age: Gauge<f64>,
    topic_reply_age: Gauge<f64>,
    alarms: Counter<u64>,
    caps: CapMetrics,
    retry_budget: RetryBudgetMetrics,
}

impl ProcessMetrics {
    /// Creates the registry, the exporter and all instruments.
    ///
    /// # Errors
    /// When the exporter cannot be built.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|error| MetricsError { reason: error.to_string() })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("jackdawmux");
        Ok(Self {
            requests: meter.u64_counter("jackdawmux_requests").build(),
            team_requests: meter.u64_counter("jackdawmux_team_requests").build(),
            counted_teams: Mutex::default(),
            latency: meter
                .f64_histogram("jackdawmux_request_seconds")
                .with_boundaries(LATENCY_BUCKETS_S.to_vec())
                .build(),
            retries: meter.u64_counter("jackdawmux_retries").build(),
            isolated: meter.u64_gauge("jackdawmux_isolated").build(),
            permission_age: meter.f64_gauge("jackdawmux_permission_age_seconds").build(),
            topic_reply_age: meter.f64_gauge("jackdawmux_topic_reply_age_seconds").build(),
            forwarded: meter.u64_counter("jackdawmux_forwarded_requests").build(),
            refusals: meter.u64_counter("jackdawmux_refusals").build(),
            config_version: meter.u64_gauge("jackdawmux_config_version").build(),
            alarms: meter.u64_counter("jackdawmux_alarms").build(),
            caps: CapMetrics {
                requests: meter.u64_counter("jackdawmux_cap_requests").build(),
                tokens: meter.u64_counter("jackdawmux_cap_tokens").build(),
                datagrams: meter.u64_counter("jackdawmux_cap_datagrams").build(),
            },
            retry_budget: RetryBudgetMetrics {
                requests: meter.u64_counter("jackdawmux_retry_budget_requests").build(),
                retries: meter.u64_counter("jackdawmux_retry_budget_retries").build(),
                allowance: meter.f64_gauge("jackdawmux_retry_budget_allowance").build(),
                instances: meter.u64_gauge("jackdawmux_retry_budget_instances").build(),
            },
            registry,
            _provider: provider,
        })
    }

    /// Counts a request and records its latency, once its outcome is final.
    pub fn count_request(&self, service: &str, outcome: &str, latency: Duration) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("outcome", outcome.to_owned()),
        ];
        self.requests.add(1, &labels);
        self.latency.record(latency.as_secs_f64(), &labels);
    }

    /// Counts a request of a team. Only the teams that are counted first have a series of their own.
    pub fn count_team_request(&self, team: &str, outcome: &str) {
        let team = if self.is_counted_by_name(team) { team } else { "other" };
        let labels =
            [KeyValue::new("team", team.to_owned()), KeyValue::new("outcome", outcome.to_owned())];
        self.team_requests.add(1, &labels);
    }

    fn is_counted_by_name(&self, team: &str) -> bool {
        let mut teams = self.counted_teams.lock().unwrap_or_else(PoisonError::into_inner);
        if teams.contains(team) {
            return true;
        }
        teams.len() < MAX_COUNTED_TEAMS && teams.insert(team.to_owned())
    }

    /// Counts a retry of a request to `service`.
    pub fn count_retry(&self, service: &str) {
        self.retries.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts a request between two instances; `direction` is `sent` or `received`.
    pub fn count_forwarded(&self, direction: &'static str) {
        self.forwarded.add(1, &[KeyValue::new("direction", direction)]);
    }

    /// Counts a request to `service` that was refused without running.
    pub fn count_refusal(&self, service: &str, reason: &str, priority: u32) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("reason", reason.to_owned()),
            KeyValue::new("priority", i64::from(priority)),
        ];
        self.refusals.add(1, &labels);
    }

    /// Sets the version of the active configuration.
    pub fn set_config_version(&self, version: u64) {
        self.config_version.record(version, &[]);
    }

    /// Sets whether this instance reaches no upstream endpoint.
    pub fn set_isolated(&self, is_isolated: bool) {
        self.isolated.record(u64::from(is_isolated), &[]);
    }

    /// Sets the time since the start of the latest read that showed the configuration in force to be
    /// the newest.
    pub fn set_permission_age(&self, age: Duration) {
        self.permission_age.record(age.as_secs_f64(), &[]);
    }

    /// Sets the time since a read of a topic of the update source was last answered.
    pub fn set_topic_reply_age(&self, topic: &'static str, age: Duration) {
        self.topic_reply_age.record(age.as_secs_f64(), &[KeyValue::new("topic", topic)]);
    }

    /// Counts an alarm, a condition that an operator should investigate.
    pub fn count_alarm(&self, kind: &str) {
        self.alarms.add(1, &[KeyValue::new("kind", kind.to_owned())]);
    }

    /// Returns the metrics of request caps.
    #[must_use]
    pub const fn caps(&self) -> &CapMetrics {
        &self.caps
    }

    /// Returns the metrics of the retry budget.
    #[must_use]
    pub const fn retry_budget(&self) -> &RetryBudgetMetrics {
        &self.retry_budget
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
