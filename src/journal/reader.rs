//! The threads that read streams of the platform's log.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Receiver;

use super::message::{JournalEvent, ReaderCommand};
use super::{checkpoint, LogError, PlatformLog, Stream, CONFIGURATION};
use crate::clock::Clock;
use crate::ring::RingSender;
use crate::settings::journal::JournalSettings;
use crate::types::Offset;

/// Reads a stream continuously, starting with its oldest record.
pub(super) struct StreamReader {
    pub(super) stream: Stream,
    pub(super) log: Arc<dyn PlatformLog>,
    pub(super) settings: JournalSettings,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) events: RingSender<JournalEvent>,
    pub(super) stopping: Arc<AtomicBool>,
}

impl StreamReader {
    /// Reads until `stopping` is set. Each read delivers one event to the journal; a failed one is
    /// repeated after `retry_ms`.
    pub(super) fn run(&self) {
        let wait = Duration::from_millis(self.settings.wait_ms);
        let mut from = 0;
        while !self.stopping.load(Ordering::Relaxed) {
            let asked_at = self.clock.now();
            let asked_from = from;
            let result = self
                .log
                .read(self.stream, from, self.settings.batch_count, wait);
            let failed = match &result {
                Ok(batch) => {
                    from = batch.next;
                    false
                }
                Err(LogError::Truncated(first)) => {
                    from = *first;
                    false
                }
                Err(_) => true,
            };
            self.events.deliver(JournalEvent::ReadEnded {
                stream: self.stream,
                asked_at,
                from: asked_from,
                result,
            });
            if failed {
                std::thread::sleep(Duration::from_millis(self.settings.retry_ms));
            }
        }
    }
}

/// Reads the configuration as the journal commands. Each command is answered by one event.
pub(super) struct ConfigurationReader {
    pub(super) log: Arc<dyn PlatformLog>,
    pub(super) settings: JournalSettings,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) events: RingSender<JournalEvent>,
}

impl ConfigurationReader {
    /// Runs commands until the ring closes, and delivers one event for each.
    pub(super) fn run(&self, commands: &Receiver<ReaderCommand>) {
        for command in commands {
            let event = match command {
                ReaderCommand::Read { from, pause } => self.read(from, pause),
                ReaderCommand::FindCheckpoint => self.find_checkpoint(),
            };
            self.events.deliver(event);
        }
    }

    /// Reads the configuration once, after `retry_ms` when `pause` is set.
    fn read(&self, from: Offset, pause: bool) -> JournalEvent {
        if pause {
            std::thread::sleep(Duration::from_millis(self.settings.retry_ms));
        }
        let wait = Duration::from_millis(self.settings.wait_ms);
        let asked_at = self.clock.now();
        let result = self
            .log
            .read(CONFIGURATION, from, self.settings.batch_count, wait);
        JournalEvent::ReadEnded {
            stream: CONFIGURATION,
            asked_at,
            from,
            result,
        }
    }

    /// Searches the log for a checkpoint. A failed search counts as none found.
    fn find_checkpoint(&self) -> JournalEvent {
        let text = match checkpoint::find(&*self.log, self.settings.batch_count) {
            Ok(text) => text,
            Err(error) => {
                log::debug!("search for a checkpoint failed: {error}");
                None
            }
        };
        JournalEvent::CheckpointSearchEnded { text }
    }
}
