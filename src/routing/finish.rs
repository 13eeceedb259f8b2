//! Ends requests and chooses the answers to their callers.

use std::time::Duration;

use smallvec::smallvec;

use super::message::{Outcome, RoutingAction};
use super::state::{is_own_call, RequestState, RoutingActions, RoutingState, FAILURE_STATUS};
use crate::error::{ErrorKind, Ran};
use crate::link::{ClaimRequest, ClaimStep};
use crate::types::RequestId;
use crate::wire::exchange::WholeAnswer;

impl RoutingState {
    /// Ends the request with a server's answer.
    pub(super) fn finish_answered(
        &self,
        request: RequestId,
        state: &RequestState,
        answer: WholeAnswer,
    ) -> RoutingActions {
        let failed = answer.status >= FAILURE_STATUS;
        let outcome = Outcome::Answered(answer);
        let mut actions: RoutingActions = smallvec![RoutingAction::Finish { request, outcome }];
        if failed && is_failed_own_call(state) {
            actions.push(RoutingAction::OwnCallFailed);
        }
        actions
    }

    /// Ends the request without a server's answer. It is reported as not run only if no attempt can
    /// have started; in that case its idempotency key is released.
    pub(super) fn finish_failed(
        &mut self,
        request: RequestId,
        mut state: RequestState,
        kind: ErrorKind,
        retry_after: Option<Duration>,
    ) -> RoutingActions {
        if let Some(answer) = state.failed_answer.take() {
            return self.finish_answered(request, &state, answer);
        }
        let not_run = kind.ran() == Ran::No;
        let kind = if state.may_have_run && not_run {
            ErrorKind::OutcomeUnknown
        } else {
            kind
        };
        let default_wait = Some(self.settings.retry_after_ms).filter(|ms| *ms > 0);
        let retry_after = retry_after
            .or(state.shortest_wait)
            .or(default_wait.map(Duration::from_millis));
        let outcome = Outcome::Failed { kind, retry_after };
        let mut actions: RoutingActions = smallvec![RoutingAction::Finish { request, outcome }];
        if is_failed_own_call(&state) {
            actions.push(RoutingAction::OwnCallFailed);
        }
        if kind.ran() != Ran::No {
            return actions;
        }
        if let (Some(to), Some(key)) = (state.claim_home, &state.plan.idempotency_key) {
            let claim = ClaimRequest {
                step: ClaimStep::Release,
                organisation: state.plan.organisation.clone(),
                idempotency_key: key.clone(),
                request,
            };
            actions.push(RoutingAction::Claim { to, claim });
        }
        actions
    }
}

/// Returns whether the failed request may have been a call of the server on this VM that it still
/// waits for.
fn is_failed_own_call(state: &RequestState) -> bool {
    is_own_call(&state.plan) && !state.abandoned
}
