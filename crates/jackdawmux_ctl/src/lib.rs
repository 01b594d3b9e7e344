//! Command line for operators: checks and accepts rules files, drains endpoints, and shows the
//! status and events of instances.

mod accept;
mod ask;
mod command;
mod drain;
mod exit;
mod fleet;
mod merge;
mod output;
mod plot;
mod status;
mod timeline;

pub use command::{CtlCommand, command_parser, run};
pub use exit::CommandOutcome;
pub use merge::merge_lines;
pub use plot::plot_timeline;
