//! How a command ends.

use std::process::ExitCode;

/// End of a command, told by its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandEnd {
    /// Done: 0.
    Done,
    /// Refused, nothing was changed: 1.
    Refused,
    /// The command line cannot be used: 2.
    Usage,
    /// It may or may not have taken effect: 3.
    Unknown,
}

impl From<CommandEnd> for ExitCode {
    fn from(end: CommandEnd) -> Self {
        match end {
            CommandEnd::Done => Self::SUCCESS,
            CommandEnd::Refused => Self::from(1),
            CommandEnd::Usage => Self::from(2),
            CommandEnd::Unknown => Self::from(3),
        }
    }
}
