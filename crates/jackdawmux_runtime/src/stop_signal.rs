//! Signals that request a planned shutdown.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Subscription to SIGTERM and SIGINT.
#[derive(Debug)]
pub struct StopSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignal {
    /// Subscribes to both signals. A signal that arrives before [`wait`](Self::wait) is not lost.
    ///
    /// # Errors
    /// When the operating system rejects the subscription.
    pub fn subscribe() -> io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Self { terminate, interrupt })
    }

    /// Waits for the first of the two signals.
    pub async fn wait(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
