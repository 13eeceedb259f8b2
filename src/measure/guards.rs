//! Guard side of the simulation: attempts of requests at the backend servers.

use std::time::Instant;

use super::node::PendingAttempt;
use super::simulation::{Event, Simulation, LINK_DELAY};
use crate::error::{ErrorKind, Ran};
use crate::guard::message::{AttemptKey, GuardRequest, ServerOutcome};
use crate::guard::{GuardAction, GuardEvent};
use crate::health::{request_end, HealthEvent, StartedRequest};
use crate::link::{FenceAnswer, FenceRequest};
use crate::routing::{AttemptOutcome, RoutingEvent};
use crate::wire::client::CallError;
use crate::wire::exchange::WholeAnswer;

impl Simulation {
    /// Registers an attempt and passes it to the guard.
    pub(super) fn attempt_arrived(
        &mut self,
        node: usize,
        from: usize,
        request: GuardRequest,
        sent_at: Instant,
    ) {
        let request = GuardRequest {
            arrived_at: self.now,
            ..request
        };
        let pending = PendingAttempt {
            entry: from,
            request: request.clone(),
            sent_at,
            started_at: None,
        };
        self.nodes[node]
            .pending_attempts
            .insert(request.key(), pending);
        self.guard_event(node, GuardEvent::Arrived(request));
    }

    /// Passes an event to a guard, carries out its actions and schedules its next tick.
    pub(super) fn guard_event(&mut self, node: usize, event: GuardEvent) {
        let actions = self.nodes[node].guard.handle(self.now, event);
        for action in actions {
            self.guard_action(node, action);
        }
        let next = self.nodes[node].guard.next_tick_at();
        let planned = self.nodes[node].guard_tick_at;
        if let Some(next_at) = next.filter(|next| planned.is_none_or(|planned| *next < planned)) {
            let next_at = next_at.max(self.now);
            self.nodes[node].guard_tick_at = Some(next_at);
            self.events.add(next_at, Event::GuardTick { node });
        }
    }

    /// Ticks a guard, unless the tick was replaced by an earlier one.
    pub(super) fn guard_tick(&mut self, node: usize) {
        if self.nodes[node].guard_tick_at != Some(self.now) {
            return;
        }
        self.nodes[node].guard_tick_at = None;
        self.guard_event(node, GuardEvent::Tick);
    }

    /// Carries out an action of the guard at a node.
    fn guard_action(&mut self, node: usize, action: GuardAction) {
        match action {
            GuardAction::Start { key, until, .. } => self.start_attempt(node, key, until),
            GuardAction::Refuse {
                key,
                kind,
                retry_after,
            } => {
                let outcome = match kind.ran() {
                    Ran::No => AttemptOutcome::NotRun {
                        kind,
                        retry_after,
                        by_guard: true,
                    },
                    _ => AttemptOutcome::Unknown {
                        kind,
                        by_guard: true,
                    },
                };
                self.answer_entry(node, key, outcome);
            }
            GuardAction::ReportServers(servers) => {
                self.nodes[node].update_servers(servers.clone());
                self.schedule_spread();
                self.health_event(node, HealthEvent::Servers(servers));
            }
            _ => {}
        }
    }

    /// Starts an attempt at the server and schedules its end.
    fn start_attempt(&mut self, node: usize, key: AttemptKey, until: Instant) {
        let now = self.now;
        let vm = &mut self.nodes[node];
        let Some(pending) = vm.pending_attempts.get_mut(&key) else {
            return;
        };
        pending.started_at = Some(now);
        vm.started_count += 1;
        let route = pending.request.route.clone();
        let left = until.saturating_duration_since(now);
        let (mut time, mut outcome) = vm.server.simulate_request(now, &route, &mut self.random);
        if time > left {
            time = left;
            outcome = ServerOutcome::Failed(CallError::Late);
        }
        let started = StartedRequest {
            key,
            server: vm.server_name.clone(),
            service: vm.service.clone(),
            route,
        };
        self.health_event(node, HealthEvent::Started(started));
        self.events
            .add(now + time, Event::ServerFinished { node, key, outcome });
    }

    /// Ends an attempt, or postpones its end while the server pauses.
    pub(super) fn server_finished(&mut self, node: usize, key: AttemptKey, outcome: ServerOutcome) {
        let now = self.now;
        let timed_out = outcome == ServerOutcome::Failed(CallError::Late);
        let paused_until = self.nodes[node]
            .server
            .paused_until
            .filter(|until| now < *until);
        if let Some(until) = paused_until.filter(|_| !timed_out) {
            self.events
                .add(until, Event::ServerFinished { node, key, outcome });
            return;
        }
        let Some(pending) = self.nodes[node].pending_attempts.get(&key) else {
            return;
        };
        let elapsed = now - pending.started_at.unwrap_or(now);
        let end = request_end(outcome);
        self.health_event(node, HealthEvent::Finished { key, end, elapsed });
        let to_entry = match outcome {
            ServerOutcome::Answered(status) => AttemptOutcome::Answered(WholeAnswer {
                status,
                ..Default::default()
            }),
            ServerOutcome::Failed(CallError::ShortAnswer) => unknown_outcome(ErrorKind::BadAnswer),
            _ => unknown_outcome(ErrorKind::OutcomeUnknown),
        };
        self.answer_entry(node, key, to_entry);
        self.guard_event(
            node,
            GuardEvent::Finished {
                key,
                outcome,
                elapsed,
            },
        );
    }

    /// Sends the outcome of an attempt to the entry that sent it.
    fn answer_entry(&mut self, node: usize, key: AttemptKey, outcome: AttemptOutcome) {
        let Some(pending) = self.nodes[node].pending_attempts.remove(&key) else {
            return;
        };
        let event = Event::AttemptAnswered {
            node: pending.entry,
            request: key.0,
            attempt: key.1,
            outcome,
            sent_at: pending.sent_at,
        };
        self.events.add(self.now + LINK_DELAY, event);
    }

    /// Passes a fence to the guard, and its answer to the routing duty of the entry.
    pub(super) fn handle_fence(&mut self, node: usize, from: usize, fence: FenceRequest) {
        let mut answer: Option<FenceAnswer> = None;
        let (request, attempt) = (fence.request, fence.attempt);
        if !self.is_blocked(node, from) {
            let actions = self.nodes[node]
                .guard
                .handle(self.now, GuardEvent::Fence(fence));
            for action in actions {
                match action {
                    GuardAction::FenceAnswered(fence_answer) => answer = Some(fence_answer),
                    other => self.guard_action(node, other),
                }
            }
        }
        self.routing_event(
            from,
            RoutingEvent::Fenced {
                request,
                attempt,
                answer,
            },
        );
    }
}

/// Returns the outcome of an attempt that may have run.
fn unknown_outcome(kind: ErrorKind) -> AttemptOutcome {
    AttemptOutcome::Unknown {
        kind,
        by_guard: true,
    }
}
