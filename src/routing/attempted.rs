//! What routing does when an attempt ends.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::limits::has_reached_server;
use super::message::{AttemptOutcome, RoutingAction};
use super::state::{Phase, RequestState, RoutingActions, RoutingState, FAILURE_STATUS};
use crate::error::ErrorKind;
use crate::types::{Attempt, RequestId};

impl RoutingState {
    /// Handles the end of an attempt: answers the caller, tries another server, or ends the
    /// request. An end that does not belong to the present attempt is ignored.
    pub(super) fn attempted(
        &mut self,
        now: Instant,
        request: RequestId,
        attempt: Attempt,
        outcome: AttemptOutcome,
        elapsed: Duration,
        resendable: bool,
    ) -> RoutingActions {
        let Some(mut state) = self.requests.remove(&request) else {
            return SmallVec::new();
        };
        let target = match &state.phase {
            Phase::Sent { target, .. } if state.attempt == attempt => target.clone(),
            _ => {
                self.requests.insert(request, state);
                return SmallVec::new();
            }
        };
        state.resendable = resendable;
        self.choice
            .attempt_ended(now, &state.plan, &target, &outcome, elapsed);
        match outcome {
            AttemptOutcome::Answered(answer) => {
                state.reached_count += 1;
                let failed = answer.status >= FAILURE_STATUS;
                // If a second server fails too, the cause is likely the request itself.
                let again = self.settings.retry_failed_answers && state.failed_answer.is_none();
                if failed && state.plan.repeatable && again && !state.abandoned {
                    state.may_have_run = true;
                    state.exhausted.push(target.server);
                    state.failed_answer = Some(answer);
                    return self.repeat(now, request, state, ErrorKind::OutcomeUnknown);
                }
                if !failed {
                    self.wake_service(now, &state.plan.service);
                }
                self.finish_answered(request, &state, answer)
            }
            AttemptOutcome::NotRun {
                kind,
                retry_after,
                by_guard,
            } => {
                if by_guard && is_full(kind) {
                    state.shortest_wait = shorter(state.shortest_wait, retry_after);
                }
                if state.terms.seeks_free_slot && by_guard && kind == ErrorKind::Busy {
                    state.busy.extend(state.tried.pop());
                    return self.send(now, request, state, kind);
                }
                state.full_refusal_count += u32::from(by_guard && is_full(kind));
                if has_reached_server(kind) {
                    state.reached_count += 1;
                }
                state.budget_refusal_count += u32::from(kind == ErrorKind::RetriesSpent);
                if has_reached_server(kind) || state.terms.last_resort {
                    state.exhausted.push(target.server);
                }
                if self.may_try_another_server(now, &state, kind) {
                    return self.send(now, request, state, kind);
                }
                self.finish_failed(request, state, kind, retry_after)
            }
            AttemptOutcome::Unknown { kind, by_guard } => {
                if !by_guard && !state.plan.repeatable {
                    return self.fence(request, state, kind);
                }
                state.may_have_run = true;
                state.reached_count += 1;
                state.exhausted.push(target.server.clone());
                state.death_count += u32::from(kind == ErrorKind::ServerDied);
                let mut actions = self.repeat(now, request, state, kind);
                if !by_guard {
                    let to = target.daemon.clone();
                    actions.push(RoutingAction::Cancel { to, request });
                }
                actions
            }
        }
    }

    /// Sends a repeatable request again if the budget allows it, or ends it.
    fn repeat(
        &mut self,
        now: Instant,
        request: RequestId,
        state: RequestState,
        kind: ErrorKind,
    ) -> RoutingActions {
        if state.plan.repeatable && self.may_repeat(now, &state) {
            return self.send(now, request, state, kind);
        }
        self.finish_failed(request, state, kind, None)
    }
}

/// Returns whether a guard refused because it has no room, not because its server fails.
fn is_full(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::Busy | ErrorKind::DeadlineUnmeetable)
}

/// Returns the shorter of two waits that may be unknown.
fn shorter(known: Option<Duration>, other: Option<Duration>) -> Option<Duration> {
    match (known, other) {
        (Some(known), Some(other)) => Some(known.min(other)),
        _ => known.or(other),
    }
}
