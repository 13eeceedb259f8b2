//! What routing does while the process stops.
//!
//! A request is sent only if it will probably be answered before the process ends. One that still
//! queues at a guard when too little time is left is taken back, and refused as not run.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::at_most_once::fence_action;
use super::message::RequestPlan;
use super::state::{Phase, RequestState, RoutingActions, RoutingState};
use crate::error::ErrorKind;
use crate::types::RequestId;

/// Number of mean times of its route that a request is expected to need at most. One that would need
/// longer than the process has left is refused.
pub(crate) const STOP_TIME_FACTOR: u32 = 2;

impl RoutingState {
    /// Returns whether the process will probably end before an attempt that is sent now.
    pub(super) fn would_outlast_stop(&self, now: Instant, plan: &RequestPlan) -> bool {
        let needed = self.needed_time(plan);
        self.ends_at.is_some_and(|ends_at| now + needed > ends_at)
    }

    /// Returns the time that an attempt needs at most, but for rare ones. Without a known time it
    /// is the target of the route, or nothing.
    fn needed_time(&self, plan: &RequestPlan) -> Duration {
        let typical = self.choice.typical_time(plan);
        typical.map_or(plan.target, |typical| typical * STOP_TIME_FACTOR)
    }

    /// Returns when the attempt at a request is to be taken back if it still queues then; none if
    /// the process does not end or its guard was asked already.
    fn take_back_at(&self, state: &RequestState) -> Option<Instant> {
        let waits = matches!(state.phase, Phase::Sent { .. }) && !state.taken_back;
        let ends_at = self.ends_at.filter(|_| waits)?;
        ends_at.checked_sub(self.needed_time(&state.plan))
    }

    /// Returns when the first attempt is to be taken back.
    pub(super) fn next_take_back_at(&self) -> Option<Instant> {
        self.ends_at?;
        let open = self.requests.values();
        open.filter_map(|state| self.take_back_at(state)).min()
    }

    /// Asks guards to fence the attempts that would no longer end in time if they started now.
    pub(super) fn take_back_late(&mut self, now: Instant) -> RoutingActions {
        let is_late = |state: &RequestState| self.take_back_at(state).is_some_and(|at| at <= now);
        let late: SmallVec<[RequestId; 4]> = self
            .requests
            .iter()
            .filter(|(_, state)| is_late(state))
            .map(|(request, _)| *request)
            .collect();
        let mut actions = RoutingActions::new();
        for request in late {
            let Some(state) = self.requests.get_mut(&request) else {
                continue;
            };
            state.taken_back = true;
            actions.extend(fence_action(request, state));
        }
        actions
    }

    /// Takes back what has not started: refuses parked requests, and asks guards to fence attempts
    /// that still queue there. Attempts that run are left to be answered.
    pub(super) fn close(&mut self) -> RoutingActions {
        self.closing = true;
        let mut actions = RoutingActions::new();
        let mut parked = Vec::new();
        for (request, state) in &self.requests {
            if matches!(state.phase, Phase::Parked { .. }) {
                parked.push(*request);
            }
            actions.extend(fence_action(*request, state));
        }
        for request in parked {
            if let Some(state) = self.requests.remove(&request) {
                actions.extend(self.finish_failed(request, state, ErrorKind::Stopping, None));
            }
        }
        actions
    }

    /// Ends every open request, so that its caller gets an answer before the process ends.
    pub(super) fn end_all(&mut self) -> RoutingActions {
        self.closing = true;
        let mut actions = RoutingActions::new();
        for (request, mut state) in std::mem::take(&mut self.requests) {
            state.may_have_run |= matches!(state.phase, Phase::Sent { .. } | Phase::Fencing { .. });
            actions.extend(self.finish_failed(request, state, ErrorKind::Stopping, None));
        }
        actions
    }
}
