//! The platform's log in memory, for one stream.

use std::time::Instant;

use crate::allowance::EscrowRecord;
use crate::types::Offset;

/// A reader that waits for records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogReader {
    /// The daemon.
    pub daemon: usize,
    /// Its process, counted by the network.
    pub process: u64,
    /// First offset wanted.
    pub from: Offset,
    /// When the read was sent.
    pub asked_at: Instant,
    /// When it is answered without records.
    pub until: Instant,
}

/// The log.
#[derive(Debug, Default)]
pub struct EscrowLog {
    /// Whether it does not answer.
    pub down: bool,
    records: Vec<EscrowRecord>,
    waiting: Vec<LogReader>,
}

impl EscrowLog {
    /// Appends a record, and gives the readers that are to be answered. A log that is down
    /// loses the record.
    pub fn append(&mut self, record: EscrowRecord) -> Vec<LogReader> {
        if self.down {
            return Vec::new();
        }
        self.records.push(record);
        std::mem::take(&mut self.waiting)
    }

    /// Records from an offset on.
    pub fn read(&self, from: Offset) -> Vec<(Offset, Option<EscrowRecord>)> {
        let from = from as usize;
        let records = self.records.iter().enumerate().skip(from);
        records
            .map(|(offset, record)| (offset as Offset, Some(record.clone())))
            .collect()
    }

    /// Whether there is a record at this offset or beyond.
    pub fn has(&self, from: Offset) -> bool {
        (from as usize) < self.records.len()
    }

    /// Lets a reader wait.
    pub fn wait(&mut self, reader: LogReader) {
        self.waiting.push(reader);
    }

    /// Takes back a reader whose wait is over, unless it was answered.
    pub fn give_up(&mut self, reader: &LogReader) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting != reader);
        self.waiting.len() < before
    }

    /// Records appended so far.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }
}
