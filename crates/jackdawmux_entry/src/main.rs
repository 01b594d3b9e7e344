//! Runs one entry instance until it is told to stop.

use std::process::ExitCode;

fn main() -> ExitCode {
    jackdawmux_entry::process::run()
}
