//! The side of guards: requests at the servers.

use std::time::Instant;

use super::node::GuardFlight;
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
    pub(super) fn arrive(
        &mut self,
        at: usize,
        from: usize,
        request: GuardRequest,
        sent_at: Instant,
    ) {
        let flight = GuardFlight {
            entry: from,
            request: request.clone(),
            sent_at,
            started_at: None,
        };
        self.nodes[at].flights.insert(request.key(), flight);
        self.guard_event(at, GuardEvent::Arrived(request));
    }

    pub(super) fn guard_event(&mut self, at: usize, event: GuardEvent) {
        let actions = self.nodes[at].guard.handle(self.now, event);
        for action in actions {
            self.guard_action(at, action);
        }
        let next = self.nodes[at].guard.next_tick_at();
        let planned = self.nodes[at].guard_tick_at;
        if let Some(next_at) = next.filter(|next| planned.is_none_or(|planned| *next < planned)) {
            let next_at = next_at.max(self.now);
            self.nodes[at].guard_tick_at = Some(next_at);
            self.events.add(next_at, Event::GuardTick { at });
        }
    }

    pub(super) fn guard_tick(&mut self, at: usize) {
        if self.nodes[at].guard_tick_at != Some(self.now) {
            return;
        }
        self.nodes[at].guard_tick_at = None;
        self.guard_event(at, GuardEvent::Tick);
    }

    fn guard_action(&mut self, at: usize, action: GuardAction) {
        match action {
            GuardAction::Start { key, .. } => self.start(at, key),
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
                self.answer(at, key, outcome);
            }
            GuardAction::ReportServers(servers) => {
                self.nodes[at].reported(servers.clone());
                self.plan_spread();
                self.health_event(at, HealthEvent::Servers(servers));
            }
            _ => {}
        }
    }

    fn start(&mut self, at: usize, key: AttemptKey) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let Some(flight) = node.flights.get_mut(&key) else {
            return;
        };
        flight.started_at = Some(now);
        node.started_count += 1;
        let route = flight.request.route.clone();
        let left = flight.request.deadline_at.saturating_duration_since(now);
        let (mut time, mut outcome) = node.server.run(now, &route, &mut self.random);
        if time > left {
            time = left;
            outcome = ServerOutcome::Failed(CallError::Late);
        }
        let started = StartedRequest {
            key,
            server: node.server_name.clone(),
            service: node.service.clone(),
            route,
        };
        self.health_event(at, HealthEvent::Started(started));
        self.events
            .add(now + time, Event::ServerEnds { at, key, outcome });
    }

    pub(super) fn server_ends(&mut self, at: usize, key: AttemptKey, outcome: ServerOutcome) {
        let now = self.now;
        let late = outcome == ServerOutcome::Failed(CallError::Late);
        let paused_until = self.nodes[at]
            .server
            .paused_until
            .filter(|until| now < *until);
        if let Some(until) = paused_until.filter(|_| !late) {
            self.events
                .add(until, Event::ServerEnds { at, key, outcome });
            return;
        }
        let Some(flight) = self.nodes[at].flights.get(&key) else {
            return;
        };
        let elapsed = now - flight.started_at.unwrap_or(now);
        let end = request_end(outcome);
        self.health_event(at, HealthEvent::Finished { key, end, elapsed });
        let to_entry = match outcome {
            ServerOutcome::Answered(status) => AttemptOutcome::Answered(WholeAnswer {
                status,
                ..Default::default()
            }),
            ServerOutcome::Failed(CallError::ShortAnswer) => unknown(ErrorKind::BadAnswer),
            _ => unknown(ErrorKind::OutcomeUnknown),
        };
        self.answer(at, key, to_entry);
        self.guard_event(
            at,
            GuardEvent::Finished {
                key,
                outcome,
                elapsed,
            },
        );
    }

    fn answer(&mut self, at: usize, key: AttemptKey, outcome: AttemptOutcome) {
        let Some(flight) = self.nodes[at].flights.remove(&key) else {
            return;
        };
        let event = Event::Answer {
            at: flight.entry,
            request: key.0,
            attempt: key.1,
            outcome,
            sent_at: flight.sent_at,
        };
        self.events.add(self.now + LINK_DELAY, event);
    }

    pub(super) fn fence(&mut self, at: usize, from: usize, fence: FenceRequest) {
        let mut answer: Option<FenceAnswer> = None;
        let (request, attempt) = (fence.request, fence.attempt);
        if !self.is_blocked(at, from) {
            let actions = self.nodes[at]
                .guard
                .handle(self.now, GuardEvent::Fence(fence));
            for action in actions {
                match action {
                    GuardAction::FenceAnswered(word) => answer = Some(word),
                    other => self.guard_action(at, other),
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

fn unknown(kind: ErrorKind) -> AttemptOutcome {
    AttemptOutcome::Unknown {
        kind,
        by_guard: true,
    }
}
