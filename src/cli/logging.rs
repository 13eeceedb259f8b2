//! Logging of the process: one JSON object per line on standard output.
//!
//! Log calls put lines into a bounded ring that one thread writes out, so no duty waits for a slow
//! reader. Lines that find the ring full are dropped and counted; the next line that fits carries
//! the number of dropped lines.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use crossbeam::channel::{bounded, Receiver, Sender};
use log::kv::{Error, Key, Value, VisitSource};
use log::{Log, Metadata, Record};
use serde_json::Map;

use crate::clock::epoch_ms;
use crate::ring::spawn_duty;
use crate::settings::log::LogSettings;
use crate::types::{DaemonId, Incarnation};

/// Capacity of the ring, in lines.
const LINE_RING_COUNT: usize = 4096;
/// Longest wait for the last lines to be written when the process ends.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// Lines logged so far, kept in the ring until the writer thread is started.
pub struct BufferedLines {
    /// Receiving end of the ring.
    lines: Receiver<Line>,
    /// Incarnation that the logger writes into each line.
    incarnation: Arc<AtomicU64>,
}

impl BufferedLines {
    /// Starts the thread that writes the lines to standard output. Later lines carry `incarnation`.
    pub fn start_writer(self, incarnation: Incarnation) {
        self.incarnation.store(incarnation, Ordering::Relaxed);
        spawn_duty("log", move || write_lines(&self.lines));
    }
}

/// Installs the process's logger with the level of the settings. Lines are buffered until
/// [`BufferedLines::start_writer`] is called.
pub fn start(settings: &LogSettings, daemon: &DaemonId) -> eyre::Result<BufferedLines> {
    let level = settings.level().unwrap_or(log::LevelFilter::Info);
    let (lines, buffered) = bounded(LINE_RING_COUNT);
    let incarnation = Arc::new(AtomicU64::new(0));
    let logger = RingLogger {
        daemon: daemon.clone(),
        incarnation: incarnation.clone(),
        lines,
        lost_count: AtomicU64::new(0),
    };
    fern::Dispatch::new()
        .level(level)
        .level_for("attohttpc", log::LevelFilter::Warn)
        .level_for("tiny_http", log::LevelFilter::Warn)
        .chain(Box::new(logger) as Box<dyn Log>)
        .apply()?;
    Ok(BufferedLines {
        lines: buffered,
        incarnation,
    })
}

/// An entry of the ring to the writer thread.
enum Line {
    /// A log line that ends in a line feed.
    Text(String),
    /// Asks the writer to confirm that all earlier lines were written.
    Flush(Sender<()>),
}

/// The logger, which formats records and puts them into the ring.
struct RingLogger {
    /// Name of this daemon, the field `from` of each line.
    daemon: DaemonId,
    /// Incarnation of the daemon, the field `life` of each line; 0 before it is known.
    incarnation: Arc<AtomicU64>,
    /// Sending end of the ring.
    lines: Sender<Line>,
    /// Lines dropped since the last line that fitted into the ring.
    lost_count: AtomicU64,
}

impl Log for RingLogger {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let lost_count = self.lost_count.swap(0, Ordering::Relaxed);
        let line = Line::Text(self.json_line(record, lost_count));
        if self.lines.try_send(line).is_err() {
            self.lost_count.fetch_add(lost_count + 1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {
        let (done, flushed) = bounded(1);
        if self.lines.try_send(Line::Flush(done)).is_ok() {
            // A reader of standard output that has stopped must not block the end of the process.
            let _ = flushed.recv_timeout(FLUSH_LIMIT);
        }
    }
}

/// Writes lines to standard output until the ring is closed.
fn write_lines(lines: &Receiver<Line>) {
    for line in lines {
        match line {
            // If standard output is closed, there is nowhere to report the error.
            Line::Text(text) => drop(std::io::stdout().write_all(text.as_bytes())),
            Line::Flush(done) => drop(done.send(())),
        }
    }
}

impl RingLogger {
    /// Formats a record as a JSON object with its time, daemon, incarnation, level, thread, event
    /// and fields.
    fn json_line(&self, record: &Record<'_>, lost_count: u64) -> String {
        let mut fields = Map::new();
        let thread = std::thread::current();
        fields.insert("at_ms".to_owned(), epoch_ms(SystemTime::now()).into());
        fields.insert("from".to_owned(), (*self.daemon).into());
        let incarnation = self.incarnation.load(Ordering::Relaxed);
        fields.insert("life".to_owned(), incarnation.into());
        fields.insert("level".to_owned(), record.level().as_str().into());
        fields.insert("duty".to_owned(), thread.name().unwrap_or("-").into());
        fields.insert("event".to_owned(), record.args().to_string().into());
        if lost_count > 0 {
            fields.insert("lines_lost_before".to_owned(), lost_count.into());
        }
        // `FieldVisitor` never returns an error.
        let _ = record.key_values().visit(&mut FieldVisitor(&mut fields));
        let mut line = serde_json::Value::Object(fields).to_string();
        line.push('\n');
        line
    }
}

/// Collects the key-value pairs of a log record.
struct FieldVisitor<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = serde_json::to_value(&value);
        let value = text.unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
