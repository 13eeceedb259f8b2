//! Decisions of routing: the life of a request over its attempts.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::choice::ServerChoice;
use super::message::{AttemptOutcome, Outcome, RequestPlan, RoutingAction, RoutingEvent, Target};
use crate::error::ErrorKind;
use crate::membership::Fleet;
use crate::settings::routing::RoutingSettings;
use crate::types::{Attempt, BackendServerId, Incarnation, RequestId};

/// State of routing.
pub struct RoutingState {
    settings: RoutingSettings,
    choice: Box<dyn ServerChoice>,
    /// Where daemons are and in which life; never older than what the choice knows.
    fleet: Arc<Fleet>,
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
    pub fn new(settings: RoutingSettings, choice: Box<dyn ServerChoice>) -> RoutingState {
        RoutingState {
            settings,
            choice,
            fleet: Arc::default(),
            requests: HashMap::new(),
        }
    }

    /// Takes one event and gives what is to be done.
    pub fn handle(&mut self, now: Instant, event: RoutingEvent) -> Option<RoutingAction> {
        match event {
            RoutingEvent::Dispatch(plan) => Some(self.dispatch(now, plan)),
            RoutingEvent::Attempted {
                request,
                attempt,
                outcome,
                elapsed,
            } => self.attempted(now, request, attempt, outcome, elapsed),
            RoutingEvent::View(view) => {
                self.choice.view(view);
                None
            }
            RoutingEvent::Fleet(fleet) => {
                self.fleet = fleet.clone();
                self.choice.fleet(fleet);
                None
            }
        }
    }

    fn dispatch(&mut self, now: Instant, plan: RequestPlan) -> RoutingAction {
        let request = plan.request;
        let Some(target) = self.choice.pick(now, &plan, &[]) else {
            let outcome = Outcome::Failed {
                kind: ErrorKind::NoServer,
                retry_after: None,
            };
            return RoutingAction::Finish { request, outcome };
        };
        let plan = Arc::new(plan);
        let state = RequestState {
            plan,
            attempt: 0,
            target,
            tried: SmallVec::new(),
        };
        self.send(now, request, state)
    }

    fn send(&mut self, now: Instant, request: RequestId, mut state: RequestState) -> RoutingAction {
        state.attempt += 1;
        state.tried.push(state.target.server.clone());
        self.choice.sent(now, &state.plan, &state.target);
        let action = RoutingAction::Send {
            plan: state.plan.clone(),
            attempt: state.attempt,
            target: state.target.clone(),
            incarnation: self.incarnation(&state.target),
        };
        self.requests.insert(request, state);
        action
    }

    /// The life of the daemon that the attempt is meant for; 0 is no daemon's.
    fn incarnation(&self, target: &Target) -> Incarnation {
        let daemon = self.fleet.daemons.get(&target.daemon);
        daemon.map_or(0, |daemon| daemon.incarnation)
    }

    fn attempted(
        &mut self,
        now: Instant,
        request: RequestId,
        attempt: Attempt,
        outcome: AttemptOutcome,
        elapsed: Duration,
    ) -> Option<RoutingAction> {
        let state = self.requests.remove(&request)?;
        if state.attempt != attempt {
            self.requests.insert(request, state);
            return None;
        }
        self.choice
            .ended(now, &state.plan, &state.target, &outcome, elapsed);
        if self.may_retry(now, &state, &outcome) {
            if let Some(target) = self.choice.pick(now, &state.plan, &state.tried) {
                return Some(self.send(now, request, RequestState { target, ..state }));
            }
        }
        let outcome = match outcome {
            AttemptOutcome::Answered(answer) => Outcome::Answered(answer),
            AttemptOutcome::NotRun {
                kind, retry_after, ..
            } => Outcome::Failed { kind, retry_after },
            AttemptOutcome::Unknown { kind, .. } => Outcome::Failed {
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
}
