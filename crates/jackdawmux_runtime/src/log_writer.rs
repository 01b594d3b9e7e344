//! Writes log lines to standard output through a bounded, rate-limited queue, so that neither a
//! stalled reader nor a burst of lines blocks the process. Dropped lines are counted and the count
//! is logged.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of lines queued for the writer thread.
const MAX_QUEUED_LINES: usize = 2_048;
/// Time for which lines are batched into one write.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time to wait for queued lines to be written when the process exits.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of lines per one-second window. All of them may arrive at once.
const MAX_LINES_PER_SECOND: u64 = 300;

/// Item in the queue of the writer thread.
#[derive(Debug)]
enum QueueItem {
    Line(Vec<u8>),
    /// Notifies the sender once all earlier items are written.
    Drain(SyncSender<()>),
}

/// Writer passed to the logging library. It never blocks: a line above the rate limit, or that
/// finds the queue full, is dropped.
#[derive(Debug)]
pub struct LogWriter {
    lines: SyncSender<QueueItem>,
    dropped: Arc<AtomicU64>,
    window_start: Instant,
    lines_in_window: u64,
}

impl LogWriter {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    /// When the thread cannot be started.
    pub fn spawn(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 * 1024)
            .spawn(move || write_batches(&queue, &counter, output))?;
        Ok(Self { lines, dropped, window_start: Instant::now(), lines_in_window: 0 })
    }

    /// Returns a handle that waits for queued lines to be written when it is dropped.
    #[must_use]
    pub fn drain(&self) -> LogDrain {
        LogDrain { lines: self.lines.clone() }
    }

    /// Counts a line and returns whether it is within the rate limit.
    fn count_line(&mut self) -> bool {
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            self.window_start = Instant::now();
            self.lines_in_window = 0;
        }
        self.lines_in_window += 1;
        self.lines_in_window <= MAX_LINES_PER_SECOND
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !self.count_line() || self.lines.try_send(QueueItem::Line(line.to_vec())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Waits, when dropped, until all queued lines are written, for at most `DRAIN_TIMEOUT`.
#[derive(Debug)]
pub struct LogDrain {
    lines: SyncSender<QueueItem>,
}

impl Drop for LogDrain {
    fn drop(&mut self) {
        let (done, written) = sync_channel(1);
        // When the queue is full or the writer thread has ended, there is nothing to wait for.
        if self.lines.try_send(QueueItem::Drain(done)).is_ok() {
            let _written_or_timed_out = written.recv_timeout(DRAIN_TIMEOUT);
        }
    }
}

/// Lines that are written in one write.
#[derive(Debug, Default)]
struct LineBatch {
    text: Vec<u8>,
    drains: Vec<SyncSender<()>>,
}

impl LineBatch {
    fn add(&mut self, item: QueueItem) {
        match item {
            QueueItem::Line(line) => self.text.extend_from_slice(&line),
            QueueItem::Drain(done) => self.drains.push(done),
        }
    }

    /// Collects lines for `BATCH_INTERVAL`, so that a burst costs one wake-up and one write.
    fn collect(first: QueueItem, queue: &Receiver<QueueItem>) -> Self {
        let mut batch = Self::default();
        batch.add(first);
        thread::sleep(BATCH_INTERVAL);
        while let Ok(item) = queue.try_recv() {
            batch.add(item);
        }
        batch
    }
}

fn write_batches(queue: &Receiver<QueueItem>, dropped: &AtomicU64, mut output: impl Write) {
    while let Ok(first) = queue.recv() {
        let mut batch = LineBatch::collect(first, queue);
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let note = format!("level=WARN event=log-lines-dropped count={count}\n");
            batch.text.extend_from_slice(note.as_bytes());
        }
        // When the output fails, there is nowhere to report the error.
        if output.write_all(&batch.text).and_then(|()| output.flush()).is_err() {
            return;
        }
        for done in batch.drains {
            // Fails when the wait has timed out.
            let _timed_out = done.send(());
        }
    }
}

/// Sets up logging to standard output, one line of `key=value` pairs per event. Queued lines are
/// written when the returned handle is dropped, so the process keeps it until it exits.
///
/// # Errors
/// When the writer thread cannot be started.
pub fn init_logging(process: &str) -> io::Result<LogDrain> {
    let writer = LogWriter::spawn(io::stdout())?;
    let drain = writer.drain();
    let process = process.to_owned();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format(move |buffer, record| {
            let stamp = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            writeln!(
                buffer,
                "time={stamp} level={} process={process} {}",
                record.level(),
                record.args()
            )
        })
        .target(env_logger::Target::Pipe(Box::new(writer)))
        .init();
    Ok(drain)
}
