//! Keeps the newest decisions, bounded.

use std::collections::VecDeque;

use super::message::{Decision, Subject};

/// The newest decisions.
#[derive(Debug)]
pub struct AuditState {
    limit_count: usize,
    /// Oldest first; never longer than the limit.
    decisions: VecDeque<Decision>,
    dropped_count: u64,
}

impl AuditState {
    /// Keeps at most `limit_count` decisions.
    pub fn new(limit_count: usize) -> AuditState {
        AuditState {
            limit_count,
            decisions: VecDeque::new(),
            dropped_count: 0,
        }
    }

    /// Records a decision; the oldest makes room.
    pub fn record(&mut self, decision: Decision) {
        if self.decisions.len() >= self.limit_count {
            self.decisions.pop_front();
            self.dropped_count += 1;
        }
        self.decisions.push_back(decision);
    }

    /// Decisions about a subject, newest first.
    pub fn about(&self, subject: &Subject) -> Vec<Decision> {
        self.decisions
            .iter()
            .rev()
            .filter(|decision| decision.subject == *subject)
            .cloned()
            .collect()
    }

    /// Decisions that made room for newer ones.
    pub fn dropped_count(&self) -> u64 {
        self.dropped_count
    }
}
