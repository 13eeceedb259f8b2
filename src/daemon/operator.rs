//! Starts the operators' API and the trail of changes and decisions.

use std::sync::Arc;
use std::thread::JoinHandle;

use crossbeam::channel::Receiver;

use super::common::Common;
use super::rings::Rings;
use crate::audit::{self, AuditEvent};
use crate::operator::{self, OperatorEvent, OperatorMessage};
use crate::ring::spawn_duty;
use crate::wire::listener::HttpListener;

pub(super) fn start_operator(
    common: &Common,
    rings: &Rings,
    listener: &Arc<HttpListener>,
    messages: Receiver<OperatorMessage>,
) -> Vec<JoinHandle<()>> {
    let context = operator::accept::AcceptContext {
        settings: common.settings.operator.clone(),
        listener: listener.clone(),
        metrics: common.metrics.clone(),
        operator: rings.operator.clone(),
    };
    let accept = spawn_duty("operator-in", move || operator::accept::run(&context));
    let context = operator::duty::OperatorContext {
        daemon: common.settings.daemon.daemon.clone(),
        incarnation: common.incarnation,
        clock: common.clock.clone(),
        metrics: common.metrics.clone(),
        journal: rings.journal.clone(),
        audit_events: common.trail.clone(),
        audit: common.audit.clone(),
    };
    let duty = spawn_duty("operator", move || operator::duty::run(&context, &messages));
    vec![accept, duty]
}

pub(super) fn start_audit(
    common: &Common,
    rings: &Rings,
    events: Receiver<AuditEvent>,
) -> JoinHandle<()> {
    let operator = rings.operator.clone();
    let context = audit::duty::AuditContext {
        settings: common.settings.audit.clone(),
        answer: Box::new(move |ticket, trail| {
            let event = OperatorEvent::TrailAnswered { ticket, trail };
            operator.deliver(OperatorMessage::Event(event));
        }),
    };
    spawn_duty("audit", move || audit::duty::run(&context, &events))
}
