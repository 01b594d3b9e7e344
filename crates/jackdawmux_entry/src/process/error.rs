//! Errors that prevent an instance from starting.

use snafu::Snafu;

/// Reason why an instance could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProcessError {
    /// An address could not be bound.
    #[snafu(display("step={step} peer={address} error={source}"))]
    Bind {
        /// Name of the setting, `listen` or `peer-listen`.
        step: &'static str,
        /// The address that could not be bound.
        address: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The links to other instances could not be set up.
    #[snafu(display("{source}"))]
    Peer {
        /// Error of the peer hub.
        source: jackdawmux_peer::PeerError,
    },
    /// The client of the platform's object store could not be set up.
    #[snafu(display("{source}"))]
    Store {
        /// Error of the store client.
        source: jackdawmux_store::StoreError,
    },
    /// Metrics could not be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// Error of the metrics registry.
        source: jackdawmux_runtime::MetricsError,
    },
}
