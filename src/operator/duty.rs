//! The operator duty's thread, which answers operators and submits their changes.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crossbeam::channel::Receiver;

use super::message::{OperatorAction, OperatorAnswer, OperatorEvent, OperatorMessage, Refusal};
use super::state::OperatorState;
use crate::audit::{AuditEvent, AuditSink};
use crate::clock::{epoch_ms, Clock};
use crate::error::ErrorKind;
use crate::journal::{JournalEvent, SubmitOutcome};
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::types::{DaemonId, Incarnation};
use crate::wire::exchange::Exchange;
use crate::wire::operator::encode;

/// Interfaces and rings that the operator duty uses.
pub struct OperatorContext {
    /// Id of this daemon.
    pub daemon: DaemonId,
    /// Incarnation with which this daemon started.
    pub incarnation: Incarnation,
    /// Clock that gives the arrival time of requests.
    pub clock: Arc<dyn Clock>,
    /// Counters, which a status answer includes.
    pub metrics: Metrics,
    /// Ring of the journal, which takes changes.
    pub journal: RingSender<JournalEvent>,
    /// Ring of the audit duty, which takes queries.
    pub audit_events: RingSender<AuditEvent>,
    /// Sink for decisions about failure domains.
    pub audit: Arc<dyn AuditSink>,
}

/// Exchanges of the requests that are not answered yet, by ticket.
type Exchanges = HashMap<u64, Box<dyn Exchange>>;

/// Runs the duty until `OperatorMessage::Stop` or the ring closes.
pub fn run(context: &OperatorContext, messages: &Receiver<OperatorMessage>) {
    let mut state = OperatorState::new(context.daemon.clone(), context.incarnation);
    let mut exchanges = Exchanges::new();
    let mut next_ticket = 0;
    for message in messages {
        let event = match message {
            OperatorMessage::Stop => return,
            OperatorMessage::Event(event) => event,
            OperatorMessage::RequestArrived {
                operator,
                request,
                exchange,
            } => {
                next_ticket += 1;
                exchanges.insert(next_ticket, exchange);
                OperatorEvent::RequestArrived {
                    ticket: next_ticket,
                    operator,
                    at_ms: epoch_ms(context.clock.wall()),
                    request,
                }
            }
        };
        let mut actions = VecDeque::from(state.handle(event));
        while let Some(action) = actions.pop_front() {
            if let Some(event) = carry_out(context, &mut exchanges, action) {
                actions.extend(state.handle(event));
            }
        }
    }
}

/// Carries out an action. Returns the event that follows at once when the journal refuses a change.
fn carry_out(
    context: &OperatorContext,
    exchanges: &mut Exchanges,
    action: OperatorAction,
) -> Option<OperatorEvent> {
    match action {
        OperatorAction::RecordDecision(decision) => context.audit.record_decision(decision),
        OperatorAction::Submit(record) => {
            let operation = record.operation;
            if context.journal.offer(JournalEvent::Submit(record)).is_err() {
                let outcome = SubmitOutcome::Busy;
                return Some(OperatorEvent::ChangeResolved { operation, outcome });
            }
        }
        OperatorAction::QueryTrail { ticket, query } => {
            let event = AuditEvent::Query { ticket, query };
            if context.audit_events.offer(event).is_err() {
                let busy = OperatorAnswer::Refused(Refusal::new(ErrorKind::Busy));
                reply(context, exchanges, ticket, busy);
            }
        }
        OperatorAction::Answer { ticket, answer } => reply(context, exchanges, ticket, answer),
    }
    None
}

/// Answers a request, and adds the daemon's counters to a status.
fn reply(
    context: &OperatorContext,
    exchanges: &mut Exchanges,
    ticket: u64,
    answer: OperatorAnswer,
) {
    let Some(exchange) = exchanges.remove(&ticket) else {
        return;
    };
    let answer = match answer {
        OperatorAnswer::Status(mut status) => {
            status.counts = context.metrics.counts();
            OperatorAnswer::Status(status)
        }
        answer => answer,
    };
    exchange.answer(encode(&answer));
}
