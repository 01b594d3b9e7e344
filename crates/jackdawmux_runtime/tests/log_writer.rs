//! Log lines that are still queued when a process exits.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use jackdawmux_runtime::LogWriter;

/// Output that stores what is written, or blocks forever.
#[derive(Clone, Default)]
struct TestOutput {
    text: Arc<Mutex<Vec<u8>>>,
    is_blocked: bool,
}

impl Write for TestOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.is_blocked {
            std::thread::park();
        }
        self.text.lock().expect("no writer panicked").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn queued_line_is_written_on_drop() {
    let output = TestOutput::default();
    let mut writer = LogWriter::spawn(output.clone()).expect("the thread starts");
    let drain = writer.drain();
    writer.write_all(b"event=stopped\n").expect("the line is queued");
    drop(drain);
    assert_eq!(*output.text.lock().expect("no writer panicked"), b"event=stopped\n");
}

#[test]
fn stalled_reader_does_not_delay_exit() {
    let output = TestOutput { is_blocked: true, ..TestOutput::default() };
    let mut writer = LogWriter::spawn(output).expect("the thread starts");
    let drain = writer.drain();
    writer.write_all(b"event=stopped\n").expect("the line is queued");
    let started = Instant::now();
    drop(drain);
    assert!(started.elapsed() < Duration::from_secs(1));
}
