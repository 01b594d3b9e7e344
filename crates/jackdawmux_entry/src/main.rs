//! Runs one entry instance, or a front with the command `front`, until a stop signal arrives.

use std::process::ExitCode;

mod front;

fn main() -> ExitCode {
    if std::env::args_os().nth(1).is_some_and(|argument| argument == "front") {
        return front::run();
    }
    jackdawmux_entry::process::run()
}
