//! Reads and appends the platform's log, builds the configuration view from its records and passes
//! views and records of the other streams to the other duties.

mod appender;
pub mod checkpoint;
pub mod checkpoint_schedule;
pub mod client;
pub mod duty;
pub mod follow;
pub mod message;
pub mod peers;
mod reader;
pub mod state;
pub mod submissions;
pub mod tombstones;

pub use message::{JournalAction, JournalEvent, LogRecord, ReaderCommand, SubmitOutcome};

use crate::types::Offset;
use std::time::Duration;
use thiserror::Error;

/// Name of one stream of the platform's log, as it appears in the log's URL.
pub type Stream = &'static str;
/// Stream of the configuration: contracts, keys and failure domains that operators change.
pub const CONFIGURATION: Stream = "configuration";
/// Stream in which daemons publish their descriptions.
pub const MEMBERS: Stream = "members";
/// Stream of the markers that name complete checkpoints of the configuration.
pub const CHECKPOINTS: Stream = "checkpoints";
/// Stream that holds the text of checkpoints, split into parts.
pub const CHECKPOINT_PARTS: Stream = "checkpoint-parts";
/// Stream of the records that assign partitions of allowances to daemons.
pub const ESCROW: Stream = "escrow";
/// Streams that a daemon reads continuously besides the configuration.
pub const STREAMS: [Stream; 3] = [MEMBERS, CHECKPOINTS, ESCROW];

/// Reason for which a call to the platform's log failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LogError {
    /// The log gave no answer or an error status. An append may have taken effect.
    #[error("the platform's log does not answer: {0}")]
    Unavailable(String),
    /// Records below this offset are no longer kept.
    #[error("the platform's log keeps records from offset {0} only")]
    Truncated(Offset),
    /// The answer could not be parsed or holds an offset beyond `OFFSET_LIMIT`.
    #[error("the platform's log gave a malformed answer: {0}")]
    Malformed(String),
}

/// Records returned by one read of a stream of the platform's log.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Batch {
    /// The records in ascending order of offset.
    pub records: Vec<LogRecord>,
    /// Offset from which the next read continues.
    pub next: Offset,
}

/// The platform's append-only log.
///
/// A read that is sent after an append was acknowledged returns the appended record.
pub trait PlatformLog: Send + Sync {
    /// Reads at most `limit_count` records from offset `from` on, and waits up to `wait` for the
    /// first.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        limit_count: usize,
        wait: Duration,
    ) -> Result<Batch, LogError>;

    /// Appends a record and returns its offset. After an error the record may still be in the log.
    fn append(&self, stream: &str, body: &str) -> Result<Offset, LogError>;
}

#[cfg(test)]
mod tests;
