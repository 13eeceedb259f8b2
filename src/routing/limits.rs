//! Whether a request may have another attempt.

use std::time::Instant;

use super::state::{RequestState, RoutingState};
use crate::error::ErrorKind;

impl RoutingState {
    /// Whether a request whose last attempt did not run may be tried at another server.
    pub(super) fn may_try_another_server(
        &mut self,
        now: Instant,
        state: &RequestState,
        kind: ErrorKind,
    ) -> bool {
        let retriable = matches!(
            kind,
            ErrorKind::Busy
                | ErrorKind::NoServer
                | ErrorKind::Stopping
                | ErrorKind::ServerTripped
                | ErrorKind::RetriesSpent
                | ErrorKind::Fenced
                | ErrorKind::DeadlineUnmeetable
                | ErrorKind::ServerShed
                | ErrorKind::ServerReplaced
        );
        // What no server saw multiplies no overload.
        let no_server_reached = !has_reached_server(kind);
        retriable
            && self.has_attempt_left(now, state)
            && (no_server_reached || self.budget.take_retry(&state.plan.service))
    }

    pub(super) fn may_repeat(&mut self, now: Instant, state: &RequestState) -> bool {
        state.death_count < MAX_DEATH_COUNT
            && self.has_attempt_left(now, state)
            && self.budget.take_retry(&state.plan.service)
    }

    pub(super) fn has_attempt_left(&self, now: Instant, state: &RequestState) -> bool {
        let reached_limit_count = match state.plan.attempts_limit_count {
            0 => self.settings.attempt_limit_count,
            limit_count => limit_count,
        };
        let attempt_limit_count = reached_limit_count + self.settings.refusals_limit_count;
        !self.closing
            && state.budget_refusal_count < BUDGET_REFUSAL_LIMIT_COUNT
            && state.reached_count < reached_limit_count
            && state.attempt < attempt_limit_count
            && now < state.plan.deadline_at
            && state.resendable
            && !state.abandoned
    }
}

/// Whether a server saw the request that was not run.
pub(super) fn has_reached_server(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::ServerShed | ErrorKind::ServerReplaced)
}

/// Guards that are asked for a repeat while they have no budget for it.
const BUDGET_REFUSAL_LIMIT_COUNT: u32 = 4;

/// A request that has met this many deaths is not sent again.
const MAX_DEATH_COUNT: u32 = 2;
