//! Runs one operator's command.

use std::process::ExitCode;

fn main() -> ExitCode {
    jackdawmux_ctl::run()
}
