//! Events and actions of the journal duty.

use std::sync::Arc;
use std::time::Instant;

use super::{LogError, Stream};
use crate::contract::View;
use crate::types::Offset;

/// A record of a stream, as text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Its place in the stream.
    pub offset: Offset,
    /// Its text, JSON.
    pub body: String,
}

/// What happens to the journal.
pub enum JournalEvent {
    /// A read of a stream ended.
    Read {
        /// The stream.
        stream: Stream,
        /// When the read was sent: what it shows was true then or later.
        asked_at: Instant,
        /// The records, or why there are none.
        result: Result<super::Batch, LogError>,
    },
    /// A duty asks to append a record.
    Append {
        /// The stream.
        stream: Stream,
        /// The record's text.
        body: String,
    },
    /// The daemon stops.
    Stop,
}

/// What the journal does.
#[derive(Debug, Clone)]
pub enum JournalAction {
    /// Puts a new view in force.
    Publish(Arc<View>),
    /// Hands the outcome of a read of another stream to the duty that reads it.
    Hand {
        /// The stream.
        stream: Stream,
        /// When the read was sent.
        asked_at: Instant,
        /// The records; none when the stream had nothing new.
        records: Vec<LogRecord>,
        /// Offset that is read next.
        next: Offset,
    },
    /// Appends a record to the platform's log.
    Append {
        /// The stream.
        stream: Stream,
        /// The record's text.
        body: String,
    },
    /// Counts something.
    Count(&'static str),
    /// The log went away or came back.
    Reachable(bool),
}
