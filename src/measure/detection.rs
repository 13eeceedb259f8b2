//! The side of health: events in, actions out.

use super::node::Node;
use super::tally::Decided;
use super::world::{Event, World, LINK_DELAY, PERMIT_DELAY};
use crate::health::{HealthAction, HealthEvent};
use crate::link::codec::{answer_bytes, request_bytes};
use crate::link::{PeerAnswer, PeerRequest};
use crate::membership::FULL_SHARE_PERMILLE;
use crate::types::ServiceId;

impl World {
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
            HealthAction::RequestSummary { to, service } => {
                self.asked_count += 1;
                let to = self.names[&to];
                let event = Event::Ask {
                    from: at,
                    to,
                    service,
                };
                self.timeline.add(now + LINK_DELAY, event);
            }
            HealthAction::RequestPermit { service, server } => {
                let event = Event::Permit {
                    to: at,
                    service,
                    server,
                };
                self.timeline.add(now + PERMIT_DELAY, event);
            }
            HealthAction::ReleasePermit { service, server } => {
                self.permits.give_up(&service, &server);
            }
            HealthAction::SetShare { share_permille, .. } => {
                self.nodes[at].shared(share_permille);
                self.plan_spread();
                self.count_below_floor(at);
            }
            HealthAction::RecordDecision(decision) => self.decided.push(Decided {
                at: now,
                server: decision.server,
                verdict: decision.verdict,
                evidence: decision.evidence,
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
        let request = PeerRequest::Summary(service.clone());
        let answer = PeerAnswer::Summary(servers.clone());
        self.asked_bytes += (request_bytes(&request) + answer_bytes(&answer)) as u64;
        let event = Event::Summary {
            to: from,
            from: self.nodes[to].entry.daemon.clone(),
            service,
            servers,
        };
        self.timeline.add(self.now + LINK_DELAY, event);
    }

    /// Keeps the most servers by which a service fell below its floor.
    fn count_below_floor(&mut self, at: usize) {
        let service = self.nodes[at].service.clone();
        let out =
            |node: &&Node| node.service == service && node.share_permille < FULL_SHARE_PERMILLE;
        let out_count = self.nodes.iter().filter(out).count();
        let limit_count = self.permits.limit_count(&service);
        let below_count = out_count.saturating_sub(limit_count);
        self.most_below_floor_count = self.most_below_floor_count.max(below_count);
    }

    /// A health or load endpoint of a server speaks of trouble.
    pub fn suspect(&mut self, at: usize) {
        let server = self.nodes[at].server_name.clone();
        self.health_event(at, HealthEvent::Suspicion { server });
    }
}
