//! What every process of the system needs: clocks, timers, listeners for callers, metrics and the
//! log writer.

mod clock;
mod head_guard;
mod headers;
mod listener;
mod log_writer;
mod metrics;
mod sockets;
mod stop_signal;
mod timer;

pub use clock::ProcessClock;
pub use head_guard::{FramingTracker, GuardedStream, HeadFault};
pub use headers::strip_hop_by_hop_headers;
pub use listener::{CallerListener, ListenerLimits};
pub use log_writer::{LogDrain, LogWriter, init_logging};
pub use metrics::{MetricsError, ProcessMetrics};
pub use sockets::{StreamKind, connect, prepare, prepare_as};
pub use stop_signal::StopSignal;
pub use timer::TimerService;
