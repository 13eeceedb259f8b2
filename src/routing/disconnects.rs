//! What routing does when a caller disconnects.

use std::time::Instant;

use smallvec::SmallVec;

use super::message::{AttemptOutcome, RequestPlan, Target};
use super::state::{Phase, RoutingActions, RoutingState};
use crate::error::ErrorKind;
use crate::types::{Attempt, RequestId};

impl RoutingState {
    /// Returns the present attempt at an open request, and the name of what the request waits for.
    pub(super) fn progress(&self, request: RequestId) -> Option<(Attempt, &'static str)> {
        let state = self.requests.get(&request)?;
        Some((state.attempt, state.phase.name()))
    }

    /// Ends a request whose caller disconnected. The end drops the call of its attempt, from which
    /// the guard learns that nobody waits. With a claimed idempotency key the guard is asked to
    /// fence the attempt first, so that the key is released if it never starts.
    pub(super) fn caller_left(&mut self, now: Instant, request: RequestId) -> RoutingActions {
        let Some(mut state) = self.requests.remove(&request) else {
            return SmallVec::new();
        };
        state.abandoned = true;
        let (target, sent_at) = match &state.phase {
            Phase::Sent {
                target, sent_at, ..
            } => (target.clone(), *sent_at),
            Phase::Parked { kind } => {
                let kind = *kind;
                return self.finish_failed(request, state, kind, None);
            }
            Phase::New | Phase::Claiming { .. } | Phase::Fencing { .. } => {
                self.requests.insert(request, state);
                return SmallVec::new();
            }
        };
        self.abandon_attempt(now, &state.plan, &target, sent_at);
        if state.claim_home.is_some() {
            return self.fence(request, state, ErrorKind::OutcomeUnknown);
        }
        state.may_have_run = true;
        self.finish_failed(request, state, ErrorKind::OutcomeUnknown, None)
    }

    /// Records the end of an attempt whose caller left. One that lasted longer than the patience
    /// of its route counts as lost, as if it had been given up then.
    fn abandon_attempt(
        &mut self,
        now: Instant,
        plan: &RequestPlan,
        target: &Target,
        sent_at: Instant,
    ) {
        let elapsed = now.saturating_duration_since(sent_at);
        let patience = self.choice.patience(plan);
        if patience.is_none_or(|patience| elapsed < patience) {
            return self.choice.attempt_abandoned(plan, target);
        }
        let lost = AttemptOutcome::Unknown {
            kind: ErrorKind::OutcomeUnknown,
            by_guard: false,
        };
        self.choice.attempt_ended(now, plan, target, &lost, elapsed);
    }
}

impl Phase {
    /// Returns the name of the phase in logs.
    fn name(&self) -> &'static str {
        match self {
            Phase::New => "new",
            Phase::Claiming { .. } => "claiming",
            Phase::Sent { .. } => "sent",
            Phase::Parked { .. } => "parked",
            Phase::Fencing { .. } => "fencing",
        }
    }
}
