//! The signals that ask a process to stop as planned.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Subscription to SIGTERM and SIGINT.
#[derive(Debug)]
pub struct StopSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignal {
    /// Subscribes; signals that come before the wait are kept.
    ///
    /// # Errors
    /// When the system refuses the subscription.
    pub fn subscribe() -> io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Self { terminate, interrupt })
    }

    /// Waits for the first of them.
    pub async fn wait(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
