//! Logging to standard output: time, level, log target and message.
//!
//! Lines go through a bounded queue to a thread that writes them, so that callers do not
//! block on the output. Lines that do not fit into the queue are dropped and counted; the
//! count is logged with the next lines.

use std::io::Write as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::writer::simple::SimpleWriter;

use crate::error::{Error, Result};

/// Pattern of a line; `{t}` is the log target.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:5} {t}: {m}{n}";
/// Longest line: longer ones are cut, since values from outside may have any length.
const MAX_LINE_BYTES: usize = 8192;
/// Capacity of the queue: some seconds of log lines of a box under load, in less than 1 MB.
const QUEUE_LEN: usize = 4096;
/// Maximum time for which the process waits at its exit for queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Polling period of that wait.
const FLUSH_POLL: Duration = Duration::from_millis(2);

/// Log appender that queues lines for the writer thread.
#[derive(Debug)]
struct QueueAppender {
    encoder: PatternEncoder,
    lines: SyncSender<Vec<u8>>,
    counts: Arc<LineCounts>,
}

/// Numbers of lines queued, written and dropped; dropped lines are counted since the
/// number was last logged.
#[derive(Debug, Default)]
struct LineCounts {
    queued: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        match self.lines.try_send(single_line(line.0)) {
            Ok(()) => self.counts.queued.fetch_add(1, Ordering::Relaxed),
            Err(_) => self.counts.dropped.fetch_add(1, Ordering::Relaxed),
        };
        Ok(())
    }

    /// Waits until all queued lines are written, at most for [`FLUSH_TIMEOUT`].
    fn flush(&self) {
        let until = Instant::now() + FLUSH_TIMEOUT;
        let written = || self.counts.written.load(Ordering::Relaxed);
        while written() < self.counts.queued.load(Ordering::Relaxed) && Instant::now() < until {
            std::thread::sleep(FLUSH_POLL);
        }
    }
}

/// Cuts a line that is too long, and escapes line breaks and other control characters within it: keys
/// and values from outside must not look like lines of this process.
fn single_line(bytes: Vec<u8>) -> Vec<u8> {
    let text = String::from_utf8_lossy(&bytes);
    let text = text.strip_suffix('\n').unwrap_or(&text);
    let is_escaped =
        |character: char| character.is_control() || matches!(character, '\u{2028}' | '\u{2029}');
    if text.len() <= MAX_LINE_BYTES && !text.contains(is_escaped) {
        return bytes;
    }
    let mut line = String::with_capacity(text.len().min(MAX_LINE_BYTES) + 64);
    for character in text.chars() {
        if line.len() >= MAX_LINE_BYTES {
            line.push_str("...");
            break;
        }
        if is_escaped(character) {
            line.extend(character.escape_default());
        } else {
            line.push(character);
        }
    }
    line.push('\n');
    line.into_bytes()
}

/// Starts logging to standard output.
///
/// # Errors
/// Fails when a logger is already installed or the writer thread cannot be started.
pub fn start(level: LevelFilter) -> Result<()> {
    let (lines, queued_lines) = sync_channel(QUEUE_LEN);
    let counts = Arc::new(LineCounts::default());
    let queue =
        QueueAppender { encoder: PatternEncoder::new(PATTERN), lines, counts: counts.clone() };
    let appender = Appender::builder().build("queue", Box::new(queue));
    let root = Root::builder().appender("queue").build(level);
    let config = Config::builder().appender(appender).build(root);
    let config = config.map_err(|error| Error::Usage(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| Error::Usage(error.to_string()))?;
    let thread = std::thread::Builder::new().name("log".to_owned());
    let started = thread.spawn(move || write_lines(&queued_lines, &counts));
    started.map(drop).map_err(|error| Error::Usage(error.to_string()))
}

fn write_lines(queued_lines: &Receiver<Vec<u8>>, counts: &LineCounts) {
    let mut output = std::io::stdout();
    while let Ok(mut bytes) = queued_lines.recv() {
        let mut lines = 1;
        for line in queued_lines.try_iter() {
            bytes.extend(line);
            lines += 1;
        }
        let dropped = counts.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            bytes.extend_from_slice(format!("event=lines_lost count={dropped}\n").as_bytes());
        }
        // An error is ignored: the failure could only be reported to the same output.
        let _ = output.write_all(&bytes).and_then(|()| output.flush());
        counts.written.fetch_add(lines, Ordering::Relaxed);
    }
}
