//! The journal's threads: one reader a stream, one that decides, one that appends.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError};

use super::message::{JournalAction, JournalEvent, LogRecord};
use super::state::JournalState;
use super::{LogError, PlatformLog, Stream, CONFIGURATION, STREAMS};
use crate::clock::Clock;
use crate::contract::View;
use crate::metrics::Metrics;
use crate::ring::{ring, spawn_duty, RingSender};
use crate::settings::journal::JournalSettings;
use crate::types::Offset;

/// Takes new views and records of other streams.
pub trait JournalReader: Send {
    /// A new view is in force.
    fn view(&self, view: Arc<View>);
    /// A read of a stream other than the configuration ended; called for empty reads too.
    ///
    /// The read was sent at `asked_at`, so whatever was appended before then and is not yet
    /// handed over is among the records or at `next` and beyond.
    fn read_ended(&self, stream: Stream, asked_at: Instant, records: Vec<LogRecord>, next: Offset);
}

/// What the journal needs of the world.
pub struct JournalContext {
    /// Its settings.
    pub settings: JournalSettings,
    /// The platform's log.
    pub log: Arc<dyn PlatformLog>,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Counters.
    pub metrics: Metrics,
    /// Where views and records go.
    pub readers: Vec<Box<dyn JournalReader>>,
}

/// Starts the journal's threads.
pub fn start(
    context: JournalContext,
    events: (RingSender<JournalEvent>, Receiver<JournalEvent>),
    stopping: Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let (sender, receiver) = events;
    let mut threads = Vec::new();
    for stream in STREAMS {
        let reader = Reader {
            stream,
            log: context.log.clone(),
            settings: context.settings.clone(),
            clock: context.clock.clone(),
            events: sender.clone(),
            stopping: stopping.clone(),
        };
        threads.push(spawn_duty(&format!("read-{stream}"), move || reader.run()));
    }
    let (append_sender, append_receiver) =
        ring("journal.append", APPEND_RING_COUNT, &context.metrics);
    let log = context.log.clone();
    let metrics = context.metrics.clone();
    threads.push(spawn_duty("append", move || {
        append_all(&*log, &append_receiver, &metrics)
    }));
    threads.push(spawn_duty("journal", move || {
        decide(context, &receiver, &append_sender)
    }));
    threads
}

const APPEND_RING_COUNT: usize = 256;

struct Reader {
    stream: Stream,
    log: Arc<dyn PlatformLog>,
    settings: JournalSettings,
    clock: Arc<dyn Clock>,
    events: RingSender<JournalEvent>,
    stopping: Arc<AtomicBool>,
}

impl Reader {
    fn run(&self) {
        let wait = Duration::from_millis(self.settings.wait_ms);
        let retry = Duration::from_millis(self.settings.retry_ms);
        let mut from = 0;
        while !self.stopping.load(Ordering::Relaxed) {
            let asked_at = self.clock.now();
            let result = self
                .log
                .read(self.stream, from, self.settings.batch_count, wait);
            let failed = result.is_err();
            match &result {
                Ok(batch) => from = batch.next,
                Err(LogError::Truncated(first)) if self.stream != CONFIGURATION => from = *first,
                Err(_) => {}
            }
            self.events.deliver(JournalEvent::Read {
                stream: self.stream,
                asked_at,
                result,
            });
            if failed {
                std::thread::sleep(retry);
            }
        }
    }
}

fn append_all(log: &dyn PlatformLog, appends: &Receiver<(Stream, String)>, metrics: &Metrics) {
    for (stream, body) in appends {
        if let Err(error) = log.append(stream, &body) {
            metrics.count("journal.append.failed");
            log::debug!("append to {stream}: {error}");
        }
    }
}

fn decide(
    context: JournalContext,
    events: &Receiver<JournalEvent>,
    appends: &RingSender<(Stream, String)>,
) {
    let mut state = JournalState::default();
    loop {
        let event = match events.recv_timeout(IDLE) {
            Ok(JournalEvent::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => continue,
            Ok(event) => event,
        };
        for action in state.handle(context.clock.now(), event) {
            carry_out(&context, appends, action);
        }
    }
}

const IDLE: Duration = Duration::from_secs(60);

fn carry_out(
    context: &JournalContext,
    appends: &RingSender<(Stream, String)>,
    action: JournalAction,
) {
    match action {
        JournalAction::Publish(view) => {
            for reader in &context.readers {
                reader.view(view.clone());
            }
        }
        JournalAction::Hand {
            stream,
            asked_at,
            records,
            next,
        } => {
            for reader in &context.readers {
                reader.read_ended(stream, asked_at, records.clone(), next);
            }
        }
        JournalAction::Append { stream, body } => {
            if appends.offer((stream, body)).is_err() {
                context.metrics.count("journal.append.refused");
            }
        }
        JournalAction::Count(name) => context.metrics.count(name),
        JournalAction::Reachable(true) => log::info!("the platform's log answers again"),
        JournalAction::Reachable(false) => log::warn!("the platform's log does not answer"),
    }
}
