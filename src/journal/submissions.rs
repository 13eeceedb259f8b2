//! Operators' changes between their append and the moment at which they are read back from the log.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::contract::{Change, Record};
use crate::types::{KeyHash, OperationId};

/// Changes that were submitted to this daemon and not yet read back.
#[derive(Debug)]
pub struct Submissions {
    read_back_timeout: Duration,
    confirm_timeout: Duration,
    pending: HashMap<OperationId, Pending>,
}

/// A submitted change that waits to be read back.
#[derive(Debug)]
struct Pending {
    submitted_at: Instant,
    /// The key that the change withdraws, if it withdraws one.
    withdrawn_key: Option<KeyHash>,
    /// Whether the append failed or was not attempted; after an error the record may still be in
    /// the log.
    append_failed: bool,
}

/// A change that was not read back in time and is no longer waited for.
#[derive(Debug, PartialEq, Eq)]
pub struct Overdue {
    /// Operation that the operator sent.
    pub operation: OperationId,
    /// The key that the change withdraws, if it withdraws one.
    pub withdrawn_key: Option<KeyHash>,
}

impl Submissions {
    /// Creates an empty set. A withdrawal whose append failed is answered after `confirm_timeout`,
    /// any other change after `read_back_timeout`.
    pub fn new(read_back_timeout: Duration, confirm_timeout: Duration) -> Submissions {
        Submissions {
            read_back_timeout,
            confirm_timeout,
            pending: HashMap::new(),
        }
    }

    /// Adds a submitted change. `reachable` says whether the log answers; without it only a
    /// withdrawal is submitted.
    pub fn add(&mut self, now: Instant, record: &Record, reachable: bool) {
        let withdrawn_key = match &record.change {
            Change::WithdrawKey { key_hash } => Some(*key_hash),
            _ => None,
        };
        let pending = Pending {
            submitted_at: now,
            withdrawn_key,
            append_failed: !reachable,
        };
        self.pending.insert(record.operation, pending);
    }

    /// Returns whether an operation waits to be read back.
    pub fn is_pending(&self, operation: OperationId) -> bool {
        self.pending.contains_key(&operation)
    }

    /// Records that the append of an operation ended with an error.
    pub fn append_failed(&mut self, operation: OperationId) {
        if let Some(pending) = self.pending.get_mut(&operation) {
            pending.append_failed = true;
        }
    }

    /// Removes an operation. Returns whether it was waiting.
    pub fn remove(&mut self, operation: OperationId) -> bool {
        self.pending.remove(&operation).is_some()
    }

    /// Returns every operation that waits to be read back, in no particular order.
    pub fn operations(&self) -> Vec<OperationId> {
        self.pending.keys().copied().collect()
    }

    /// Removes and returns the changes that were not read back in time, in order of operation.
    pub fn take_overdue(&mut self, now: Instant) -> Vec<Overdue> {
        let mut overdue = Vec::new();
        let (read_back_timeout, confirm_timeout) = (self.read_back_timeout, self.confirm_timeout);
        self.pending.retain(|operation, pending| {
            let keep = pending.due_at(read_back_timeout, confirm_timeout) > now;
            if !keep {
                overdue.push(Overdue {
                    operation: *operation,
                    withdrawn_key: pending.withdrawn_key,
                });
            }
            keep
        });
        overdue.sort_by_key(|overdue| overdue.operation);
        overdue
    }

    /// Returns when the next change becomes overdue, or `None` when none waits.
    pub fn next_due_at(&self) -> Option<Instant> {
        let due = |pending: &Pending| pending.due_at(self.read_back_timeout, self.confirm_timeout);
        self.pending.values().map(due).min()
    }
}

impl Pending {
    /// Returns when the change becomes overdue.
    fn due_at(&self, read_back_timeout: Duration, confirm_timeout: Duration) -> Instant {
        if self.withdrawn_key.is_some() && self.append_failed {
            return self.submitted_at + confirm_timeout;
        }
        self.submitted_at + read_back_timeout
    }
}
