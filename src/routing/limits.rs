//! Limits on the attempts at one request: how many there may be, and how long each may take.

use std::time::{Duration, Instant};

use super::state::{is_own_call, RequestState, RoutingState, FULL_REFUSAL_LIMIT_COUNT};
use crate::error::ErrorKind;

impl RoutingState {
    /// Returns whether a request whose last attempt did not run may be sent to another server.
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
        // A request that no server has seen does not multiply an overload, so it costs no budget.
        let no_server_reached = !has_reached_server(kind);
        retriable
            && self.has_attempt_left(now, state)
            && (no_server_reached || self.budget.take_retry(&state.plan.service))
    }

    /// Returns whether a request that may have run may be sent again, and takes a retry for it.
    pub(super) fn may_repeat(&mut self, now: Instant, state: &RequestState) -> bool {
        state.death_count < MAX_DEATH_COUNT
            && self.has_attempt_left(now, state)
            && self.budget.take_retry(&state.plan.service)
    }

    /// Returns whether the limits on attempts, the deadline and the body allow another attempt.
    pub(super) fn has_attempt_left(&self, now: Instant, state: &RequestState) -> bool {
        self.has_attempts_left(now, state, 1)
    }

    /// Returns whether the limits allow this many attempts that each reach a server.
    pub(super) fn has_attempts_left(&self, now: Instant, state: &RequestState, count: u32) -> bool {
        let reached_limit_count = match state.plan.attempts_limit_count {
            0 => self.settings.attempt_limit_count,
            limit_count => limit_count,
        };
        let attempt_limit_count = reached_limit_count + self.settings.refusals_limit_count;
        !self.closing
            && state.budget_refusal_count < BUDGET_REFUSAL_LIMIT_COUNT
            && state.reached_count + count <= reached_limit_count
            && state.attempt < attempt_limit_count
            && now < state.plan.deadline_at
            && state.resendable
            && !state.abandoned
    }

    /// Returns whether the attempt that is sent now may end early, so that another one can be made.
    /// A daemon that leaves ends no attempt early, since a server may be running it. If the budget
    /// has no retry left, there is no other attempt to save time for.
    fn may_give_up(&self, now: Instant, state: &RequestState) -> bool {
        state.plan.repeatable
            && self.ends_at.is_none()
            && self.budget.has_retry(&state.plan.service)
            && self.has_attempts_left(now, state, 2)
    }

    /// Returns the time after which a run counts as hung where its usual time is not known, if
    /// another server is likely to run the request: none if one had no room for it, and none for a
    /// last resort.
    pub(super) fn hung_after(&self, now: Instant, state: &RequestState) -> Option<Duration> {
        let has_room = state.full_refusal_count == 0 && !state.terms.last_resort;
        let replaceable = self.settings.end_hung_runs
            && has_room
            && self.choice.has_other_server(&state.plan)
            && self.may_give_up(now, state);
        replaceable.then(|| self.target_time(now, state))
    }

    /// Returns how long an attempt waits in a queue for a slot; none to its deadline. A call of the
    /// server on this VM waits to its deadline once no other server can be asked: if it failed, the
    /// work of the server that waits for it would be lost as well.
    pub(super) fn queue_wait_limit_ms(&self, now: Instant, state: &RequestState) -> Option<u32> {
        if !is_own_call(&state.plan) {
            let share = Some(self.settings.queue_wait_share).filter(|share| *share > 0.0)?;
            return Some(self.target_share_ms(now, state, share));
        }
        let share = self.settings.own_call_wait_share;
        let is_last = state.full_refusal_count + 1 >= FULL_REFUSAL_LIMIT_COUNT
            || !self.choice.has_other_server(&state.plan)
            || !self.has_attempts_left(now, state, 2);
        if share <= 0.0 || is_last {
            return None;
        }
        let left = state.plan.deadline_at.saturating_duration_since(now);
        Some(left.mul_f64(share).as_millis() as u32)
    }

    /// Returns when an attempt is given up so that there is time left for another one.
    pub(super) fn attempt_until(&self, now: Instant, state: &RequestState) -> Instant {
        let deadline_at = state.plan.deadline_at;
        if !self.may_give_up(now, state) {
            return deadline_at;
        }
        match self.choice.patience(&state.plan) {
            Some(patience) if now + patience * 2 <= deadline_at => now + patience,
            _ => deadline_at,
        }
    }
}

/// Returns whether a server saw the request, although it did not run it.
pub(super) fn has_reached_server(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::ServerShed | ErrorKind::ServerReplaced)
}

/// Most guards without budget that are asked to take a repeat of one request.
const BUDGET_REFUSAL_LIMIT_COUNT: u32 = 4;

/// A request during which this many servers crashed is not sent again.
const MAX_DEATH_COUNT: u32 = 2;
