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
    /// Decisions about requests, apart so that many refusals push out no other decision. Oldest
    /// first; never longer than the limit.
    request_decisions: VecDeque<Decision>,
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
            request_decisions: VecDeque::new(),
            changes: VecDeque::new(),
            dropped_count: 0,
        }
    }

    /// Records a decision; the oldest makes room.
    pub fn record_decision(&mut self, decision: Decision) {
        let decisions = match decision.subject {
            Subject::Request(_) => &mut self.request_decisions,
            _ => &mut self.decisions,
        };
        if decisions.len() >= self.decision_limit_count {
            decisions.pop_front();
            self.dropped_count += 1;
        }
        decisions.push_back(decision);
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
        let changes = self.changes.iter().rev();
        let kept = self
            .decisions
            .iter()
            .rev()
            .chain(self.request_decisions.iter().rev());
        let mut decisions: Vec<&Decision> = kept
            .filter(|decision| subject.is_none_or(|wanted| decision.subject == *wanted))
            .collect();
        decisions.sort_by_key(|decision| std::cmp::Reverse(decision.at_ms));
        decisions.truncate(query.limit_count);
        Trail {
            decisions: decisions.into_iter().cloned().collect(),
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
