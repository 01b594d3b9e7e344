//! Runs the `jackdawctl` command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    jackdawmux_ctl::run()
}
