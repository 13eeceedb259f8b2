//! Starts the operators' API and the audit trail of changes and decisions.

use std::sync::Arc;
use std::thread::JoinHandle;

use crossbeam::channel::Receiver;

use super::rings::RingSenders;
use super::shared::SharedResources;
use crate::audit::{self, AuditEvent};
use crate::operator::{self, OperatorEvent, OperatorMessage};
use crate::ring::spawn_duty;
use crate::wire::listener::HttpListener;

/// Starts the operator duty and the thread that accepts requests of operators.
pub(super) fn start_operator(
    shared: &SharedResources,
    rings: &RingSenders,
    listener: &Arc<HttpListener>,
    messages: Receiver<OperatorMessage>,
) -> Vec<JoinHandle<()>> {
    let context = operator::accept::AcceptContext {
        settings: shared.settings.operator.clone(),
        listener: listener.clone(),
        metrics: shared.metrics.clone(),
        operator: rings.operator.clone(),
    };
    let accept = spawn_duty("operator-in", move || operator::accept::run(&context));
    let context = operator::duty::OperatorContext {
        daemon: shared.settings.daemon.daemon.clone(),
        incarnation: shared.incarnation,
        clock: shared.clock.clone(),
        metrics: shared.metrics.clone(),
        journal: rings.journal.clone(),
        audit_events: shared.audit_events.clone(),
        audit: shared.audit.clone(),
    };
    let duty = spawn_duty("operator", move || operator::duty::run(&context, &messages));
    vec![accept, duty]
}

/// Starts the audit duty, which answers queries of the trail through the operator duty.
pub(super) fn start_audit(
    shared: &SharedResources,
    rings: &RingSenders,
    events: Receiver<AuditEvent>,
) -> JoinHandle<()> {
    let operator = rings.operator.clone();
    let context = audit::duty::AuditContext {
        settings: shared.settings.audit.clone(),
        answer: Box::new(move |ticket, trail| {
            let event = OperatorEvent::TrailAnswered { ticket, trail };
            operator.deliver(OperatorMessage::Event(event));
        }),
    };
    spawn_duty("audit", move || audit::duty::run(&context, &events))
}
