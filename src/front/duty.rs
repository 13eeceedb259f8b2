//! The front's thread.

use std::collections::HashMap;
use std::sync::Arc;

use crossbeam::channel::Receiver;

use super::message::{FrontAction, FrontEvent, FrontMessage, RequestHead};
use super::state::FrontState;
use crate::allowance::{AllowanceEvent, AllowanceMessage};
use crate::audit::{AuditSink, Decision, Subject};
use crate::clock::{epoch_ms, Clock};
use crate::contract::short_hash;
use crate::error::ErrorKind;
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::routing::RoutingMessage;
use crate::types::RequestId;
use crate::wire::dialect::Dialect;
use crate::wire::exchange::Exchange;

/// Dependencies of the front's thread.
pub struct FrontContext {
    /// Clock from which events and audit records get their time.
    pub clock: Arc<dyn Clock>,
    /// Counters of refused requests.
    pub metrics: Metrics,
    /// Audit trail that records refusals.
    pub audit: Arc<dyn AuditSink>,
    /// Dialect in which refusals are written.
    pub dialect: Arc<dyn Dialect>,
    /// Ring of the allowance, which grants tokens.
    pub allowance: RingSender<AllowanceMessage>,
    /// Ring of routing, which takes admitted requests.
    pub routing: RingSender<RoutingMessage>,
}

/// A request that waits for a decision, with its exchange.
type HeldRequest = (Arc<RequestHead>, Box<dyn Exchange>);

/// Runs the thread until it receives `Stop` or its ring is closed.
pub fn run(context: &FrontContext, messages: &Receiver<FrontMessage>) {
    let mut state = FrontState::default();
    let mut held: HashMap<RequestId, HeldRequest> = HashMap::new();
    for message in messages {
        let event = match message {
            FrontMessage::Stop => return,
            FrontMessage::Event(event) => event,
            FrontMessage::Arrived(head, exchange) => {
                if !exchange.caller_waits() {
                    context.metrics.count("front.caller_left");
                    continue;
                }
                held.insert(head.request, (head.clone(), exchange));
                FrontEvent::Arrived(head)
            }
        };
        for action in state.handle(context.clock.now(), event) {
            carry_out(context, &mut held, action);
        }
    }
}

/// Carries out an action that the decisions returned.
fn carry_out(
    context: &FrontContext,
    held: &mut HashMap<RequestId, HeldRequest>,
    action: FrontAction,
) {
    match action {
        FrontAction::TakeToken {
            request,
            organisation,
        } => {
            if context
                .allowance
                .offer(AllowanceMessage::Event(AllowanceEvent::Take {
                    request,
                    organisation,
                }))
                .is_err()
            {
                refuse(context, held, request, ErrorKind::Busy, None);
            }
        }
        FrontAction::Dispatch(plan) => {
            let Some((head, exchange)) = held.remove(&plan.request) else {
                return;
            };
            let refused = context
                .dialect
                .refusal(head.answer_to(), ErrorKind::Busy, None);
            let message = RoutingMessage::Dispatch {
                plan,
                head,
                exchange,
            };
            if let Err(RoutingMessage::Dispatch { exchange, .. }) = context.routing.offer(message) {
                exchange.answer(refused);
            }
        }
        FrontAction::Drained => context.routing.deliver(RoutingMessage::Drain),
        FrontAction::Refuse {
            request,
            kind,
            retry_after,
        } => {
            refuse(context, held, request, kind, retry_after);
        }
    }
}

/// Refuses a held request: counts, logs and audits the refusal, and answers the caller.
fn refuse(
    context: &FrontContext,
    held: &mut HashMap<RequestId, HeldRequest>,
    request: RequestId,
    kind: ErrorKind,
    retry_after: Option<std::time::Duration>,
) {
    context
        .metrics
        .count(&format!("front.refused.{}", kind.code()));
    if let Some((head, exchange)) = held.remove(&request) {
        let retry_after_ms = retry_after.map_or(0, |after| after.as_millis() as u64);
        log::info!(
            request = head.log_name(),
            kind = kind.code(),
            host = head.host,
            target = head.target,
            retry_after_ms;
            "request_refused"
        );
        audit_refusal(context, &head, kind);
        let refused = context.dialect.refusal(head.answer_to(), kind, retry_after);
        exchange.answer(refused);
    }
}

/// Records in the audit trail why a request was refused.
fn audit_refusal(context: &FrontContext, head: &RequestHead, kind: ErrorKind) {
    let path = head.target.split('?').next().unwrap_or_default();
    let key = head.key_hash.as_ref().map_or("none".to_owned(), short_hash);
    context.audit.record_decision(Decision {
        at_ms: epoch_ms(context.clock.wall()),
        subject: Subject::Request(head.request),
        verdict: "refused".to_owned(),
        rule: format!("front.{}", kind.code()),
        evidence: vec![
            ("method".to_owned(), head.method.clone()),
            ("path".to_owned(), path.to_owned()),
            ("key".to_owned(), key),
        ],
    });
}
