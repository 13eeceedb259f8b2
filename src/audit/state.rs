//! Keeps the newest decisions and changes up to fixed limits, and answers queries.

use std::collections::VecDeque;

use super::message::{ChangeEntry, Decision, Subject, Trail, TrailQuery};
use crate::contract::{AppliedChange, Change, ObjectId};

/// The newest decisions and changes of the audit trail.
#[derive(Debug)]
pub struct AuditState {
    decision_limit_count: usize,
    change_limit_count: usize,
    /// Decisions about everything but requests, oldest first; at most `decision_limit_count`.
    decisions: VecDeque<Decision>,
    /// Decisions about requests, oldest first; at most `decision_limit_count`. Kept apart so that
    /// many refused requests do not displace other decisions.
    request_decisions: VecDeque<Decision>,
    /// Changes of the configuration, oldest first; at most `change_limit_count`.
    changes: VecDeque<AppliedChange>,
    /// Number of decisions removed at the limit.
    dropped_count: u64,
}

impl AuditState {
    /// Creates an empty trail that keeps at most so many decisions of each of the two groups, and
    /// so many changes.
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

    /// Records a decision. Removes and counts the oldest of its group at the limit.
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

    /// Records a change. Removes the oldest at the limit, which remains in the platform's log.
    pub fn record_change(&mut self, change: AppliedChange) {
        if self.changes.len() >= self.change_limit_count {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// Returns the decisions and changes that match a query, newest first.
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
                .filter(|change| subject.is_none_or(|wanted| is_about(change, wanted)))
                .take(query.limit_count)
                .map(ChangeEntry::from)
                .collect(),
            dropped_count: self.dropped_count,
        }
    }
}

/// Returns whether a change is about a subject. Requests, servers and daemons match no change.
fn is_about(applied: &AppliedChange, subject: &Subject) -> bool {
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
