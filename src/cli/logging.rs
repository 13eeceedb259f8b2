//! The log of the process: one JSON object a line on standard output.
//!
//! Lines go through a bounded ring to one writer, so that no duty waits for a slow reader. Lines
//! that find the ring full are counted, and the next line that fits tells how many were lost.

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

/// Lines that may wait for the writer.
const LINE_RING_COUNT: usize = 4096;
/// Longest wait for the last lines when the process ends.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// Lines that are kept until standard output is free for them.
pub struct BufferedLines {
    lines: Receiver<Line>,
    incarnation: Arc<AtomicU64>,
}

impl BufferedLines {
    /// Writes the lines from now on, those of this life of the daemon.
    pub fn write(self, incarnation: Incarnation) {
        self.incarnation.store(incarnation, Ordering::Relaxed);
        spawn_duty("log", move || write_lines(&self.lines));
    }
}

/// Starts logging for a daemon as the settings ask. Lines are kept until they may be written.
pub fn start(settings: &LogSettings, daemon: &DaemonId) -> eyre::Result<BufferedLines> {
    let level = settings.level().unwrap_or(log::LevelFilter::Info);
    let (lines, waiting) = bounded(LINE_RING_COUNT);
    let incarnation = Arc::new(AtomicU64::new(0));
    let writer = RingWriter {
        daemon: daemon.clone(),
        incarnation: incarnation.clone(),
        lines,
        lost_count: AtomicU64::new(0),
    };
    fern::Dispatch::new()
        .level(level)
        .level_for("attohttpc", log::LevelFilter::Warn)
        .level_for("tiny_http", log::LevelFilter::Warn)
        .chain(Box::new(writer) as Box<dyn Log>)
        .apply()?;
    Ok(BufferedLines {
        lines: waiting,
        incarnation,
    })
}

enum Line {
    Text(String),
    Flush(Sender<()>),
}

struct RingWriter {
    daemon: DaemonId,
    /// The life of the daemon; 0 before it is known.
    incarnation: Arc<AtomicU64>,
    lines: Sender<Line>,
    /// Lines that found the ring full since the last one that did not.
    lost_count: AtomicU64,
}

impl Log for RingWriter {
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
        let (done, ended) = bounded(1);
        if self.lines.try_send(Line::Flush(done)).is_ok() {
            // A reader that has stopped must not hold the process.
            let _ = ended.recv_timeout(FLUSH_LIMIT);
        }
    }
}

fn write_lines(lines: &Receiver<Line>) {
    for line in lines {
        match line {
            // Nobody is left to tell if standard output is closed.
            Line::Text(text) => drop(std::io::stdout().write_all(text.as_bytes())),
            Line::Flush(done) => drop(done.send(())),
        }
    }
}

impl RingWriter {
    /// The record as JSON: time, daemon, life, level, thread, event or text, and its fields.
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
        // The visitor below never fails.
        let _ = record.key_values().visit(&mut FieldVisitor(&mut fields));
        let mut line = serde_json::Value::Object(fields).to_string();
        line.push('\n');
        line
    }
}

struct FieldVisitor<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = serde_json::to_value(&value);
        let value = text.unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
