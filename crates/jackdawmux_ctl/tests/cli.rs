//! The command line without a running system: exit codes, errors in rules, and the chart and merged
//! logs of `timeline`.

use std::path::PathBuf;
use std::process::{Command, Output};

use jackdawmux_ctl::plot_timeline;
use jackdawmux_entry::process::TimelineEvent;
use jackdawmux_policy::hlc::HybridTimestamp;
use rstest::rstest;

fn ctl(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_jackdawctl"))
        .env_remove("JACKDAWMUX_STORE")
        .args(arguments)
        .output()
        .expect("jackdawctl runs")
}

fn temp_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("jackdawctl-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the file is written");
    path
}

const GOOD: &str = "region north domains north-a  # Min-ji: sites\n";

#[rstest]
#[case::help(&["--help"], 0)]
#[case::no_command(&[], 2)]
#[case::unknown_command(&["destroy"], 2)]
#[case::unknown_output_format(&["--output", "xml", "log"], 2)]
#[case::no_store(&["log"], 2)]
#[case::missing_file(&["check", "/nowhere/at.all"], 1)]
#[case::store_unreachable(&["--store", "http://127.0.0.1:9", "log"], 1)]
fn exit_codes(#[case] arguments: &[&str], #[case] code: i32) {
    let output = ctl(arguments);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
}

#[test]
fn check_counts_rules_and_explains_errors() {
    let good = temp_file("good.rules", GOOD);
    let output = ctl(&["--output", "json", "check", &good.display().to_string()]);
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).contains("\"rules\": 1"));
    let bad = temp_file("bad.rules", &GOOD.replace("# Min-ji: sites", ""));
    let output = ctl(&["check", &bad.display().to_string()]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("no comment naming who asked") && text.contains("help:"), "{text}");
    for path in [good, bad] {
        std::fs::remove_file(path).expect("the file is removed");
    }
}

#[test]
fn accept_without_store_changes_nothing() {
    let good = temp_file("accept.rules", GOOD);
    let path = good.display().to_string();
    let output = ctl(&["--store", "http://127.0.0.1:9", "accept", &path]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("nothing was changed"));
    std::fs::remove_file(good).expect("the file is removed");
}

#[test]
fn chart_labels_instances_and_event_kinds() {
    let event = |instance: &str, kind: &str, wall_ms| TimelineEvent {
        stamp: HybridTimestamp { wall_ms, logical: 0 },
        instance: instance.to_owned(),
        kind: kind.to_owned(),
        fields: Vec::new(),
    };
    let events = [
        event("entry-0", "started", 1_000),
        event("entry-1", "started", 1_200),
        event("entry-1", "joined", 1_900),
        event("entry-0", "joined", 2_400),
        event("entry-0", "lease-held", 2_500),
    ];
    let path = temp_file("timeline.svg", "");
    plot_timeline(&path, &events).expect("the chart is drawn");
    let chart = std::fs::read_to_string(&path).expect("the chart is read");
    for word in ["entry-0", "entry-1", "lease-held", "seconds"] {
        assert!(chart.contains(word), "{word} is missing");
    }
    std::fs::remove_file(path).expect("the chart is removed");
}

#[test]
fn logs_of_several_processes_are_merged_by_time() {
    let first = temp_file(
        "one.log",
        "time=2026-08-28T05:21:47.702Z process=a event=request request=7\nno time\n\
         time=2026-08-28T05:21:49.000Z process=a event=request request=8\n",
    );
    let second =
        temp_file("two.log", "time=2026-08-28T05:21:48.100Z process=b event=request request=7\n");
    let paths = [first, second].map(|path| path.display().to_string());
    let output = ctl(&["timeline", "--log", &paths[1], "--log", &paths[0], "--only", "request=7"]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let text = String::from_utf8_lossy(&output.stdout);
    let processes: Vec<&str> = text.lines().filter_map(|line| line.split(' ').nth(1)).collect();
    assert_eq!(processes, ["process=a", "process=b"], "{text}");
}
