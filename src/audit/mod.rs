//! The audit trail of changes and decisions, which the `explain` and `audit` commands read.

pub mod duty;
pub mod message;
pub mod state;

pub use message::{AuditEvent, ChangeEntry, Decision, Subject, Trail, TrailQuery};

/// Receives decisions for the audit trail. Recording never waits and never fails: a decision that
/// finds no room is counted and dropped.
pub trait AuditSink: Send + Sync {
    /// Records a decision with its rule and evidence.
    fn record_decision(&self, decision: Decision);
}

/// Sink that drops every decision.
#[derive(Debug, Default, Clone, Copy)]
pub struct NoAudit;

impl AuditSink for NoAudit {
    fn record_decision(&self, _decision: Decision) {}
}

#[cfg(test)]
mod tests;
