//! Decisions of routing: the least loaded of two servers drawn at random, and retries.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use super::message::{AttemptOutcome, Outcome, RequestPlan, RoutingAction, RoutingEvent, Target};
use crate::contract::View;
use crate::error::ErrorKind;
use crate::membership::Fleet;
use crate::settings::routing::RoutingSettings;
use crate::types::{Attempt, BackendServerId, RequestId};

/// State of routing.
pub struct RoutingState {
    settings: RoutingSettings,
    random: ChaCha8Rng,
    view: Arc<View>,
    fleet: Arc<Fleet>,
    /// Requests of this entry at each server.
    outstanding: HashMap<BackendServerId, u32>,
    requests: HashMap<RequestId, RequestState>,
}

struct RequestState {
    plan: Arc<RequestPlan>,
    attempt: Attempt,
    target: Target,
    tried: SmallVec<[BackendServerId; 4]>,
}

impl RoutingState {
    /// Routing with nothing to route to yet.
    pub fn new(settings: RoutingSettings, random: ChaCha8Rng) -> RoutingState {
        RoutingState {
            settings,
            random,
            view: Arc::default(),
            fleet: Arc::default(),
            outstanding: HashMap::new(),
            requests: HashMap::new(),
        }
    }

    /// Takes one event and gives what is to be done.
    pub fn handle(&mut self, now: Instant, event: RoutingEvent) -> Option<RoutingAction> {
        match event {
            RoutingEvent::Dispatch(plan) => Some(self.dispatch(plan)),
            RoutingEvent::Attempted {
                request,
                attempt,
                outcome,
                ..
            } => self.attempted(now, request, attempt, outcome),
            RoutingEvent::View(view) => {
                self.view = view;
                None
            }
            RoutingEvent::Fleet(fleet) => {
                self.fleet = fleet;
                None
            }
        }
    }

    fn dispatch(&mut self, plan: RequestPlan) -> RoutingAction {
        let request = plan.request;
        let Some(target) = self.pick(&plan, &[]) else {
            let outcome = Outcome::Failed {
                kind: ErrorKind::NoServer,
                retry_after: None,
            };
            return RoutingAction::Finish { request, outcome };
        };
        let state = RequestState {
            plan: Arc::new(plan),
            attempt: 0,
            target,
            tried: SmallVec::new(),
        };
        self.send(request, state)
    }

    fn send(&mut self, request: RequestId, mut state: RequestState) -> RoutingAction {
        state.attempt += 1;
        state.tried.push(state.target.server.clone());
        *self
            .outstanding
            .entry(state.target.server.clone())
            .or_default() += 1;
        let action = RoutingAction::Send {
            plan: state.plan.clone(),
            attempt: state.attempt,
            target: state.target.clone(),
        };
        self.requests.insert(request, state);
        action
    }

    fn attempted(
        &mut self,
        now: Instant,
        request: RequestId,
        attempt: Attempt,
        outcome: AttemptOutcome,
    ) -> Option<RoutingAction> {
        let state = self.requests.remove(&request)?;
        if state.attempt != attempt {
            self.requests.insert(request, state);
            return None;
        }
        self.release(&state.target.server);
        if self.may_retry(now, &state, &outcome) {
            if let Some(target) = self.pick(&state.plan, &state.tried) {
                return Some(self.send(request, RequestState { target, ..state }));
            }
        }
        let outcome = match outcome {
            AttemptOutcome::Answered(answer) => Outcome::Answered(answer),
            AttemptOutcome::NotRun {
                kind, retry_after, ..
            } => Outcome::Failed { kind, retry_after },
            AttemptOutcome::Unknown { kind } => Outcome::Failed {
                kind,
                retry_after: None,
            },
        };
        Some(RoutingAction::Finish { request, outcome })
    }

    fn may_retry(&self, now: Instant, state: &RequestState, outcome: &AttemptOutcome) -> bool {
        if state.attempt >= self.settings.attempt_limit_count || now >= state.plan.deadline_at {
            return false;
        }
        match outcome {
            AttemptOutcome::Answered(_) => false,
            AttemptOutcome::NotRun { kind, .. } => {
                matches!(
                    kind,
                    ErrorKind::Busy | ErrorKind::NoServer | ErrorKind::Stopping
                )
            }
            AttemptOutcome::Unknown { .. } => state.plan.repeatable,
        }
    }

    fn release(&mut self, server: &BackendServerId) {
        if let Some(count) = self.outstanding.get_mut(server) {
            *count = count.saturating_sub(1);
        }
    }

    fn pick(&mut self, plan: &RequestPlan, tried: &[BackendServerId]) -> Option<Target> {
        let candidates = self.candidates(plan, tried);
        if candidates.is_empty() {
            return None;
        }
        let first = &candidates[self.random.random_range(0..candidates.len())];
        let second = &candidates[self.random.random_range(0..candidates.len())];
        let load = |target: &Target| self.outstanding.get(&target.server).copied().unwrap_or(0);
        let chosen = if load(second) < load(first) {
            second
        } else {
            first
        };
        Some(chosen.clone())
    }

    fn candidates(&self, plan: &RequestPlan, tried: &[BackendServerId]) -> Vec<Target> {
        let mut candidates = Vec::new();
        for daemon in self.fleet.daemons.values() {
            if daemon.leaving || self.view.domains_out.contains(&daemon.domain) {
                continue;
            }
            for server in &daemon.servers {
                if server.service != plan.service
                    || server.draining
                    || tried.contains(&server.server)
                {
                    continue;
                }
                candidates.push(Target {
                    daemon: daemon.daemon.clone(),
                    guard_address: daemon.guard_address,
                    server: server.server.clone(),
                });
            }
        }
        candidates
    }
}
