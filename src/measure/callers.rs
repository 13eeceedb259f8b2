//! Entry side of the simulation: requests of callers, the routing duty and the outcomes.

use std::time::Duration;

use rand::Rng;

use super::simulation::{Event, PendingRequest, Simulation, CONNECT_TIME, LINK_DELAY};
use crate::error::{ErrorKind, Ran};
use crate::guard::message::GuardRequest;
use crate::guard::GuardEvent;
use crate::routing::{AttemptOutcome, Outcome, RequestPlan, RoutingAction, RoutingEvent};
use crate::types::{DaemonId, RequestId};

/// Time after which a connection attempt to an unreachable guard fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Lowest HTTP status that is recorded as a failure.
const FIRST_FAILURE_STATUS: u16 = 500;

impl Simulation {
    /// Schedules the next request of a stream, and dispatches this one at a random entry if it is
    /// within the contracted rate.
    pub(super) fn handle_caller_request(&mut self, stream: usize) {
        let now = self.now;
        let gap = self.traffic.random_gap(stream, &mut self.random);
        self.events.add(now + gap, Event::CallerRequest { stream });
        let route_index = self.random.random_range(0..self.traffic.routes.len());
        let entry = self.random.random_range(0..self.nodes.len());
        let sender = &mut self.traffic.streams[stream];
        let tally = self
            .tally
            .organisations
            .entry(sender.organisation.clone())
            .or_default();
        if sender.tokens.take(now, 1.0).is_err() {
            tally.over_rate_count += 1;
            return;
        }
        tally.within_rate_count += 1;
        let request = self.new_request_id();
        let sender = &self.traffic.streams[stream];
        let used = &self.traffic.routes[route_index];
        let deadline_at = now + Duration::from_millis(used.contract.deadline_ms);
        let plan = RequestPlan {
            request,
            organisation: sender.organisation.clone(),
            weight_share: sender.weight_share,
            service: used.service.clone(),
            route: used.contract.route.clone(),
            repeatable: used.contract.repeatable,
            foreground: used.contract.foreground,
            rank: 0,
            attempts_limit_count: 0,
            body_bytes: 0,
            body_limit_bytes: 0,
            idempotency_key: None,
            target: Duration::ZERO,
            deadline_at,
        };
        let pending = PendingRequest {
            stream,
            arrived_at: self.now,
            deadline_at,
        };
        self.pending_requests.insert(request, pending);
        self.routing_event(entry, RoutingEvent::Dispatch(plan));
    }

    /// Returns an id that sorts by virtual time, as the ids in `serve` sort by wall time.
    fn new_request_id(&mut self) -> RequestId {
        self.request_count += 1;
        let passed_ms = FIRST_ID_MS + self.elapsed().as_millis();
        (passed_ms << ID_TIME_SHIFT_BITS) | self.request_count
    }

    /// Passes an event to the routing duty of a node and carries out its actions.
    pub(super) fn routing_event(&mut self, node: usize, event: RoutingEvent) {
        for action in self.nodes[node].routing.handle(self.now, event) {
            self.routing_action(node, action);
        }
    }

    /// Carries out an action of the routing at a node.
    fn routing_action(&mut self, node: usize, action: RoutingAction) {
        match action {
            RoutingAction::Send {
                plan,
                attempt,
                target,
                incarnation,
                until,
                terms,
                hung_after,
            } => {
                self.tally.attempt_count += 1;
                let request = GuardRequest {
                    request: plan.request,
                    attempt,
                    incarnation,
                    organisation: plan.organisation.clone(),
                    weight_share: plan.weight_share,
                    service: plan.service.clone(),
                    route: plan.route.clone(),
                    server: target.server,
                    repeatable: plan.repeatable,
                    foreground: plan.foreground,
                    rank: plan.rank,
                    terms,
                    fingerprint: fingerprint(plan.request),
                    arrived_at: self.now,
                    deadline_at: until,
                    hung_after,
                };
                self.send_attempt(node, &target.daemon, request);
            }
            RoutingAction::Finish { request, outcome } => self.finish_request(request, &outcome),
            RoutingAction::Cancel { to, request } => {
                let to = self.node_indexes[&to];
                if !self.is_blocked(node, to) {
                    self.guard_event(to, GuardEvent::Cancel(request));
                }
            }
            RoutingAction::Fence { to, fence } => {
                let to = self.node_indexes[&to];
                let event = Event::FenceArrived {
                    node: to,
                    from: node,
                    fence,
                };
                self.events.add(self.now + LINK_DELAY, event);
            }
            RoutingAction::OwnCallFailed | RoutingAction::Claim { .. } => {}
        }
    }

    /// Returns whether two nodes cannot reach each other.
    pub(super) fn is_blocked(&self, from: usize, to: usize) -> bool {
        self.blocked_links.contains(&(from, to)) || self.blocked_links.contains(&(to, from))
    }

    /// Sends an attempt to a guard; it fails after `CONNECT_TIMEOUT` if the guard is unreachable.
    fn send_attempt(&mut self, from: usize, to: &DaemonId, request: GuardRequest) {
        let to = self.node_indexes[to];
        let sent_at = self.now;
        if self.is_blocked(from, to) {
            let event = Event::AttemptAnswered {
                node: from,
                request: request.request,
                attempt: request.attempt,
                outcome: AttemptOutcome::NotRun {
                    kind: ErrorKind::NoServer,
                    retry_after: None,
                    by_guard: false,
                },
                sent_at,
            };
            self.events.add(sent_at + CONNECT_TIMEOUT, event);
            return;
        }
        let event = Event::AttemptArrived {
            node: to,
            from,
            request,
            sent_at,
        };
        self.events.add(sent_at + CONNECT_TIME + LINK_DELAY, event);
    }

    /// Counts the outcome of a request in the tally of its organisation.
    fn finish_request(&mut self, request: RequestId, outcome: &Outcome) {
        let Some(pending) = self.pending_requests.remove(&request) else {
            return;
        };
        let organisation = &self.traffic.streams[pending.stream].organisation;
        let tally = self.tally.organisations.entry(organisation.clone());
        let tally = tally.or_default();
        match outcome {
            Outcome::Answered(answer) if answer.status >= FIRST_FAILURE_STATUS => {
                tally.failed_count += 1;
            }
            Outcome::Answered(_) if self.now > pending.deadline_at => tally.failed_count += 1,
            Outcome::Answered(_) => {
                tally.good_count += 1;
                let elapsed = self.now - pending.arrived_at + self.site.client_delay * 2;
                self.tally.record_elapsed(elapsed);
            }
            Outcome::Failed { kind, .. } if kind.ran() == Ran::No => tally.refused_count += 1,
            Outcome::Failed { .. } => tally.failed_count += 1,
        }
    }
}

/// Virtual time that the first ids carry, in milliseconds.
const FIRST_ID_MS: u128 = 1_000_000;

/// Bit at which the time begins in a request id.
const ID_TIME_SHIFT_BITS: u32 = 80;

/// Returns a fingerprint that differs for every request of a run.
fn fingerprint(request: RequestId) -> [u8; 32] {
    let mut fingerprint = [0; 32];
    fingerprint[..16].copy_from_slice(&request.to_le_bytes());
    fingerprint
}
