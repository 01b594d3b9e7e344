//! Scripts of this review: `case NAME RECORD`. Exits with 1 if the rule was broken, 0 if it held and
//! 2 if the case could not run.

mod harness;
mod rolling_cold;
mod slow_client;
mod stray_head;

use std::process::ExitCode;

use stray_head::Aim;

/// Which disruptions a run has.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// Whether there is any.
    pub is_on: bool,
    /// Whether the front gets SIGTERM.
    pub has_stop: bool,
    /// Whether clients read slowly.
    pub has_slow_reader: bool,
}

impl Trouble {
    /// `TROUBLE=0`: none; `stop` or `slow`: only one of them; otherwise both.
    fn read() -> Self {
        let text = std::env::var("TROUBLE").unwrap_or_default();
        let (has_stop, has_slow_reader) = match text.as_str() {
            "0" => (false, false),
            "stop" => (true, false),
            "slow" => (false, true),
            _ => (true, true),
        };
        Self { is_on: text != "0", has_stop, has_slow_reader }
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = arguments.as_slice() else {
        harness::cannot_run("usage: case NAME RECORD");
    };
    let (trouble, record) = (Trouble::read(), harness::Record::start());
    record.add(format!("{name} {trouble:?}"));
    let breaks = match name.as_str() {
        "rolling-cold" => rolling_cold::run(trouble, &record),
        "slow-client" => slow_client::run(trouble, &record),
        "stray-head-twice" => stray_head::run(Aim::Twice, trouble, &record),
        "stray-head-mixed" => stray_head::run(Aim::Mixed, trouble, &record),
        _ => harness::cannot_run("no such case"),
    };
    for text in &breaks {
        record.add(format!("BROKEN  {text}"));
        println!("broken: {text}");
    }
    record.add(format!("breaks of the rule: {}", breaks.len()));
    println!("breaks of the rule: {}", breaks.len());
    if record.save(path).is_err() {
        harness::cannot_run("the record could not be written");
    }
    if breaks.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) }
}
