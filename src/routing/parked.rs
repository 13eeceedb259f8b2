//! Parks requests at the entry while every server of their service is closed.
//!
//! A request is parked for at most a share of its target time, so that one that finds no server in
//! the end is refused early.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::state::{Phase, RequestState, RoutingActions, RoutingState};
use crate::error::ErrorKind;
use crate::types::{RequestId, ServiceId};

/// Most requests that may be parked at a time.
const PARKED_LIMIT_COUNT: usize = 512;
/// Shortest wait before a parked request tries the servers again.
const SHORTEST_WAIT: Duration = Duration::from_millis(20);

/// When each parked request is to try the servers again.
#[derive(Debug, Default)]
pub(super) struct Parked {
    /// When each request is due; the first one due comes first.
    wake_ups: BTreeSet<(Instant, RequestId)>,
}

impl Parked {
    /// Returns when the first parked request is due.
    pub(super) fn next_at(&self) -> Option<Instant> {
        self.wake_ups.first().map(|(at, _)| *at)
    }

    /// Removes the requests that are due and returns them.
    fn take_due(&mut self, now: Instant) -> SmallVec<[RequestId; 4]> {
        let mut due = SmallVec::new();
        while self.next_at().is_some_and(|at| at <= now) {
            due.extend(self.wake_ups.pop_first().map(|(_, request)| request));
        }
        due
    }
}

impl RoutingState {
    /// Parks a request that no server takes now, or ends it with `kind` if it may not wait.
    pub(super) fn park(
        &mut self,
        now: Instant,
        request: RequestId,
        mut state: RequestState,
        kind: ErrorKind,
    ) -> RoutingActions {
        let Some(wake_at) = self.wake_at(now, &state, kind) else {
            return self.finish_failed(request, state, kind, None);
        };
        state.phase = Phase::Parked { kind };
        state.tried = state.exhausted.clone();
        state.busy.clear();
        state.full_refusal_count = 0;
        self.requests.insert(request, state);
        self.parked.wake_ups.insert((wake_at, request));
        RoutingActions::new()
    }

    /// Returns when a request tries the servers again; none if it may not wait that long.
    fn wake_at(&self, now: Instant, state: &RequestState, kind: ErrorKind) -> Option<Instant> {
        let all_closed = matches!(kind, ErrorKind::ServerTripped | ErrorKind::NoServer);
        let full = self.parked.wake_ups.len() >= PARKED_LIMIT_COUNT;
        if !all_closed || full || self.ends_at.is_some() || !self.has_attempt_left(now, state) {
            return None;
        }
        let until = state.arrived_at + self.park_limit(now, state);
        let open_at = self.choice.reopens_at(now, &state.plan)?;
        Some(open_at.max(now + SHORTEST_WAIT)).filter(|at| *at <= until)
    }

    /// Returns how long a request may be parked in all, from its arrival.
    fn park_limit(&self, now: Instant, state: &RequestState) -> Duration {
        self.target_time(now, state)
            .mul_f64(self.settings.park_share)
    }

    /// Tries the servers again for the requests that are due.
    pub(super) fn wake_due(&mut self, now: Instant) -> RoutingActions {
        let mut actions = RoutingActions::new();
        for request in self.parked.take_due(now) {
            let Some(state) = self.requests.remove(&request) else {
                continue;
            };
            let Phase::Parked { kind } = state.phase else {
                self.requests.insert(request, state);
                continue;
            };
            actions.extend(self.send(now, request, state, kind));
        }
        actions
    }

    /// Makes the parked requests of a service due, after one of its servers has answered well.
    pub(super) fn wake_service(&mut self, now: Instant, service: &ServiceId) {
        let is_waiting = |(_, request): &(Instant, RequestId)| {
            let state = self.requests.get(request);
            state.is_some_and(|state| state.plan.service == *service)
        };
        let waiting: SmallVec<[(Instant, RequestId); 4]> = self
            .parked
            .wake_ups
            .iter()
            .copied()
            .filter(is_waiting)
            .collect();
        for wake in waiting {
            self.parked.wake_ups.remove(&wake);
            self.parked.wake_ups.insert((now, wake.1));
        }
    }
}
