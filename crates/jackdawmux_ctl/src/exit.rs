//! Outcomes of commands and their exit codes.

use std::process::ExitCode;

/// Outcome of a command, reported by its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The command succeeded: exit code 0.
    Done,
    /// The command was refused or failed, and nothing was changed: exit code 1.
    Refused,
    /// The command line is invalid: exit code 2.
    Usage,
    /// The command may or may not have taken effect: exit code 3.
    Unknown,
}

impl From<CommandOutcome> for ExitCode {
    fn from(outcome: CommandOutcome) -> Self {
        match outcome {
            CommandOutcome::Done => Self::SUCCESS,
            CommandOutcome::Refused => Self::from(1),
            CommandOutcome::Usage => Self::from(2),
            CommandOutcome::Unknown => Self::from(3),
        }
    }
}
