//! Runtime services shared by all processes: clocks, timers, listeners for callers, metrics and
//! logging.

mod boot_clock;
mod bounded_body;
mod caller_stream;
mod clock;
mod guarded_stream;
mod head_guard;
mod headers;
mod held_bytes;
mod lingering_close;
mod listener;
mod log_writer;
mod metrics;
mod read_ahead;
mod sockets;
mod stop_signal;
mod timer;

pub use boot_clock::BootClock;
pub use bounded_body::{BoundedBodyError, read_bounded};
pub use clock::ProcessClock;
pub use guarded_stream::GuardedStream;
pub use head_guard::{FramingTracker, HeadError, HeadObserver};
pub use headers::strip_hop_by_hop_headers;
pub use held_bytes::{HeldBudget, HeldShare};
pub use listener::{CallerListener, ListenerLimits};
pub use log_writer::{LogDrain, LogWriter, init_logging};
pub use metrics::{CapMetrics, MetricsError, ProcessMetrics, RetryBudgetMetrics};
pub use read_ahead::ReadAheadFilter;
pub use sockets::{StreamKind, configure_caller_stream, configure_stream, connect};
pub use stop_signal::StopSignal;
pub use timer::TimerService;
