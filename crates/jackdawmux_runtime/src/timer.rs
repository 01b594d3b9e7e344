//! Timer service: components subscribe to periodic ticks.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

/// Sends periodic ticks to its subscribers until it is dropped.
///
/// Missed ticks are not made up for: a slow subscriber, or a process that was suspended, gets one
/// tick instead of a burst.
#[derive(Debug, Default)]
pub struct TimerService {
    tasks: JoinSet<()>,
}

impl TimerService {
    /// Subscribes to a tick every `tick_interval`; the first one is sent immediately.
    pub fn every(&mut self, tick_interval: Duration) -> mpsc::Receiver<()> {
        let (sender, receiver) = mpsc::channel(1);
        self.tasks.spawn(async move {
            let mut ticks = interval(tick_interval);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                match sender.try_send(()) {
                    Ok(()) | Err(mpsc::error::TrySendError::Full(())) => {}
                    Err(mpsc::error::TrySendError::Closed(())) => return,
                }
            }
        });
        receiver
    }
}
