//! Follows the configuration stream: applies records in order and keeps the newest for peers.

use std::collections::VecDeque;

use super::message::{LogRecord, SubmitOutcome};
use crate::contract::{AppliedChange, ChangeVerdict, ObjectId, Record, View};
use crate::link::{RecordsAnswer, RecordsRequest};
use crate::types::{KeyHash, Offset, OperationId};

/// Newest records kept for peers and for the names of their authors.
const RECENT_LIMIT_COUNT: usize = 4_096;
const RECENT_LIMIT_BYTES: usize = 1_048_576;
/// Most bytes of records in one answer to a peer.
const ANSWER_LIMIT_BYTES: usize = 262_144;
/// Outcomes of operations that are kept for those who ask again.
const OUTCOME_LIMIT_COUNT: usize = 1_024;

/// The view and what is kept beside it. The view never goes to a lower offset.
#[derive(Debug, Default)]
pub struct Follower {
    view: View,
    /// Every record from `recent_first` up to the view's `next`, in order.
    recent: VecDeque<LogRecord>,
    recent_first: Offset,
    recent_bytes: usize,
    /// Outcomes of the newest operations, oldest first.
    outcomes: VecDeque<(OperationId, SubmitOutcome)>,
}

/// What a batch of records did.
#[derive(Debug, Default)]
pub struct Taken {
    /// Records that were read, with what they did.
    pub changes: Vec<AppliedChange>,
    /// Records that are not JSON of the right shape. They change nothing.
    pub malformed_count: usize,
    /// Whether the view moved.
    pub moved: bool,
    /// Whether records are missing before the batch, so that it was not taken.
    pub gap: bool,
}

impl Follower {
    /// The view in force.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Withdraws a key without the log. Says whether that is new.
    pub fn add_tombstone(&mut self, key_hash: KeyHash) -> bool {
        self.view.add_tombstone(key_hash)
    }

    /// Takes every record from `from` up to `next`. Records that were applied are passed over.
    pub fn take(&mut self, from: Offset, records: Vec<LogRecord>, next: Offset) -> Taken {
        let mut taken = Taken::default();
        if from > self.view.next {
            taken.gap = true;
            return taken;
        }
        let before = self.view.next;
        for log_record in records {
            if log_record.offset < self.view.next {
                continue;
            }
            match serde_json::from_str::<Record>(&log_record.body) {
                Ok(record) => taken.changes.push(self.apply(log_record.offset, record)),
                Err(_) => {
                    taken.malformed_count += 1;
                    self.view.read_up_to(log_record.offset + 1);
                }
            }
            self.keep(log_record);
        }
        self.view.read_up_to(next);
        taken.moved = self.view.next > before;
        taken
    }

    /// Takes a checkpoint when it is further than the view. Says whether it was taken.
    pub fn take_checkpoint(&mut self, text: &str) -> bool {
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

    /// What became of an operation; none when it was not seen.
    pub fn outcome(&self, operation: OperationId) -> Option<SubmitOutcome> {
        let kept = self.outcomes.iter().rev().find(|(id, _)| *id == operation);
        match kept {
            Some((_, outcome)) => Some(outcome.clone()),
            None if self.view.has_seen(operation) => Some(SubmitOutcome::Repeated),
            None => None,
        }
    }

    /// Who last changed an object and where, as far as is known.
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

    /// Records for a peer, or a checkpoint where the records are no longer kept here.
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
        let whole = start + records.len() == self.recent.len();
        let next = match records.last() {
            Some(last) if !whole => last.offset + 1,
            _ => self.view.next,
        };
        Some(RecordsAnswer {
            checkpoint: None,
            records,
            next,
        })
    }

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
        // Of an operation that was appended twice the first record decides.
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

    fn keep(&mut self, record: LogRecord) {
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
