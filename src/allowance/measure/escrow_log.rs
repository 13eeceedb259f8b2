//! In-memory replacement for the escrow stream of the platform's log.

use std::time::Instant;

use crate::allowance::EscrowRecord;
use crate::types::Offset;

/// A read of the log that may wait for records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogReader {
    /// Index of the daemon that reads.
    pub daemon: usize,
    /// Run of the daemon, counted from its starts.
    pub run: u64,
    /// First offset to be read.
    pub from: Offset,
    /// When the read was sent.
    pub asked_at: Instant,
    /// When the read is answered without records.
    pub until: Instant,
}

/// The escrow stream in memory.
#[derive(Debug, Default)]
pub struct EscrowLog {
    /// Whether the log is down and answers nothing.
    pub down: bool,
    records: Vec<EscrowRecord>,
    /// Reads that wait for the next record.
    waiting: Vec<LogReader>,
}

impl EscrowLog {
    /// Appends a record and returns the waiting reads, which are to be answered. A log that is down
    /// loses the record.
    pub fn append(&mut self, record: EscrowRecord) -> Vec<LogReader> {
        if self.down {
            return Vec::new();
        }
        self.records.push(record);
        std::mem::take(&mut self.waiting)
    }

    /// Returns the records from an offset on.
    pub fn read(&self, from: Offset) -> Vec<(Offset, Option<EscrowRecord>)> {
        let from = from as usize;
        let records = self.records.iter().enumerate().skip(from);
        records
            .map(|(offset, record)| (offset as Offset, Some(record.clone())))
            .collect()
    }

    /// Returns whether there is a record at this offset or later.
    pub fn has(&self, from: Offset) -> bool {
        (from as usize) < self.records.len()
    }

    /// Adds a read that waits for the next record.
    pub fn wait(&mut self, reader: LogReader) {
        self.waiting.push(reader);
    }

    /// Removes a read whose wait has ended; returns false if it was answered before.
    pub fn give_up(&mut self, reader: &LogReader) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting != reader);
        self.waiting.len() < before
    }

    /// Returns the number of records appended.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }
}
