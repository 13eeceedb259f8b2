//! Decisions of the journal: which records make the view, and what is handed on.

use std::sync::Arc;
use std::time::Instant;

use super::message::{JournalAction, JournalEvent, LogRecord};
use super::{Batch, LogError, Stream, CONFIGURATION};
use crate::contract::{Record, Verdict, View};

/// State of the journal.
pub struct JournalState {
    view: View,
    /// Whether the last read was answered.
    reachable: bool,
}

impl Default for JournalState {
    fn default() -> Self {
        JournalState {
            view: View::default(),
            reachable: true,
        }
    }
}

impl JournalState {
    /// Takes one event and gives what is to be done.
    pub fn handle(&mut self, _now: Instant, event: JournalEvent) -> Vec<JournalAction> {
        match event {
            JournalEvent::Read {
                stream,
                asked_at,
                result,
            } => self.read(stream, asked_at, result),
            JournalEvent::Append { stream, body } => vec![JournalAction::Append { stream, body }],
            JournalEvent::Stop => Vec::new(),
        }
    }

    fn read(
        &mut self,
        stream: Stream,
        asked_at: Instant,
        result: Result<Batch, LogError>,
    ) -> Vec<JournalAction> {
        let mut actions = Vec::new();
        let reachable = !matches!(
            result,
            Err(LogError::Unavailable(_) | LogError::Malformed(_))
        );
        if reachable != self.reachable {
            self.reachable = reachable;
            actions.push(JournalAction::Reachable(reachable));
        }
        let Ok(batch) = result else {
            actions.push(JournalAction::Count("journal.read.failed"));
            return actions;
        };
        if stream == CONFIGURATION {
            self.configure(&batch.records, &mut actions);
            return actions;
        }
        actions.push(JournalAction::Hand {
            stream,
            asked_at,
            records: batch.records,
            next: batch.next,
        });
        actions
    }

    fn configure(&mut self, records: &[LogRecord], actions: &mut Vec<JournalAction>) {
        let before = self.view.next;
        for log_record in records {
            let Ok(record) = serde_json::from_str::<Record>(&log_record.body) else {
                self.view.next = self.view.next.max(log_record.offset + 1);
                actions.push(JournalAction::Count("journal.record.malformed"));
                continue;
            };
            if self.view.apply(log_record.offset, &record) != Verdict::Accepted {
                actions.push(JournalAction::Count("journal.record.void"));
            }
        }
        if self.view.next > before {
            actions.push(JournalAction::Publish(Arc::new(self.view.clone())));
        }
    }
}
