//! Merges log files of several processes in the order of time.

use std::path::{Path, PathBuf};

use crate::exit::CommandOutcome;

/// Prints the lines of log files in the order of time. With `only`, lines that do not contain this
/// text are left out.
pub(crate) fn merge_logs(files: &[PathBuf], only: Option<&str>) -> CommandOutcome {
    let mut lines = Vec::new();
    for file in files {
        match read_lines(file) {
            Ok(more) => lines.extend(more),
            Err(error) => {
                eprintln!("error: step=read peer={} error={error}", file.display());
                return CommandOutcome::Refused;
            }
        }
    }
    for line in merge_lines(lines, only) {
        println!("{line}");
    }
    CommandOutcome::Done
}

fn read_lines(file: &Path) -> std::io::Result<Vec<String>> {
    Ok(std::fs::read_to_string(file)?.lines().map(str::to_owned).collect())
}

/// Sorts lines by their `time=` field, whose RFC 3339 times sort as text. Lines without the field
/// are left out, as are lines that do not contain `only`.
#[must_use]
pub fn merge_lines(lines: Vec<String>, only: Option<&str>) -> Vec<String> {
    let mut timed: Vec<(String, String)> = lines
        .into_iter()
        .filter(|line| only.is_none_or(|text| line.contains(text)))
        .filter_map(|line| Some((time_field(&line)?.to_owned(), line)))
        .collect();
    // The sort is stable, so lines of one process keep their order within a millisecond.
    timed.sort_by(|left, right| left.0.cmp(&right.0));
    timed.into_iter().map(|(_time, line)| line).collect()
}

fn time_field(line: &str) -> Option<&str> {
    line.split(' ').find_map(|field| field.strip_prefix("time="))
}
