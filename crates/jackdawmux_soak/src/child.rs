//! Processes that end with their handles, and fronts as such.

use std::fs::File;
use std::io;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::time::{Instant, sleep};

/// Pause between looks at a process.
const LOOK_PAUSE: Duration = Duration::from_millis(10);

/// A process that is killed with its handle.
#[derive(Debug)]
pub struct KillOnDropChild {
    child: Child,
}

/// Starts a front. Its log goes on at the end of `log`.
///
/// # Errors
/// When the process or its log cannot be opened.
pub fn spawn_front(program: &Path, settings: &Path, log: &Path) -> io::Result<KillOnDropChild> {
    let log = File::options().create(true).append(true).open(log)?;
    let child = Command::new(program)
        .arg("front")
        // The soak's own level; what fronts log at theirs is checked.
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
    /// Sends a signal.
    ///
    /// # Errors
    /// When the process is gone.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| io::Error::other("the process id is out of range"))?;
        Ok(kill_process(pid, signal)?)
    }

    /// Its exit status, if it has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        match self.child.try_wait() {
            Ok(status) => status,
            Err(error) => {
                log::warn!("event=child-state-unknown error={error:?}");
                None
            }
        }
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        // It may have ended already; the wait below collects it either way.
        let _killed = self.child.kill();
        if let Err(error) = self.child.wait() {
            log::warn!("event=child-wait-failed error={error:?}");
        }
    }

    /// Waits up to `longest` for its end; none when it still runs then.
    pub async fn wait_for_exit(&mut self, longest: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + longest;
        while Instant::now() < deadline {
            if let Some(status) = self.exit_status() {
                return Some(status);
            }
            sleep(LOOK_PAUSE).await;
        }
        None
    }
}

impl Drop for KillOnDropChild {
    fn drop(&mut self) {
        self.kill();
    }
}
