//! Errors that prevent a front from starting.

use snafu::Snafu;

/// Why a front could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FrontError {
    /// An address could not be bound.
    #[snafu(display("step={step} peer={address} error={source:?}"))]
    Bind {
        /// Setting that holds the address.
        step: &'static str,
        /// Address that could not be bound.
        address: String,
        /// The cause.
        source: std::io::Error,
    },
    /// Signals could not be subscribed to.
    #[snafu(display("step=signals error={source:?}"))]
    Signals {
        /// The cause.
        source: std::io::Error,
    },
    /// The client for reads from relays could not be set up.
    #[snafu(display("{source}"))]
    Relay {
        /// The cause.
        source: crate::source::SourceError,
    },
    /// Metrics could not be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// The cause.
        source: jackdawmux_runtime::MetricsError,
    },
}
