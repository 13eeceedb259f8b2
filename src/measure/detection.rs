//! Health side of the simulation: events in, actions out.

use super::node::Node;
use super::simulation::{Event, Simulation, LINK_DELAY, PERMIT_DELAY};
use super::tally::RecordedDecision;
use crate::health::{HealthAction, HealthEvent};
use crate::link::codec::{answer_bytes, request_bytes};
use crate::link::{PeerAnswer, PeerRequest};
use crate::membership::FULL_SHARE_PERMILLE;
use crate::types::ServiceId;

impl Simulation {
    /// Passes an event to a health duty, carries out its actions and schedules its next tick.
    pub(super) fn health_event(&mut self, node: usize, event: HealthEvent) {
        let Some(health) = &mut self.nodes[node].health else {
            return;
        };
        let actions = health.handle(self.now, event);
        for action in actions {
            self.health_action(node, action);
        }
        let Some(health) = &self.nodes[node].health else {
            return;
        };
        let next = health.next_tick_at();
        let planned = self.nodes[node].health_tick_at;
        if let Some(next_at) = next.filter(|next| planned.is_none_or(|planned| *next < planned)) {
            let next_at = next_at.max(self.now);
            self.nodes[node].health_tick_at = Some(next_at);
            self.events.add(next_at, Event::HealthTick { node });
        }
    }

    /// Ticks a health duty, unless the tick was replaced by an earlier one.
    pub(super) fn health_tick(&mut self, node: usize) {
        if self.nodes[node].health_tick_at != Some(self.now) {
            return;
        }
        self.nodes[node].health_tick_at = None;
        self.health_event(node, HealthEvent::Tick);
    }

    /// Carries out an action of the health duty at a node.
    fn health_action(&mut self, node: usize, action: HealthAction) {
        let now = self.now;
        match action {
            HealthAction::RequestSummary { to, service } => {
                self.summary_request_count += 1;
                let to = self.node_indexes[&to];
                let event = Event::SummaryRequested {
                    from: node,
                    to,
                    service,
                };
                self.events.add(now + LINK_DELAY, event);
            }
            HealthAction::RequestPermit { service, server } => {
                let event = Event::PermitAnswered {
                    to: node,
                    service,
                    server,
                };
                self.events.add(now + PERMIT_DELAY, event);
            }
            HealthAction::ReleasePermit { service, server } => {
                self.permits.release(&service, &server);
            }
            HealthAction::SetShare { share_permille, .. } => {
                self.nodes[node].set_share(share_permille);
                self.schedule_spread();
                self.update_max_below_floor_count(node);
            }
            HealthAction::RecordDecision(decision) => self.decisions.push(RecordedDecision {
                decided_at: now,
                server: decision.server,
                verdict: decision.verdict,
                evidence: decision.evidence,
                started_count: self.nodes[node].started_count,
            }),
        }
    }

    /// Answers a daemon's request for health summaries, unless the link is blocked.
    pub(super) fn answer_summary_request(&mut self, from: usize, to: usize, service: ServiceId) {
        if self.is_blocked(from, to) {
            return;
        }
        let Some(health) = &mut self.nodes[to].health else {
            return;
        };
        let servers = health.summarise(self.now, &service);
        let request = PeerRequest::Summary(service.clone());
        let answer = PeerAnswer::Summary(servers.clone());
        self.summary_bytes += (request_bytes(&request) + answer_bytes(&answer)) as u64;
        let event = Event::SummaryAnswered {
            to: from,
            from: self.nodes[to].entry.daemon.clone(),
            service,
            servers,
        };
        self.events.add(self.now + LINK_DELAY, event);
    }

    /// Updates the largest number of servers by which a service was below its floor.
    fn update_max_below_floor_count(&mut self, node: usize) {
        let service = self.nodes[node].service.clone();
        let out =
            |node: &&Node| node.service == service && node.share_permille < FULL_SHARE_PERMILLE;
        let out_count = self.nodes.iter().filter(out).count();
        let limit_count = self.permits.limit_count(&service);
        let below_count = out_count.saturating_sub(limit_count);
        self.max_below_floor_count = self.max_below_floor_count.max(below_count);
    }

    /// Reports trouble to the health duty, as a health or load endpoint of a server does.
    pub fn inject_suspicion(&mut self, node: usize) {
        let server = self.nodes[node].server_name.clone();
        self.health_event(node, HealthEvent::Suspicion { server });
    }
}
