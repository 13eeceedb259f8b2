//! Keeps the newest decisions and changes, bounded.

use std::collections::VecDeque;

use super::message::{ChangeEntry, Decision, Subject, Trail, TrailQuery};
use crate::contract::{AppliedChange, Change, ObjectId};

/// The newest decisions and changes.
#[derive(Debug)]
pub struct AuditState {
    decision_limit_count: usize,
    change_limit_count: usize,
    /// Oldest first; never longer than the limit.
    decisions: VecDeque<Decision>,
    /// Oldest first; never longer than the limit.
    changes: VecDeque<AppliedChange>,
    dropped_count: u64,
}

impl AuditState {
    /// Keeps at most so many decisions and changes.
    pub fn new(decision_limit_count: usize, change_limit_count: usize) -> AuditState {
        AuditState {
            decision_limit_count,
            change_limit_count,
            decisions: VecDeque::new(),
            changes: VecDeque::new(),
            dropped_count: 0,
        }
    }

    /// Records a decision; the oldest makes room.
    pub fn record(&mut self, decision: Decision) {
        if self.decisions.len() >= self.decision_limit_count {
            self.decisions.pop_front();
            self.dropped_count += 1;
        }
        self.decisions.push_back(decision);
    }

    /// Records a change; the oldest makes room and stays in the platform's log.
    pub fn record_change(&mut self, change: AppliedChange) {
        if self.changes.len() >= self.change_limit_count {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Decisions and changes that the question is about, newest first.
    pub fn query(&self, query: &TrailQuery) -> Trail {
        let subject = query.subject.as_ref();
        let decisions = self.decisions.iter().rev();
        let changes = self.changes.iter().rev();
        Trail {
            decisions: decisions
                .filter(|decision| subject.is_none_or(|wanted| decision.subject == *wanted))
                .take(query.limit_count)
                .cloned()
                .collect(),
            changes: changes
                .filter(|change| subject.is_none_or(|wanted| concerns(change, wanted)))
                .take(query.limit_count)
                .map(ChangeEntry::from)
                .collect(),
            dropped_count: self.dropped_count,
        }
    }
}

fn concerns(applied: &AppliedChange, subject: &Subject) -> bool {
    let change = &applied.record.change;
    match subject {
        Subject::Organisation(wanted) => match change {
            Change::PublishOrganisation { contract } => contract.organisation == *wanted,
            Change::GrantKey { organisation, .. } => organisation == wanted,
            _ => false,
        },
        Subject::Key(wanted) => ObjectId::of(change).to_string() == format!("key/{wanted}"),
        Subject::Domain(wanted) => match change {
            Change::DomainOut { domain, .. } | Change::DomainIn { domain } => domain == wanted,
            _ => false,
        },
        Subject::Request(_) | Subject::Server(_) | Subject::Daemon(_) => false,
    }
}
