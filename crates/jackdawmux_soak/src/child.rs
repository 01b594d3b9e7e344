//! Child processes that are killed on drop, and the start of a front process.

use std::fs::File;
use std::io;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::time::{Instant, sleep};

/// Interval between two checks for the exit of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process that is killed and reaped when the handle is dropped.
#[derive(Debug)]
pub struct KillOnDropChild {
    child: Child,
}

/// Starts a front process. Its output is appended to the file `log`.
///
/// # Errors
/// When the log file cannot be opened or the process cannot be started.
pub fn spawn_front(program: &Path, settings: &Path, log: &Path) -> io::Result<KillOnDropChild> {
    let log = File::options().create(true).append(true).open(log)?;
    let child = Command::new(program)
        .arg("front")
        // This is the log level of the soak. Fronts use their default: their logs are checked.
        .env_remove("RUST_LOG")
        .arg("--node-file")
        .arg(settings)
        .stdin(Stdio::null())
        .stderr(Stdio::from(log.try_clone()?))
        .stdout(Stdio::from(log))
        .spawn()?;
    Ok(KillOnDropChild::from(child))
}

impl From<Child> for KillOnDropChild {
    fn from(child: Child) -> Self {
        Self { child }
    }
}

impl KillOnDropChild {
    /// Sends a signal to the process.
    ///
    /// # Errors
    /// When the process id is invalid or the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| io::Error::other("the process id is out of range"))?;
        Ok(kill_process(pid, signal)?)
    }

    /// Exit status, if the process has exited. Does not block.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        match self.child.try_wait() {
            Ok(status) => status,
            Err(error) => {
                log::warn!("event=child-state-unknown error={error:?}");
                None
            }
        }
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        // The process may have exited already; the wait below reaps it in both cases.
        let _killed = self.child.kill();
        if let Err(error) = self.child.wait() {
            log::warn!("event=child-wait-failed error={error:?}");
        }
    }

    /// Waits for the process to exit and returns its status, or none after `timeout`.
    pub async fn wait_for_exit(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Some(status) = self.exit_status() {
                return Some(status);
            }
            sleep(POLL_INTERVAL).await;
        }
        None
    }
}

impl Drop for KillOnDropChild {
    fn drop(&mut self) {
        self.kill();
    }
}
