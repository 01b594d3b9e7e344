//! Record of what was sent, answered and run, which becomes `record.txt`.

use std::fmt::Write as _;
use std::sync::Mutex;
use std::time::Instant;

/// One line of the record.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Seconds since the start.
    pub at: f64,
    pub text: String,
}

pub struct Record {
    start: Instant,
    entries: Mutex<Vec<Entry>>,
}

impl Default for Record {
    fn default() -> Self {
        Self { start: Instant::now(), entries: Mutex::default() }
    }
}

impl Record {
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: impl Into<String>) {
        let entry = Entry { at: self.now(), text: text.into() };
        self.entries.lock().unwrap().push(entry);
    }

    /// Adds a line that is also printed.
    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:8.3} s  {text}", self.now());
        self.add(text);
    }

    /// Writes the record to a file, in the order of time.
    pub fn write(&self, path: &str) {
        let mut entries = self.entries.lock().unwrap().clone();
        entries.sort_by(|one, other| one.at.total_cmp(&other.at));
        let mut text = String::new();
        for entry in &entries {
            let _ = writeln!(text, "{:8.3} s  {}", entry.at, entry.text);
        }
        std::fs::write(path, text).expect("the record can be written");
    }
}
