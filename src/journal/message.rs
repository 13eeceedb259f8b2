//! Events and actions of the journal duty, and the outcomes of operators' changes.

use std::sync::Arc;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::{LogError, Stream};
use crate::contract::{AppliedChange, Record, View};
use crate::link::{LinkError, PeerName, PeerReply, RecordsAnswer, RecordsRequest};
use crate::membership::Fleet;
use crate::types::{DaemonId, KeyHash, Offset, OperationId};

/// One record of a stream of the platform's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Position of the record in its stream.
    pub offset: Offset,
    /// Text of the record, as JSON.
    pub body: String,
}

/// Event that the journal's state handles.
pub enum JournalEvent {
    /// A read of a stream ended.
    ReadEnded {
        /// Stream that was read.
        stream: Stream,
        /// Time at which the read was sent. The records were in the log then or were appended
        /// later.
        asked_at: Instant,
        /// First offset that was requested.
        from: Offset,
        /// The records, or the reason for which the read failed.
        result: Result<super::Batch, LogError>,
    },
    /// The search for a checkpoint in the log ended.
    CheckpointSearchEnded {
        /// Text of the newest complete checkpoint, or `None` without one.
        text: Option<String>,
    },
    /// The write of a checkpoint ended.
    CheckpointWriteEnded {
        /// The checkpoint covers every record below this offset.
        next: Offset,
        /// Whether the log took all parts and the marker.
        written: bool,
    },
    /// A duty requests that a record be appended.
    Append {
        /// Stream to which the record is appended.
        stream: Stream,
        /// Text of the record, as JSON.
        body: String,
    },
    /// An operator's change is submitted; its outcome comes as `JournalAction::ChangeResolved`.
    Submit(Box<Record>),
    /// The append of an operator's change ended.
    AppendEnded {
        /// Operation that the change belongs to.
        operation: OperationId,
        /// Offset of the record. After an error the record may still be in the log.
        result: Result<Offset, LogError>,
    },
    /// The daemons of the fleet changed.
    Fleet(Arc<Fleet>),
    /// A peer requests records of the configuration.
    PeerAsked {
        /// Name and incarnation of the requesting peer.
        from: PeerName,
        /// Stream, first offset and number of records that are requested.
        request: RecordsRequest,
        /// Callback that sends the answer to the peer.
        reply: PeerReply,
    },
    /// A request to a peer for records ended.
    PeerAnswered {
        /// First offset that was requested.
        from: Offset,
        /// Time at which the request was sent.
        asked_at: Instant,
        /// The records or a checkpoint, or the reason for which the call failed.
        result: Result<RecordsAnswer, LinkError>,
    },
    /// A peer sent keys that were withdrawn and that the log may not hold yet.
    TombstonesReceived {
        /// Hashes of the withdrawn keys.
        hashes: Vec<KeyHash>,
    },
    /// A call that sent this daemon's tombstones to a peer ended.
    TombstonesSent {
        /// Peer to which the tombstones were sent.
        peer: DaemonId,
        /// Number of tombstones that this daemon had added when it sent them.
        known_count: u64,
        /// Whether the peer confirmed the tombstones.
        confirmed: bool,
    },
    /// The time given by `JournalState::next_timer_at` is reached.
    Timer,
    /// The daemon stops, and the journal's threads end.
    Stop,
}

/// Outcome of an operator's change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum SubmitOutcome {
    /// The change is in force: this daemon read its record from the log and applied it.
    Accepted {
        /// Offset of the change's record.
        offset: Offset,
    },
    /// The change has no effect, because another change of the object preceded it.
    Conflict {
        /// Author of that other change, if this daemon still knows it.
        by: Option<String>,
        /// Offset of that other change, if this daemon knows it.
        at: Option<Offset>,
    },
    /// The change has no effect, because it violates the rules for its contents.
    Invalid,
    /// The operation was seen before, and its outcome is no longer kept here.
    Repeated,
    /// The change was not appended, because the platform's log does not answer.
    LogDown,
    /// The change was not appended, because this daemon is overloaded.
    Busy,
    /// The change was sent to the log and not read back in time. The same operation may be sent
    /// again.
    Unknown {
        /// Offset below which this daemon read every record.
        read_up_to: Offset,
    },
    /// The key is withdrawn on the confirming daemons, but the log does not hold the withdrawal
    /// yet.
    NotDurable {
        /// Number of daemons that confirmed the withdrawal, including this one.
        confirmed_count: usize,
        /// Number of daemons in the fleet, including this one.
        fleet_count: usize,
    },
}

/// Command to the thread that reads the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderCommand {
    /// Read the configuration from an offset on.
    Read {
        /// First offset to be read.
        from: Offset,
        /// Whether to wait for `retry_ms` before the read.
        pause: bool,
    },
    /// Search the log for the newest complete checkpoint.
    FindCheckpoint,
}

/// Action that the journal's state requests.
pub enum JournalAction {
    /// Sends a new view to the observers.
    Publish(Arc<View>),
    /// Tells the observers whether requests may rely on the view.
    ViewUsable(bool),
    /// Delivers the result of a read of a stream other than the configuration to the observers.
    Deliver {
        /// Stream that was read.
        stream: Stream,
        /// Time at which the read was sent.
        asked_at: Instant,
        /// Records that were read; empty when the stream had nothing new.
        records: Vec<LogRecord>,
        /// Offset from which the next read continues.
        next: Offset,
    },
    /// Sends a command to the reader of the configuration.
    CommandReader(ReaderCommand),
    /// Appends a record of another duty to the platform's log.
    Append {
        /// Stream to which the record is appended.
        stream: Stream,
        /// Text of the record, as JSON.
        body: String,
    },
    /// Appends an operator's change; its result comes back as `JournalEvent::AppendEnded`.
    AppendChange {
        /// Operation that the change belongs to.
        operation: OperationId,
        /// Text of the change's record, as JSON.
        body: String,
    },
    /// Writes a checkpoint; the result comes back as `JournalEvent::CheckpointWriteEnded`.
    WriteCheckpoint {
        /// The checkpoint covers every record below this offset.
        next: Offset,
        /// Text of the checkpoint, before it is split into parts.
        text: String,
    },
    /// Reports the outcome of an operator's change to the observers.
    ChangeResolved {
        /// Operation that the change belongs to.
        operation: OperationId,
        /// Outcome that the operator is answered.
        outcome: SubmitOutcome,
    },
    /// Reports a record of the configuration that was read, whether it was accepted or not.
    ChangeRead(Box<AppliedChange>),
    /// Requests records of the configuration from a peer.
    AskPeer {
        /// Peer that is asked.
        to: DaemonId,
        /// First offset and number of records that are requested.
        request: RecordsRequest,
    },
    /// Answers a peer's request for records.
    AnswerPeer {
        /// Callback that sends the answer to the peer.
        reply: PeerReply,
        /// Records or a checkpoint, or the error with which the request is refused.
        answer: Result<RecordsAnswer, LinkError>,
    },
    /// Sends a peer the keys that were withdrawn and that the log does not hold yet.
    SendTombstones {
        /// Peer that receives the tombstones.
        to: DaemonId,
        /// Hashes of the withdrawn keys.
        hashes: Vec<KeyHash>,
        /// Number of tombstones that this daemon has added so far.
        known_count: u64,
    },
    /// Increments the counter of this name.
    Count(&'static str),
    /// Tells the observers whether the platform's log answers, when that changed.
    LogReachable(bool),
}
