//! Keeps a request from running twice: claims idempotency keys, and fences attempts whose guard was
//! lost.

use std::time::Instant;

use smallvec::{smallvec, SmallVec};

use super::message::RoutingAction;
use super::state::{Phase, RequestState, RoutingActions, RoutingState};
use crate::error::ErrorKind;
use crate::idempotency::home::claim_key;
use crate::idempotency::HomeMap;
use crate::link::{ClaimAnswer, ClaimRequest, ClaimStep, FenceAnswer, FenceRequest};
use crate::types::{Attempt, RequestId};

impl RoutingState {
    /// Claims the idempotency key of a request at the key's home.
    pub(super) fn claim(
        &mut self,
        request: RequestId,
        state: RequestState,
        key: String,
    ) -> RoutingActions {
        let homes = self.homes.get_or_insert_with(|| HomeMap::new(&self.fleet));
        let organisation = state.plan.organisation.clone();
        let Some(home) = homes.home(&claim_key(&organisation, &key)).cloned() else {
            return self.finish_failed(request, state, ErrorKind::NoServer, None);
        };
        let claim = ClaimRequest {
            step: ClaimStep::Take,
            organisation,
            idempotency_key: key,
            request,
        };
        let phase = Phase::Claiming { home: home.clone() };
        self.requests
            .insert(request, RequestState { phase, ..state });
        smallvec![RoutingAction::Claim { to: home, claim }]
    }

    /// Handles the home's answer to a claim; only a granted claim lets the request go on.
    pub(super) fn claimed(
        &mut self,
        now: Instant,
        request: RequestId,
        answer: Option<ClaimAnswer>,
    ) -> RoutingActions {
        let Some(mut state) = self.requests.remove(&request) else {
            return SmallVec::new();
        };
        let Phase::Claiming { home } = &state.phase else {
            self.requests.insert(request, state);
            return SmallVec::new();
        };
        match answer {
            Some(ClaimAnswer::Granted) => {
                state.claim_home = Some(home.clone());
                if state.abandoned {
                    return self.finish_failed(request, state, ErrorKind::Cancelled, None);
                }
                self.send(now, request, state, ErrorKind::NoServer)
            }
            Some(ClaimAnswer::Taken { .. }) => {
                self.finish_failed(request, state, ErrorKind::DuplicateRequest, None)
            }
            Some(ClaimAnswer::Unknown) | None => {
                self.finish_failed(request, state, ErrorKind::OutcomeUnknown, None)
            }
        }
    }

    /// Asks the guard of a lost attempt to make sure that the attempt never starts.
    pub(super) fn fence(
        &mut self,
        request: RequestId,
        mut state: RequestState,
        kind: ErrorKind,
    ) -> RoutingActions {
        let actions = fence_action(request, &state).into_iter().collect();
        state.phase = Phase::Fencing { kind };
        self.requests.insert(request, state);
        actions
    }

    /// Handles a guard's answer to a fence. Unless the guard confirms it, the outcome is unknown.
    pub(super) fn fenced(
        &mut self,
        now: Instant,
        request: RequestId,
        attempt: Attempt,
        answer: Option<FenceAnswer>,
    ) -> RoutingActions {
        let Some(mut state) = self.requests.remove(&request) else {
            return SmallVec::new();
        };
        let kind = match &state.phase {
            Phase::Fencing { kind } if state.attempt == attempt => *kind,
            // The process is about to end, and the attempt never starts.
            Phase::Sent { .. }
                if state.attempt == attempt && answer == Some(FenceAnswer::Fenced) =>
            {
                return self.finish_failed(request, state, ErrorKind::Stopping, None);
            }
            _ => {
                self.requests.insert(request, state);
                return SmallVec::new();
            }
        };
        if answer != Some(FenceAnswer::Fenced) {
            state.may_have_run = true;
            return self.finish_failed(request, state, kind, None);
        }
        // The attempt never starts, so the request may go to another server.
        if now >= state.plan.deadline_at {
            return self.finish_failed(request, state, ErrorKind::DeadlineUnmeetable, None);
        }
        if self.may_try_another_server(now, &state, ErrorKind::Fenced) {
            return self.send(now, request, state, ErrorKind::Fenced);
        }
        self.finish_failed(request, state, ErrorKind::Fenced, None)
    }
}

/// Returns the action that keeps the present attempt at a request from starting, if there is one.
pub(super) fn fence_action(request: RequestId, state: &RequestState) -> Option<RoutingAction> {
    let Phase::Sent {
        target,
        incarnation,
        ..
    } = &state.phase
    else {
        return None;
    };
    let fence = FenceRequest {
        request,
        attempt: state.attempt,
        incarnation: *incarnation,
    };
    let to = target.daemon.clone();
    Some(RoutingAction::Fence { to, fence })
}
