//! The audit duty's thread, and the sink through which other duties record decisions.

use crossbeam::channel::Receiver;

use super::message::{AuditEvent, Decision, Trail};
use super::state::AuditState;
use super::AuditSink;
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::settings::audit::AuditSettings;

/// Passes decisions to the audit duty. A decision that finds the ring full is counted and dropped.
pub struct AuditRing {
    /// Ring of the audit duty.
    pub events: RingSender<AuditEvent>,
    /// Counters, which include the dropped decisions.
    pub metrics: Metrics,
}

impl AuditSink for AuditRing {
    fn record_decision(&self, decision: Decision) {
        if self.events.offer(AuditEvent::Decision(decision)).is_err() {
            self.metrics.count("audit.decision.lost");
        }
    }
}

/// Settings and callbacks that the audit duty uses.
pub struct AuditContext {
    /// Limits of the decisions and changes that are kept.
    pub settings: AuditSettings,
    /// Callback that receives the ticket and the answer of a query.
    pub answer: Box<dyn Fn(u64, Trail) + Send>,
}

/// Runs the duty until `AuditEvent::Stop` or the ring closes.
pub fn run(context: &AuditContext, events: &Receiver<AuditEvent>) {
    let settings = &context.settings;
    let mut state = AuditState::new(settings.decision_limit_count, settings.change_limit_count);
    for event in events {
        match event {
            AuditEvent::Stop => return,
            AuditEvent::Decision(decision) => state.record_decision(decision),
            AuditEvent::Change(change) => state.record_change(*change),
            AuditEvent::Query { ticket, query } => (context.answer)(ticket, state.query(&query)),
        }
    }
}
