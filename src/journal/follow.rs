//! Follows the configuration stream: applies records in order and keeps the newest for peers.

use std::collections::VecDeque;

use super::message::{LogRecord, SubmitOutcome};
use crate::contract::{AppliedChange, ChangeVerdict, ObjectId, Record, View};
use crate::link::{RecordsAnswer, RecordsRequest};
use crate::types::{KeyHash, Offset, OperationId};

/// Maximum number of recent records kept, for peers and to name the authors of changes.
const RECENT_LIMIT_COUNT: usize = 4_096;
/// Maximum size of the recent records kept, in bytes.
const RECENT_LIMIT_BYTES: usize = 1_048_576;
/// Maximum size of the records in one answer to a peer, in bytes. One larger record is sent alone.
const ANSWER_LIMIT_BYTES: usize = 262_144;
/// Maximum number of outcomes kept for operations that are submitted again.
const OUTCOME_LIMIT_COUNT: usize = 1_024;

/// The view of the configuration, the recent records that it was built from and the outcomes of
/// recent operations. The view never goes back to a lower offset.
#[derive(Debug, Default)]
pub struct Follower {
    view: View,
    /// Every record from `recent_first` up to the view's `next`, in ascending order of offset.
    recent: VecDeque<LogRecord>,
    /// Offset of the oldest recent record.
    recent_first: Offset,
    /// Size of the texts of the recent records, in bytes.
    recent_bytes: usize,
    /// Outcomes of the most recent operations, oldest first.
    outcomes: VecDeque<(OperationId, SubmitOutcome)>,
}

/// Effect of one batch of records on the view.
#[derive(Debug, Default)]
pub struct AppliedBatch {
    /// Changes that were read, with their verdicts and effects.
    pub changes: Vec<AppliedChange>,
    /// Number of records that could not be parsed as a change. They change nothing.
    pub malformed_count: usize,
    /// Whether the view's offset increased.
    pub advanced: bool,
    /// Whether records are missing before the batch, so that none of it was applied.
    pub gap: bool,
}

impl Follower {
    /// Returns the view of all records applied so far.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Withdraws a key in the view before the log holds the withdrawal. Returns whether the key was
    /// not withdrawn yet.
    pub fn add_tombstone(&mut self, key_hash: KeyHash) -> bool {
        self.view.add_tombstone(key_hash)
    }

    /// Applies the records from offset `from` up to `next`. Skips records that were already
    /// applied.
    pub fn apply_records(
        &mut self,
        from: Offset,
        records: Vec<LogRecord>,
        next: Offset,
    ) -> AppliedBatch {
        let mut applied = AppliedBatch::default();
        if from > self.view.next {
            applied.gap = true;
            return applied;
        }
        let before = self.view.next;
        for log_record in records {
            if log_record.offset < self.view.next {
                continue;
            }
            match serde_json::from_str::<Record>(&log_record.body) {
                Ok(record) => applied.changes.push(self.apply(log_record.offset, record)),
                Err(_) => {
                    applied.malformed_count += 1;
                    self.view.read_up_to(log_record.offset + 1);
                }
            }
            self.keep_recent(log_record);
        }
        self.view.read_up_to(next);
        applied.advanced = self.view.next > before;
        applied
    }

    /// Replaces the view by a checkpoint that covers more records, and keeps the tombstones.
    /// Returns whether the checkpoint was used.
    pub fn adopt_checkpoint(&mut self, text: &str) -> bool {
        let Some(mut view) = View::from_checkpoint(text) else {
            return false;
        };
        if view.next <= self.view.next {
            return false;
        }
        for key_hash in &self.view.tombstones {
            view.add_tombstone(*key_hash);
        }
        self.view = view;
        self.recent.clear();
        self.recent_bytes = 0;
        self.recent_first = self.view.next;
        true
    }

    /// Returns the outcome of an operation, or `None` when no record of it was read.
    pub fn outcome(&self, operation: OperationId) -> Option<SubmitOutcome> {
        let kept = self.outcomes.iter().rev().find(|(id, _)| *id == operation);
        match kept {
            Some((_, outcome)) => Some(outcome.clone()),
            None if self.view.has_seen(operation) => Some(SubmitOutcome::Repeated),
            None => None,
        }
    }

    /// Returns the author and the offset of the last change of an object, as far as they are known
    /// here.
    pub fn last_change(&self, object: &ObjectId) -> (Option<String>, Option<Offset>) {
        let Some(offset) = self.view.version(object) else {
            return (None, None);
        };
        let author = self
            .recent
            .binary_search_by_key(&offset, |record| record.offset)
            .ok()
            .and_then(|index| serde_json::from_str::<Record>(&self.recent[index].body).ok())
            .map(|record| record.author);
        (author, Some(offset))
    }

    /// Returns records for a peer, or a checkpoint when the requested records are no longer kept
    /// here. Returns `None` when that checkpoint exceeds the limit.
    pub fn answer(
        &self,
        request: &RecordsRequest,
        checkpoint_limit_bytes: usize,
    ) -> Option<RecordsAnswer> {
        if request.from < self.recent_first {
            let text = self.view.to_checkpoint();
            if text.len() > checkpoint_limit_bytes {
                return None;
            }
            return Some(RecordsAnswer {
                checkpoint: Some(text),
                records: Vec::new(),
                next: self.view.next,
            });
        }
        let start = self
            .recent
            .partition_point(|record| record.offset < request.from);
        let mut records = Vec::new();
        let mut answer_bytes = 0;
        for record in self.recent.iter().skip(start) {
            answer_bytes += record.body.len();
            let full = records.len() >= request.limit_count as usize
                || (answer_bytes > ANSWER_LIMIT_BYTES && !records.is_empty());
            if full {
                break;
            }
            records.push(record.clone());
        }
        let reached_end = start + records.len() == self.recent.len();
        let next = match records.last() {
            Some(last) if !reached_end => last.offset + 1,
            _ => self.view.next,
        };
        Some(RecordsAnswer {
            checkpoint: None,
            records,
            next,
        })
    }

    /// Applies one change to the view, keeps its outcome and returns its effect.
    fn apply(&mut self, offset: Offset, record: Record) -> AppliedChange {
        let object = ObjectId::of(&record.change);
        let before = self.view.object(&object);
        let verdict = self.view.apply(offset, &record);
        let outcome = match verdict {
            ChangeVerdict::Accepted => SubmitOutcome::Accepted { offset },
            ChangeVerdict::Invalid => SubmitOutcome::Invalid,
            ChangeVerdict::Repeated => SubmitOutcome::Repeated,
            ChangeVerdict::StaleBase => {
                let (by, at) = self.last_change(&object);
                SubmitOutcome::Conflict { by, at }
            }
        };
        // When an operation was appended twice, the outcome of its first record is kept.
        if verdict != ChangeVerdict::Repeated {
            self.outcomes.push_back((record.operation, outcome));
            if self.outcomes.len() > OUTCOME_LIMIT_COUNT {
                self.outcomes.pop_front();
            }
        }
        AppliedChange {
            offset,
            after: self.view.object(&object),
            record,
            verdict,
            before,
        }
    }

    /// Adds a record to the recent ones and removes the oldest ones beyond the limits.
    fn keep_recent(&mut self, record: LogRecord) {
        self.recent_bytes += record.body.len();
        self.recent.push_back(record);
        while self.recent.len() > RECENT_LIMIT_COUNT || self.recent_bytes > RECENT_LIMIT_BYTES {
            let Some(oldest) = self.recent.pop_front() else {
                return;
            };
            self.recent_bytes -= oldest.body.len();
            self.recent_first = oldest.offset + 1;
        }
    }
}
