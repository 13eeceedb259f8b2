//! Operators' changes between their append and the moment they are read back.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::contract::{Change, Record};
use crate::types::{KeyHash, OperationId};

/// Changes that wait to be read back.
#[derive(Debug)]
pub struct Submissions {
    read_back_timeout: Duration,
    confirm_timeout: Duration,
    pending: HashMap<OperationId, Pending>,
}

#[derive(Debug)]
struct Pending {
    submitted_at: Instant,
    /// The key, when the change withdraws one.
    withdrawn_key: Option<KeyHash>,
    /// Whether the append ended with an error; the record may still be in the log.
    append_failed: bool,
}

/// A change whose time is over.
#[derive(Debug, PartialEq, Eq)]
pub struct Overdue {
    /// The operation.
    pub operation: OperationId,
    /// The key, when the change withdraws one.
    pub withdrawn_key: Option<KeyHash>,
}

impl Submissions {
    /// No changes yet. A withdrawal whose append failed is answered after `confirm`, any other
    /// change after `read_back`.
    pub fn new(read_back_timeout: Duration, confirm_timeout: Duration) -> Submissions {
        Submissions {
            read_back_timeout,
            confirm_timeout,
            pending: HashMap::new(),
        }
    }

    /// Waits for a change. Without the log only a withdrawal may wait.
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

    /// Whether a change waits.
    pub fn is_pending(&self, operation: OperationId) -> bool {
        self.pending.contains_key(&operation)
    }

    /// Notes that an append ended with an error.
    pub fn append_failed(&mut self, operation: OperationId) {
        if let Some(pending) = self.pending.get_mut(&operation) {
            pending.append_failed = true;
        }
    }

    /// Ends the wait for a change. Says whether there was one.
    pub fn remove(&mut self, operation: OperationId) -> bool {
        self.pending.remove(&operation).is_some()
    }

    /// Every operation that waits.
    pub fn operations(&self) -> Vec<OperationId> {
        self.pending.keys().copied().collect()
    }

    /// Removes the changes whose time is over.
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

    /// When the next wait is over.
    pub fn next_due_at(&self) -> Option<Instant> {
        let due = |pending: &Pending| pending.due_at(self.read_back_timeout, self.confirm_timeout);
        self.pending.values().map(due).min()
    }
}

impl Pending {
    fn due_at(&self, read_back_timeout: Duration, confirm_timeout: Duration) -> Instant {
        if self.withdrawn_key.is_some() && self.append_failed {
            return self.submitted_at + confirm_timeout;
        }
        self.submitted_at + read_back_timeout
    }
}
