//! The thread that appends to the platform's log, one record at a time.

use crossbeam::channel::Receiver;

use super::message::JournalEvent;
use super::{checkpoint, PlatformLog, Stream, CONFIGURATION};
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::types::{Offset, OperationId};

/// Job of the appending thread.
pub(super) enum AppendJob {
    /// Appends a record of another duty to a stream; nobody is informed of the result.
    Record { stream: Stream, body: String },
    /// Appends an operator's change to the configuration and reports the result to the journal.
    Change {
        operation: OperationId,
        body: String,
    },
    /// Appends a checkpoint of the configuration, of the records below `next`, and reports the
    /// result.
    Checkpoint { next: Offset, text: String },
}

/// Runs the append jobs until the ring closes. The results of changes and checkpoints are delivered
/// to the journal as events.
pub(super) fn run(
    log: &dyn PlatformLog,
    jobs: &Receiver<AppendJob>,
    events: &RingSender<JournalEvent>,
    metrics: &Metrics,
) {
    for job in jobs {
        match job {
            AppendJob::Record { stream, body } => {
                if let Err(error) = log.append(stream, &body) {
                    metrics.count("journal.append.failed");
                    log::debug!("append to stream {stream} failed: {error}");
                }
            }
            AppendJob::Change { operation, body } => {
                let result = log.append(CONFIGURATION, &body);
                if result.is_err() {
                    metrics.count("journal.append.failed");
                }
                events.deliver(JournalEvent::AppendEnded { operation, result });
            }
            AppendJob::Checkpoint { next, text } => {
                let written = checkpoint::write(log, next, &text).is_ok();
                events.deliver(JournalEvent::CheckpointWriteEnded { next, written });
            }
        }
    }
}
