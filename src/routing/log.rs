//! Log lines of routing.

use std::time::Duration;

use super::duty::RoutingContext;
use super::message::{AttemptOutcome, HeldRequest, Outcome};
use crate::front::RequestHead;
use crate::types::{Attempt, ServiceId};

/// Writes one line for each request that has ended.
pub(super) fn log_end(context: &RoutingContext, held: &HeldRequest, outcome: &Outcome) {
    let head = &held.head;
    let elapsed = context
        .clock
        .now()
        .saturating_duration_since(head.arrived_at);
    let elapsed_ms = elapsed.as_millis() as u64;
    let request = head.log_name();
    let (route, service) = (&*held.route, &*held.service);
    match outcome {
        Outcome::Answered(answer) => {
            let status = answer.status;
            log::info!(request, route, service, status, elapsed_ms; "request_answered");
        }
        Outcome::Failed { kind, retry_after } => {
            let retry_after_ms = retry_after.map_or(0, |after| after.as_millis() as u64);
            let kind = kind.code();
            log::info!(request, route, service, kind, elapsed_ms, retry_after_ms; "request_failed");
        }
    }
}

/// Writes one line for a caller that disconnected; none if its request has just ended.
pub(super) fn log_caller_left(
    context: &RoutingContext,
    head: &RequestHead,
    progress: Option<(Attempt, &'static str)>,
) {
    let Some((attempt, phase)) = progress else {
        return;
    };
    let elapsed = context
        .clock
        .now()
        .saturating_duration_since(head.arrived_at);
    let elapsed_ms = elapsed.as_millis() as u64;
    log::info!(request = head.log_name(), attempt, phase, elapsed_ms; "caller_left");
}

/// Writes one line for each attempt that did not bring the server's answer.
pub(super) fn log_attempt(
    head: &RequestHead,
    attempt: Attempt,
    outcome: &AttemptOutcome,
    elapsed: Duration,
) {
    let (kind, by_guard, ran) = match outcome {
        AttemptOutcome::Answered(_) => return,
        AttemptOutcome::NotRun { kind, by_guard, .. } => (kind, *by_guard, "no"),
        AttemptOutcome::Unknown { kind, by_guard } => (kind, *by_guard, "unknown"),
    };
    let request = head.log_name();
    let elapsed_ms = elapsed.as_millis() as u64;
    let kind = kind.code();
    log::info!(request, attempt, kind, ran, by_guard, elapsed_ms; "attempt_failed");
}

/// Writes one line when requests of this VM begin to be sent in the name of another service.
pub(super) fn log_origin(known: &ServiceId, service: &ServiceId) {
    if known == service {
        return;
    }
    log::info!(from_service = &**known, to_service = &**service; "origin_changed");
}
