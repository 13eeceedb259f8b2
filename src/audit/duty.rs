//! The audit thread, and the sink that hands it decisions.

use crossbeam::channel::Receiver;

use super::message::{AuditEvent, Decision, Trail};
use super::state::AuditState;
use super::AuditSink;
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::settings::audit::AuditSettings;

/// Hands decisions to the audit duty. A decision that finds the ring full is counted and lost.
pub struct AuditRing {
    /// The duty's ring.
    pub events: RingSender<AuditEvent>,
    /// Counters.
    pub metrics: Metrics,
}

impl AuditSink for AuditRing {
    fn record_decision(&self, decision: Decision) {
        if self.events.offer(AuditEvent::Decision(decision)).is_err() {
            self.metrics.count("audit.decision.lost");
        }
    }
}

/// What the audit duty needs of the world.
pub struct AuditContext {
    /// Its settings.
    pub settings: AuditSettings,
    /// Takes the answer to a question.
    pub answer: Box<dyn Fn(u64, Trail) + Send>,
}

/// Runs the duty until it is told to stop.
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
