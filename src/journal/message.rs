//! Events and actions of the journal duty.

use std::sync::Arc;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::{LogError, Stream};
use crate::contract::{AppliedChange, Record, View};
use crate::link::{LinkError, PeerName, PeerReply, RecordsAnswer, RecordsRequest};
use crate::membership::Fleet;
use crate::types::{DaemonId, KeyHash, Offset, OperationId};

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
    ReadEnded {
        /// The stream.
        stream: Stream,
        /// When the read was sent: what it shows was true then or later.
        asked_at: Instant,
        /// First offset that was asked for.
        from: Offset,
        /// The records, or why there are none.
        result: Result<super::Batch, LogError>,
    },
    /// The search for a checkpoint in the log ended.
    CheckpointSearchEnded {
        /// The newest whole one.
        text: Option<String>,
    },
    /// A checkpoint was written, or could not be.
    CheckpointWriteEnded {
        /// Offset that it stands for.
        next: Offset,
        /// Whether the log took all of it.
        written: bool,
    },
    /// A duty asks to append a record.
    Append {
        /// The stream.
        stream: Stream,
        /// The record's text.
        body: String,
    },
    /// An operator's change; the outcome comes as `JournalAction::Resolved`.
    Submit(Box<Record>),
    /// The append of an operator's change ended.
    AppendEnded {
        /// The operation.
        operation: OperationId,
        /// Where it stands; after an error it may still be in the log.
        result: Result<Offset, LogError>,
    },
    /// Who is in the fleet.
    Fleet(Arc<Fleet>),
    /// A peer asks for records of the configuration.
    PeerAsked {
        /// The peer.
        from: PeerName,
        /// What it asks for.
        request: RecordsRequest,
        /// Takes the answer.
        reply: PeerReply,
    },
    /// A peer answered, or did not.
    PeerAnswered {
        /// First offset that was asked for.
        from: Offset,
        /// When it was asked.
        asked_at: Instant,
        /// The answer.
        result: Result<RecordsAnswer, LinkError>,
    },
    /// A peer tells of keys that were withdrawn without the log.
    TombstonesReceived {
        /// Hashes of the keys.
        hashes: Vec<KeyHash>,
    },
    /// A peer took this daemon's tombstones, or did not.
    TombstonesSent {
        /// The peer.
        peer: DaemonId,
        /// How many tombstones this daemon had known when they were sent.
        known_count: u64,
        /// Whether the peer confirmed them.
        confirmed: bool,
    },
    /// A timer is due.
    Timer,
    /// The daemon stops.
    Stop,
}

/// What became of an operator's change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum SubmitOutcome {
    /// In force; this daemon read its own record back and applied it.
    Accepted {
        /// Where the record stands.
        offset: Offset,
    },
    /// Void: another change of the object came first.
    Conflict {
        /// Who made that change, where this daemon still knows.
        by: Option<String>,
        /// Where that change stands.
        at: Option<Offset>,
    },
    /// Void: the change does not hold what a contract must.
    Invalid,
    /// The operation was seen before; its outcome is no longer kept here.
    Repeated,
    /// Not appended: the platform's log does not answer.
    LogDown,
    /// Not appended: this daemon is overloaded.
    Busy,
    /// Sent to the log, and not seen there yet. The same operation may be sent again.
    Unknown {
        /// Offset up to which the log was read.
        read_up_to: Offset,
    },
    /// A withdrawal that is in force without the log.
    NotDurable {
        /// Daemons that confirmed it, this one included.
        confirmed_count: usize,
        /// Daemons known.
        fleet_count: usize,
    },
}

/// What the reader of the configuration does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderCommand {
    /// Reads from an offset on.
    Read {
        /// The offset.
        from: Offset,
        /// Whether to wait a little first.
        pause: bool,
    },
    /// Looks for the newest checkpoint.
    FindCheckpoint,
}

/// What the journal does.
pub enum JournalAction {
    /// Puts a new view in force.
    Publish(Arc<View>),
    /// Whether requests may rely on the view.
    Usable(bool),
    /// Hands the outcome of a read of another stream to the duty that reads it.
    Deliver {
        /// The stream.
        stream: Stream,
        /// When the read was sent.
        asked_at: Instant,
        /// The records; none when the stream had nothing new.
        records: Vec<LogRecord>,
        /// Offset that is read next.
        next: Offset,
    },
    /// Tells the reader of the configuration what to do.
    Command(ReaderCommand),
    /// Appends a record to the platform's log.
    Append {
        /// The stream.
        stream: Stream,
        /// The record's text.
        body: String,
    },
    /// Appends an operator's change; its end comes back as `JournalEvent::AppendEnded`.
    AppendChange {
        /// The operation.
        operation: OperationId,
        /// The record's text.
        body: String,
    },
    /// Writes a checkpoint; its end comes back as `JournalEvent::CheckpointWriteEnded`.
    WriteCheckpoint {
        /// Offset that it stands for.
        next: Offset,
        /// Its text.
        text: String,
    },
    /// An operator's change came to an end.
    Resolved {
        /// The operation.
        operation: OperationId,
        /// Its outcome.
        outcome: SubmitOutcome,
    },
    /// A record of the configuration was read, whether it holds or not.
    Changed(Box<AppliedChange>),
    /// Asks a peer for records of the configuration.
    AskPeer {
        /// The peer.
        to: DaemonId,
        /// What is asked for.
        request: RecordsRequest,
    },
    /// Answers a peer.
    AnswerPeer {
        /// Takes the answer.
        reply: PeerReply,
        /// The answer.
        answer: Result<RecordsAnswer, LinkError>,
    },
    /// Tells a peer of keys that were withdrawn without the log.
    SendTombstones {
        /// The peer.
        to: DaemonId,
        /// Hashes of the keys.
        hashes: Vec<KeyHash>,
        /// How many tombstones this daemon has known so far.
        known_count: u64,
    },
    /// Counts something.
    Count(&'static str),
    /// The log went away or came back.
    Reachable(bool),
}
