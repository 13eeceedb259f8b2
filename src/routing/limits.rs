//! Whether a request may have another attempt.

use std::time::Instant;

use super::state::{RequestState, RoutingState};
use crate::error::ErrorKind;

impl RoutingState {
    /// Whether a request whose last attempt did not run may be tried at another server.
    pub(super) fn may_go_elsewhere(
        &mut self,
        now: Instant,
        state: &RequestState,
        kind: ErrorKind,
    ) -> bool {
        let retried = matches!(
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
        let free = !has_arrived(kind);
        retried
            && self.has_attempt_left(now, state)
            && (free || self.budget.take(&state.plan.service))
    }

    pub(super) fn may_repeat(&mut self, now: Instant, state: &RequestState) -> bool {
        state.death_count < MAX_DEATH_COUNT
            && self.has_attempt_left(now, state)
            && self.budget.take(&state.plan.service)
    }

    pub(super) fn has_attempt_left(&self, now: Instant, state: &RequestState) -> bool {
        let arrived_limit_count = match state.plan.attempts_limit_count {
            0 => self.settings.attempt_limit_count,
            limit_count => limit_count,
        };
        let attempt_limit_count = arrived_limit_count + self.settings.refusals_limit_count;
        !self.closing
            && state.spent_count < SPENT_LIMIT_COUNT
            && state.arrived_count < arrived_limit_count
            && state.attempt < attempt_limit_count
            && now < state.plan.deadline_at
            && state.resendable
            && !state.abandoned
    }
}

/// Whether a server saw the request that was not run.
pub(super) fn has_arrived(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::ServerShed | ErrorKind::ServerReplaced)
}

/// Guards that are asked for a repeat while they have no budget for it.
const SPENT_LIMIT_COUNT: u32 = 4;

/// A request that has met this many deaths is not sent again.
const MAX_DEATH_COUNT: u32 = 2;
