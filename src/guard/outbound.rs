//! Messages of the guard's thread to its servers and to other daemons: health inquiries, answers to
//! fences, and reports of poison requests.

use std::sync::Arc;

use super::duty::GuardDuty;
use super::forward;
use super::message::{GuardEvent, GuardMessage};
use crate::link::message::PoisonReport;
use crate::link::{FenceAnswer, LinkMessage, PeerAnswer, PeerRequest};
use crate::membership::{DaemonEntry, Fleet};
use crate::types::ServiceId;
use crate::wire::client::CallError;
use crate::wire::exchange::WholeAnswer;

impl GuardDuty<'_> {
    /// Takes a new fleet and counts the guards that share a service with this one.
    pub(super) fn apply_fleet(&mut self, fleet: Arc<Fleet>) {
        self.fleet = fleet;
        let own = self.fleet.daemons.get(&self.context.daemon);
        let incarnation = own.map_or(self.incarnation, |own| own.incarnation);
        if std::mem::replace(&mut self.incarnation, incarnation) != incarnation {
            self.handle_event(GuardEvent::Incarnation(incarnation));
        }
        let Some(service) = self.own_service() else {
            return;
        };
        let daemons = self.fleet.daemons.values();
        let guards = daemons.filter(|daemon| serves(daemon, &service));
        let count = guards.count().max(1);
        self.handle_event(GuardEvent::GuardCount { count });
    }

    /// Returns the service of the server on this VM; `None` if neither the settings nor a server
    /// name it.
    fn own_service(&self) -> Option<ServiceId> {
        let named = self.state.server_service();
        if !named.is_empty() {
            return Some(named.clone());
        }
        let own = self.fleet.daemons.get(&self.context.daemon)?;
        own.servers.first().map(|server| server.service.clone())
    }

    /// Asks a server for its health; the answer comes back as an event.
    pub(super) fn inquire(&mut self, address: std::net::SocketAddr, path: String) {
        self.context.metrics.count("guard.inquiry");
        let own = self.context.own_ring.clone();
        let dialect = self.context.forward.dialect.clone();
        let asked_at = self.context.clock.now();
        let done = Box::new(move |result: Result<WholeAnswer, CallError>| {
            let report = result
                .ok()
                .and_then(|answer| dialect.health_report(&answer));
            own.deliver(GuardMessage::Event(GuardEvent::InquiryEnded {
                address,
                asked_at,
                report,
            }));
        });
        let call = forward::health_call(&self.context.forward, address, path);
        match self.context.caller.call(call, done) {
            Ok(handle) => handle.detach(),
            Err(_) => {
                self.context.metrics.count("guard.inquiry.dropped");
                self.handle_event(GuardEvent::InquiryEnded {
                    address,
                    asked_at,
                    report: None,
                });
            }
        }
    }

    /// Counts the answer to the fence request that is being handled, and sends it.
    pub(super) fn reply_to_fence(&mut self, answer: FenceAnswer) {
        self.context
            .metrics
            .count(&format!("guard.fence.{answer:?}").to_lowercase());
        if let Some(reply) = self.fence_reply.take() {
            reply(Ok(PeerAnswer::Fence(answer)));
        }
    }

    /// Reports requests that ran when a server died to the other guards of its service.
    pub(super) fn send_report(&self, service: &ServiceId, reports: &[PoisonReport]) {
        self.context.metrics.count("guard.death");
        for daemon in self.fleet.daemons.values() {
            if !serves(daemon, service) || daemon.daemon == self.context.daemon {
                continue;
            }
            let call = LinkMessage::Call {
                to: daemon.daemon.clone(),
                request: PeerRequest::Poison(reports.to_vec()),
                reply: Box::new(|_| {}),
            };
            if self.context.link.offer(call).is_err() {
                self.context.metrics.count("guard.report.dropped");
            }
        }
    }
}

/// Returns whether a daemon has a server of the service on its VM.
fn serves(daemon: &DaemonEntry, service: &ServiceId) -> bool {
    let mut servers = daemon.servers.iter();
    servers.any(|server| server.service == *service)
}
