//! Log lines go to standard output through a bounded queue: a reader that stalls, or a burst of
//! lines, never blocks the process. Lines that are left out are counted and the count is logged.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that wait for the writer.
const QUEUE_LINES: usize = 2_048;
/// Time for which lines are gathered into one write.
const GATHER_PERIOD: Duration = Duration::from_millis(100);
/// Longest wait for the queue to be written when the process ends.
const DRAIN_LONGEST: Duration = Duration::from_millis(300);
/// Most lines a second; a second's worth may come at once.
const LINES_PER_SECOND: u64 = 300;

/// What waits for the writer's thread.
#[derive(Debug)]
enum QueueItem {
    Line(Vec<u8>),
    /// The sender is told when everything before this is written.
    Drain(SyncSender<()>),
}

/// The writer that the logging library is given.
#[derive(Debug)]
pub struct LogWriter {
    lines: SyncSender<QueueItem>,
    dropped: Arc<AtomicU64>,
    window: Instant,
    used: u64,
}

impl LogWriter {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    /// When no thread can be started.
    pub fn spawn(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 * 1024)
            .spawn(move || write_all(&queue, &counter, output))?;
        Ok(Self { lines, dropped, window: Instant::now(), used: 0 })
    }

    /// A handle that writes out what is queued when the process ends.
    #[must_use]
    pub fn drain(&self) -> LogDrain {
        LogDrain { lines: self.lines.clone() }
    }

    fn is_within_rate(&mut self) -> bool {
        if self.window.elapsed() >= Duration::from_secs(1) {
            self.window = Instant::now();
            self.used = 0;
        }
        self.used += 1;
        self.used <= LINES_PER_SECOND
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !self.is_within_rate() || self.lines.try_send(QueueItem::Line(line.to_vec())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes out what is queued when it is dropped; waits for it a fraction of a second at most.
#[derive(Debug)]
pub struct LogDrain {
    lines: SyncSender<QueueItem>,
}

impl Drop for LogDrain {
    fn drop(&mut self) {
        let (done, written) = sync_channel(1);
        // A queue that is full or whose thread has ended cannot be waited for.
        if self.lines.try_send(QueueItem::Drain(done)).is_ok() {
            let _written_or_late = written.recv_timeout(DRAIN_LONGEST);
        }
    }
}

/// Lines that are written together.
#[derive(Debug, Default)]
struct LineBatch {
    text: Vec<u8>,
    waiting: Vec<SyncSender<()>>,
}

impl LineBatch {
    fn add(&mut self, item: QueueItem) {
        match item {
            QueueItem::Line(line) => self.text.extend_from_slice(&line),
            QueueItem::Drain(done) => self.waiting.push(done),
        }
    }

    /// Gathers for a while, so that a burst of lines costs one wake-up and one write.
    fn gather(first: QueueItem, queue: &Receiver<QueueItem>) -> Self {
        let mut batch = Self::default();
        batch.add(first);
        thread::sleep(GATHER_PERIOD);
        while let Ok(item) = queue.try_recv() {
            batch.add(item);
        }
        batch
    }
}

fn write_all(queue: &Receiver<QueueItem>, dropped: &AtomicU64, mut output: impl Write) {
    while let Ok(first) = queue.recv() {
        let mut batch = LineBatch::gather(first, queue);
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let note = format!("level=WARN event=log-lines-dropped count={count}\n");
            batch.text.extend_from_slice(note.as_bytes());
        }
        // Without standard output there is nowhere to report to.
        if output.write_all(&batch.text).and_then(|()| output.flush()).is_err() {
            return;
        }
        for done in batch.waiting {
            // Nobody waits any longer.
            let _gone = done.send(());
        }
    }
}

/// Sets up logging to standard output: one line of key=value pairs for each event. What is queued
/// is written out when the handle is dropped, so the process keeps it to its end.
///
/// # Errors
/// When the writer's thread cannot be started.
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
