//! The trail of changes and decisions, which `explain` and `audit` read.

pub mod duty;
pub mod message;
pub mod state;

pub use message::{AuditEvent, ChangeEntry, Decision, Subject, Trail, TrailQuery};

/// Takes decisions. Never waits and never fails: a decision without room is lost and counted.
pub trait AuditSink: Send + Sync {
    /// Records a decision with its rule and evidence.
    fn record_decision(&self, decision: Decision);
}

/// A sink that keeps nothing.
#[derive(Debug, Default, Clone, Copy)]
pub struct NoAudit;

impl AuditSink for NoAudit {
    fn record_decision(&self, _decision: Decision) {}
}

#[cfg(test)]
mod tests;
