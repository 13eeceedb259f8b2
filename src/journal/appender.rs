//! The thread that appends to the platform's log, one record at a time.

use crossbeam::channel::Receiver;

use super::message::JournalEvent;
use super::{checkpoint, PlatformLog, Stream, CONFIGURATION};
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::types::{Offset, OperationId};

/// Something to append.
pub(super) enum AppendJob {
    /// A record of another duty.
    Record { stream: Stream, body: String },
    /// An operator's change.
    Change {
        operation: OperationId,
        body: String,
    },
    /// A checkpoint of the configuration.
    Checkpoint { next: Offset, text: String },
}

/// Appends until the ring closes. The end of a change or checkpoint is told to the journal.
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
                    log::debug!("append to {stream}: {error}");
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
