//! Reads and appends the platform's log, and hands its records and the view to the other duties.

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

/// Name of a stream of the platform's log.
pub type Stream = &'static str;
/// The stream of configuration that operators publish.
pub const CONFIGURATION: Stream = "configuration";
/// The stream in which daemons make themselves known.
pub const MEMBERS: Stream = "members";
/// The stream that tells of checkpoints of the configuration.
pub const CHECKPOINTS: Stream = "checkpoints";
/// The stream that holds the text of checkpoints, in parts.
pub const CHECKPOINT_PARTS: Stream = "checkpoint-parts";
/// The stream that gives the seats of allowances to daemons.
pub const ESCROW: Stream = "escrow";
/// Every stream besides the configuration that a daemon reads all the time.
pub const STREAMS: [Stream; 3] = [MEMBERS, CHECKPOINTS, ESCROW];

/// Why the platform's log did not answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LogError {
    /// No answer, or one that it is out of service. An append may have taken effect.
    #[error("the platform's log does not answer: {0}")]
    Unavailable(String),
    /// Records below this offset are no longer kept.
    #[error("the platform's log keeps records from offset {0} only")]
    Truncated(Offset),
    /// An answer that can't be read.
    #[error("the platform's log gave a malformed answer: {0}")]
    Malformed(String),
}

/// A batch of records as the platform's log answers a read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Batch {
    /// The records, in order of offset.
    pub records: Vec<LogRecord>,
    /// Offset to read from next.
    pub next: Offset,
}

/// The platform's append-only log.
///
/// A read that is sent after an append was acknowledged returns the appended record.
pub trait PlatformLog: Send + Sync {
    /// Reads records from an offset on; waits up to `wait` for the first one.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        limit_count: usize,
        wait: Duration,
    ) -> Result<Batch, LogError>;

    /// Appends a record and gives its offset. After an error the record may still be there.
    fn append(&self, stream: &str, body: &str) -> Result<Offset, LogError>;
}

#[cfg(test)]
mod tests;
