//! Log lines that are queued when a process ends.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use jackdawmux_runtime::LogWriter;

/// Output that keeps what is written, or never takes it.
#[derive(Clone, Default)]
struct TestOutput {
    text: Arc<Mutex<Vec<u8>>>,
    is_stuck: bool,
}

impl Write for TestOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.is_stuck {
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
fn the_last_line_is_written_before_the_end() {
    let output = TestOutput::default();
    let mut writer = LogWriter::spawn(output.clone()).expect("a thread");
    let drain = writer.drain();
    writer.write_all(b"event=stopped\n").expect("it is queued");
    drop(drain);
    assert_eq!(*output.text.lock().expect("no writer panicked"), b"event=stopped\n");
}

#[test]
fn a_reader_that_stalls_does_not_keep_the_process() {
    let output = TestOutput { is_stuck: true, ..TestOutput::default() };
    let mut writer = LogWriter::spawn(output).expect("a thread");
    let drain = writer.drain();
    writer.write_all(b"event=stopped\n").expect("it is queued");
    let begun = Instant::now();
    drop(drain);
    assert!(begun.elapsed() < Duration::from_secs(1));
}
