//! Requests that wait at the entry while every server of their service is left alone.
//!
//! A request waits for a part of the time in which its answer is wanted, so that one that finds no
//! server in the end is refused early enough.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::state::{Phase, RequestState, RoutingActions, RoutingState};
use crate::error::ErrorKind;
use crate::types::{RequestId, ServiceId};

/// Requests that may wait at a time.
const PARKED_LIMIT_COUNT: usize = 512;
/// Shortest wait before the servers are looked at again.
const SHORTEST_WAIT: Duration = Duration::from_millis(20);

/// When requests that wait are to be looked at again.
#[derive(Debug, Default)]
pub(super) struct Parked {
    wakes: BTreeSet<(Instant, RequestId)>,
}

impl Parked {
    /// When the first one is due.
    pub(super) fn next_at(&self) -> Option<Instant> {
        self.wakes.first().map(|(at, _)| *at)
    }

    fn take_due(&mut self, now: Instant) -> SmallVec<[RequestId; 4]> {
        let mut due = SmallVec::new();
        while self.next_at().is_some_and(|at| at <= now) {
            due.extend(self.wakes.pop_first().map(|(_, request)| request));
        }
        due
    }
}

impl RoutingState {
    /// Lets a request wait that no server takes now, or ends it with `kind` where it may not wait.
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
        state.tried = state.spent.clone();
        state.busy.clear();
        state.full_count = 0;
        self.requests.insert(request, state);
        self.parked.wakes.insert((wake_at, request));
        RoutingActions::new()
    }

    /// When the servers are to be looked at again for a request; none where it may not wait so long.
    fn wake_at(&self, now: Instant, state: &RequestState, kind: ErrorKind) -> Option<Instant> {
        let left_alone = matches!(kind, ErrorKind::ServerTripped | ErrorKind::NoServer);
        let full = self.parked.wakes.len() >= PARKED_LIMIT_COUNT;
        if !left_alone || full || self.leaving || !self.has_attempt_left(now, state) {
            return None;
        }
        let until = state.arrived_at + self.patience_at_entry(now, state);
        let open_at = self.choice.reopens_at(now, &state.plan)?;
        Some(open_at.max(now + SHORTEST_WAIT)).filter(|at| *at <= until)
    }

    /// How long a request may wait for a server in all.
    fn patience_at_entry(&self, now: Instant, state: &RequestState) -> Duration {
        self.target(now, state).mul_f64(self.settings.park_share)
    }

    /// Looks at the servers again for the requests that are due.
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

    /// A server of the service has done well: those that wait for one are due.
    pub(super) fn wake_service(&mut self, now: Instant, service: &ServiceId) {
        let waits = |(_, request): &(Instant, RequestId)| {
            let state = self.requests.get(request);
            state.is_some_and(|state| state.plan.service == *service)
        };
        let woken: SmallVec<[(Instant, RequestId); 4]> =
            self.parked.wakes.iter().copied().filter(waits).collect();
        for wake in woken {
            self.parked.wakes.remove(&wake);
            self.parked.wakes.insert((now, wake.1));
        }
    }
}
