//! Log lines on standard output: time, level, the part's name, and fields.
//!
//! A line waits in a bounded queue for the thread that writes it, so that
//! nobody waits for the output. Lines that find no room are counted, and the
//! count is written once there is room again.

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

/// Pattern of a line; the part's name is the log target.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l:5} {t}: {m}{n}";
/// Lines that may wait: some seconds of a box under load, under 1 MB.
const QUEUE_LEN: usize = 4096;
/// Longest time that the end of the process waits for its last lines.
const FLUSH_TIME: Duration = Duration::from_millis(200);
/// How often it looks.
const FLUSH_POLL: Duration = Duration::from_millis(2);

/// Hands lines to the thread that writes them.
#[derive(Debug)]
struct Queue {
    encoder: PatternEncoder,
    lines: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

/// Lines that were handed over, written and lost.
#[derive(Debug, Default)]
struct Counts {
    queued: AtomicU64,
    written: AtomicU64,
    lost: AtomicU64,
}

impl Append for Queue {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        match self.lines.try_send(line.0) {
            Ok(()) => self.counts.queued.fetch_add(1, Ordering::Relaxed),
            Err(_) => self.counts.lost.fetch_add(1, Ordering::Relaxed),
        };
        Ok(())
    }

    /// Waits a little until all lines are written, for the end of the process.
    fn flush(&self) {
        let until = Instant::now() + FLUSH_TIME;
        let written = || self.counts.written.load(Ordering::Relaxed);
        while written() < self.counts.queued.load(Ordering::Relaxed) && Instant::now() < until {
            std::thread::sleep(FLUSH_POLL);
        }
    }
}

/// Starts to log to standard output.
///
/// # Errors
/// Fails when the process logs already, or no thread can be had.
pub fn start(level: LevelFilter) -> Result<()> {
    let (lines, waiting) = sync_channel(QUEUE_LEN);
    let counts = Arc::new(Counts::default());
    let queue = Queue { encoder: PatternEncoder::new(PATTERN), lines, counts: counts.clone() };
    let appender = Appender::builder().build("queue", Box::new(queue));
    let root = Root::builder().appender("queue").build(level);
    let config = Config::builder().appender(appender).build(root);
    let config = config.map_err(|error| Error::Usage(error.to_string()))?;
    log4rs::init_config(config).map_err(|error| Error::Usage(error.to_string()))?;
    let thread = std::thread::Builder::new().name("log".to_owned());
    let started = thread.spawn(move || write(&waiting, &counts));
    started.map(drop).map_err(|error| Error::Usage(error.to_string()))
}

fn write(waiting: &Receiver<Vec<u8>>, counts: &Counts) {
    let mut output = std::io::stdout();
    while let Ok(mut bytes) = waiting.recv() {
        let mut lines = 1;
        for line in waiting.try_iter() {
            bytes.extend(line);
            lines += 1;
        }
        let lost = counts.lost.swap(0, Ordering::Relaxed);
        if lost > 0 {
            bytes.extend_from_slice(format!("event=lines_lost count={lost}\n").as_bytes());
        }
        // When nobody reads the output there is nobody to tell.
        let _ = output.write_all(&bytes).and_then(|()| output.flush());
        counts.written.fetch_add(lines, Ordering::Relaxed);
    }
}
