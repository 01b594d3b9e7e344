//! Compares a whole session of an operator and a caller with a golden file.

mod support;

use std::fmt::Write as _;
use std::process::Output;

use rustix::process::Signal;
use support::{SystemSize, TestSystem};

const SIZE: SystemSize = SystemSize { entries: 3, endpoints: 6, slots: 2, service_ms: 5 };

/// Formats the output of a command without the fields that differ on every run.
fn transcript(system: &TestSystem, command: &str, output: &Output) -> String {
    let mut text = format!("$ jackdawctl {command}\n");
    for stream in [&output.stdout, &output.stderr] {
        for line in system.redact(&String::from_utf8_lossy(stream)).lines() {
            let kept: Vec<&str> = line
                .split(' ')
                .filter(|word| {
                    !["digest=", "accept-id=", "at="].iter().any(|key| word.starts_with(key))
                })
                .collect();
            let _ = writeln!(text, "{}", kept.join(" "));
        }
    }
    let _ = writeln!(text, "exit {}\n", output.status.code().unwrap_or(-1));
    text
}

fn response_line(label: &str, response: &(u16, String, String)) -> String {
    format!("> {label}\n{} outcome={} {}\n", response.0, response.1, response.2.trim_end())
}

#[tokio::test]
async fn a_session_of_an_operator_and_a_caller_matches_the_golden_file() {
    let mut system = TestSystem::start_without_rules("session", SIZE);
    let mut text = String::new();
    let rules = system.rules(SIZE);
    let good = system.write_rules("day.rules", &rules).display().to_string();
    let bad_rules =
        rules.replace("cap", "").replace("timeout 3s  # counter team: lookups", "timeout 3");
    let bad = system.write_rules("bad.rules", &bad_rules).display().to_string();

    let output = system.ctl(&["check", &bad]);
    text += &transcript(&system, "check bad.rules", &output).replace(&bad, "bad.rules");
    let output = system.ctl(&["accept", "--note", "first day", &good]);
    text += &transcript(&system, "accept day.rules", &output);
    system.wait_all_owned(SIZE.endpoints).await;

    text += &response_line("GET /ledger/balance", &system.get(0, "/ledger/balance?card=7").await);
    let ticket = system.ticket(1).await;
    let first = system.refund(1, &ticket, "{\"pay\":3}").await;
    text += &response_line("POST /ledger/refunds with a ticket", &first);
    let again = system.refund(2, &ticket, "{\"pay\":3}").await;
    text += &response_line("the same again, at another entry", &again);
    let own = system.refund(0, "my-own-key", "{\"pay\":4}").await;
    text += &response_line("POST /ledger/refunds with an own key", &own);
    let own = system.refund(1, "my-own-key", "{\"pay\":4}").await;
    text += &response_line("the same again, at another entry", &own);
    text += &response_line("POST without a key", &system.refund(0, "", "{}").await);
    text += &response_line("GET /ledger/nothing", &system.get(0, "/ledger/nothing").await);

    let target = system.upstreams[0].address.to_string();
    let output = system.ctl(&["drain", "--note", "maintenance", &target]);
    text += &transcript(&system, "drain <upstream-0>", &output);
    system.wait_version(&[0, 1, 2], 2).await;
    let output = system.ctl(&["accept", "--base", "1", &good]);
    text += &transcript(&system, "accept --base 1 day.rules", &output);
    let output = system.ctl(&["undrain", "--note", "done", &target]);
    text += &transcript(&system, "undrain <upstream-0>", &output);
    let output = system.ctl(&["log"]);
    text += &transcript(&system, "log", &output);

    for entry in &mut system.entries {
        entry.signal(Signal::TERM);
    }
    for entry in &mut system.entries {
        assert!(entry.wait_exit().await, "an entry did not stop gracefully");
    }
    insta::assert_snapshot!("day", text);
}
