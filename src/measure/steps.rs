//! How each event of the fleet goes on.

use std::time::{Duration, Instant};

use rand::Rng;

use super::node::GuardFlight;
use super::tally::Decided;
use super::world::{Event, Flight, World, CONNECT_TIME, LINK_DELAY, PERMIT_DELAY};
use crate::error::{ErrorKind, Ran};
use crate::guard::message::{AttemptKey, GuardRequest, ServerOutcome};
use crate::guard::{GuardAction, GuardEvent};
use crate::health::{request_end, HealthAction, HealthEvent, StartedRequest};
use crate::link::{FenceAnswer, FenceRequest};
use crate::routing::{AttemptOutcome, Outcome, RequestPlan, RoutingAction, RoutingEvent};
use crate::types::{DaemonId, RequestId, ServiceId};
use crate::wire::call::CallError;
use crate::wire::exchange::WholeAnswer;

/// Longest wait for a connection to a guard.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Lowest status that counts as a failure.
const FAILURE_STATUS: u16 = 500;

impl World {
    /// A caller's request arrives at an entry.
    pub(super) fn call(&mut self, stream: usize) {
        let now = self.now;
        let gap = self.traffic.gap(stream, &mut self.random);
        self.timeline.add(now + gap, Event::Call { stream });
        let route_index = self.random.random_range(0..self.traffic.routes.len());
        let entry = self.random.random_range(0..self.nodes.len());
        let sender = &mut self.traffic.streams[stream];
        let tally = self
            .tally
            .organisations
            .entry(sender.organisation.clone())
            .or_default();
        if sender.tokens.take(now, 1.0).is_err() {
            tally.over_count += 1;
            return;
        }
        tally.within_count += 1;
        let request = self.new_request();
        let sender = &self.traffic.streams[stream];
        let used = &self.traffic.routes[route_index];
        let deadline_at = now + Duration::from_millis(used.route.deadline_ms);
        let plan = RequestPlan {
            request,
            organisation: sender.organisation.clone(),
            weight_share: sender.weight_share,
            service: used.service.clone(),
            route: used.route.route.clone(),
            repeatable: used.route.repeatable,
            foreground: used.route.foreground,
            body_limit_bytes: 0,
            idempotency_key: None,
            deadline_at,
        };
        let flight = Flight {
            stream,
            arrived_at: now,
            deadline_at,
        };
        self.flights.insert(request, flight);
        self.routing_event(entry, RoutingEvent::Dispatch(plan));
    }

    /// An id that sorts by virtual time, as those of `serve` by time.
    fn new_request(&mut self) -> RequestId {
        self.request_count += 1;
        let passed_ms = FIRST_ID_MS + self.passed().as_millis();
        (passed_ms << ID_TIME_SHIFT) | self.request_count
    }

    pub(super) fn routing_event(&mut self, at: usize, event: RoutingEvent) {
        for action in self.nodes[at].routing.handle(self.now, event) {
            self.routing_action(at, action);
        }
    }

    fn routing_action(&mut self, at: usize, action: RoutingAction) {
        match action {
            RoutingAction::Send {
                plan,
                attempt,
                target,
                incarnation,
            } => {
                self.tally.attempt_count += 1;
                let request = GuardRequest {
                    request: plan.request,
                    attempt,
                    incarnation,
                    organisation: plan.organisation.clone(),
                    weight_share: plan.weight_share,
                    route: plan.route.clone(),
                    server: target.server,
                    repeatable: plan.repeatable,
                    foreground: plan.foreground,
                    fingerprint: fingerprint(plan.request),
                    deadline_at: plan.deadline_at,
                };
                self.send(at, &target.daemon, request);
            }
            RoutingAction::Finish { request, outcome } => self.finish(request, &outcome),
            RoutingAction::Cancel { to, request } => {
                let to = self.names[&to];
                if !self.is_blocked(at, to) {
                    self.guard_event(to, GuardEvent::Cancel(request));
                }
            }
            RoutingAction::Fence { to, fence } => {
                let to = self.names[&to];
                let event = Event::Fence {
                    at: to,
                    from: at,
                    fence,
                };
                self.timeline.add(self.now + LINK_DELAY, event);
            }
            RoutingAction::Claim { .. } => {}
        }
    }

    pub(super) fn is_blocked(&self, from: usize, to: usize) -> bool {
        self.blocked.contains(&(from, to)) || self.blocked.contains(&(to, from))
    }

    fn send(&mut self, from: usize, to: &DaemonId, request: GuardRequest) {
        let to = self.names[to];
        let sent_at = self.now;
        if self.is_blocked(from, to) {
            let event = Event::Answer {
                at: from,
                request: request.request,
                attempt: request.attempt,
                outcome: AttemptOutcome::NotRun {
                    kind: ErrorKind::NoServer,
                    retry_after: None,
                    by_guard: false,
                },
                sent_at,
            };
            self.timeline.add(sent_at + CONNECT_TIMEOUT, event);
            return;
        }
        let event = Event::Arrive {
            at: to,
            from,
            request,
            sent_at,
        };
        self.timeline
            .add(sent_at + CONNECT_TIME + LINK_DELAY, event);
    }

    fn finish(&mut self, request: RequestId, outcome: &Outcome) {
        let Some(flight) = self.flights.remove(&request) else {
            return;
        };
        let organisation = &self.traffic.streams[flight.stream].organisation;
        let tally = self.tally.organisations.entry(organisation.clone());
        let tally = tally.or_default();
        match outcome {
            Outcome::Answered(answer) if answer.status >= FAILURE_STATUS => {
                tally.failed_count += 1;
            }
            Outcome::Answered(_) if self.now > flight.deadline_at => tally.failed_count += 1,
            Outcome::Answered(_) => {
                tally.good_count += 1;
                let elapsed = self.now - flight.arrived_at + self.site.client_delay * 2;
                self.tally.took(elapsed);
            }
            Outcome::Failed { kind, .. } if kind.ran() == Ran::No => tally.refused_count += 1,
            Outcome::Failed { .. } => tally.failed_count += 1,
        }
    }

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
            self.timeline.add(next_at, Event::GuardTick { at });
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
            GuardAction::Servers(servers) => {
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
        self.timeline
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
            self.timeline
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
        self.timeline.add(self.now + LINK_DELAY, event);
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

    pub(super) fn health_event(&mut self, at: usize, event: HealthEvent) {
        let Some(health) = &mut self.nodes[at].health else {
            return;
        };
        let actions = health.handle(self.now, event);
        for action in actions {
            self.health_action(at, action);
        }
        let Some(health) = &self.nodes[at].health else {
            return;
        };
        let next = health.next_tick_at();
        let planned = self.nodes[at].health_tick_at;
        if let Some(next_at) = next.filter(|next| planned.is_none_or(|planned| *next < planned)) {
            let next_at = next_at.max(self.now);
            self.nodes[at].health_tick_at = Some(next_at);
            self.timeline.add(next_at, Event::HealthTick { at });
        }
    }

    pub(super) fn health_tick(&mut self, at: usize) {
        if self.nodes[at].health_tick_at != Some(self.now) {
            return;
        }
        self.nodes[at].health_tick_at = None;
        self.health_event(at, HealthEvent::Tick);
    }

    fn health_action(&mut self, at: usize, action: HealthAction) {
        let now = self.now;
        match action {
            HealthAction::Ask { to, service } => {
                self.asked_count += 1;
                let to = self.names[&to];
                let event = Event::Ask {
                    from: at,
                    to,
                    service,
                };
                self.timeline.add(now + LINK_DELAY, event);
            }
            HealthAction::AskPermit { service, server } => {
                let event = Event::Permit {
                    to: at,
                    service,
                    server,
                };
                self.timeline.add(now + PERMIT_DELAY, event);
            }
            HealthAction::GiveUpPermit { service, server } => {
                self.permits.give_up(&service, &server);
            }
            HealthAction::Share { share_permille, .. } => {
                self.nodes[at].shared(share_permille);
                self.plan_spread();
            }
            HealthAction::Decide(decision) => self.decided.push(Decided {
                at: now,
                server: decision.server,
                verdict: decision.verdict,
                started_count: self.nodes[at].started_count,
            }),
        }
    }

    pub(super) fn asked(&mut self, from: usize, to: usize, service: ServiceId) {
        if self.is_blocked(from, to) {
            return;
        }
        let Some(health) = &mut self.nodes[to].health else {
            return;
        };
        let servers = health.summarise(self.now, &service);
        let event = Event::Summary {
            to: from,
            from: self.nodes[to].entry.daemon.clone(),
            service,
            servers,
        };
        self.timeline.add(self.now + LINK_DELAY, event);
    }
}

fn unknown(kind: ErrorKind) -> AttemptOutcome {
    AttemptOutcome::Unknown {
        kind,
        by_guard: true,
    }
}

/// Time of the first ids.
const FIRST_ID_MS: u128 = 1_000_000;

/// Place of the time in an id.
const ID_TIME_SHIFT: u32 = 80;

/// No two requests of a run are equal.
fn fingerprint(request: RequestId) -> [u8; 32] {
    let mut fingerprint = [0; 32];
    fingerprint[..16].copy_from_slice(&request.to_le_bytes());
    fingerprint
}
