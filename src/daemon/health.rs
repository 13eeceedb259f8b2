//! Starts the health duty and connects it to guard, membership, allowance and link.

use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam::channel::Receiver;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::rings::RingSenders;
use super::shared::SharedResources;
use crate::allowance::{AllowanceEvent, AllowanceMessage, PermitReader};
use crate::guard::message::AttemptKey;
use crate::health::{
    self, HealthEvent, HealthMessage, OutcomeObserver, PermitRequester, RequestEnd, StartedRequest,
    SummarySource,
};
use crate::link::{LinkMessage, PeerAnswer, PeerRequest};
use crate::membership::ServerEntry;
use crate::metrics::Metrics;
use crate::ring::{spawn_duty, RingSender};
use crate::types::{BackendServerId, DaemonId, ServiceId};

/// Passes the outcomes of the guard and the permits of the allowance to health. If the ring of
/// health is full, the event is lost and counted.
#[derive(Clone)]
pub(super) struct HealthSender(pub(super) RingSender<HealthMessage>);

impl HealthSender {
    fn offer(&self, event: HealthEvent) {
        // The ring counts each refused event.
        let _ = self.0.offer(HealthMessage::Event(event));
    }
}

impl OutcomeObserver for HealthSender {
    fn request_started(&self, request: StartedRequest) {
        self.offer(HealthEvent::Started(request));
    }

    fn request_finished(&self, key: AttemptKey, end: RequestEnd, elapsed: Duration) {
        self.offer(HealthEvent::Finished { key, end, elapsed });
    }

    fn servers_changed(&self, servers: &[ServerEntry]) {
        self.offer(HealthEvent::Servers(servers.to_vec()));
    }
}

impl PermitReader for HealthSender {
    fn permit(&self, service: &ServiceId, server: &BackendServerId, holds_until: Option<Instant>) {
        self.offer(HealthEvent::Permit {
            service: service.clone(),
            server: server.clone(),
            holds_until,
        });
    }
}

/// Requests ejection permits from the allowance. Requests that its ring refuses are counted.
struct AllowancePermits {
    allowance: RingSender<AllowanceMessage>,
    metrics: Metrics,
}

impl AllowancePermits {
    fn offer(&self, event: AllowanceEvent) {
        let message = AllowanceMessage::Event(event);
        if self.allowance.offer(message).is_err() {
            self.metrics.count("health.permit.dropped");
        }
    }
}

impl PermitRequester for AllowancePermits {
    fn request(&self, service: &ServiceId, server: &BackendServerId) {
        self.offer(AllowanceEvent::Permit {
            service: service.clone(),
            server: server.clone(),
        });
    }

    fn release(&self, service: &ServiceId, server: &BackendServerId) {
        self.offer(AllowanceEvent::PermitEnded {
            service: service.clone(),
            server: server.clone(),
        });
    }
}

/// Requests summaries of server health from peers over the link.
struct LinkSummarySource {
    link: RingSender<LinkMessage>,
    health: HealthSender,
    metrics: Metrics,
}

impl SummarySource for LinkSummarySource {
    fn request(&self, to: &DaemonId, service: &ServiceId) {
        let health = self.health.clone();
        let metrics = self.metrics.clone();
        let (from, asked) = (to.clone(), service.clone());
        let message = LinkMessage::Call {
            to: to.clone(),
            request: PeerRequest::Summary(service.clone()),
            reply: Box::new(move |answer| match answer {
                Ok(PeerAnswer::Summary(servers)) => health.offer(HealthEvent::Summary {
                    from,
                    service: asked,
                    servers,
                }),
                _ => metrics.count("health.summary.unanswered"),
            }),
        };
        if self.link.offer(message).is_err() {
            self.metrics.count("health.summary.dropped");
        }
    }
}

/// Starts the thread of the health duty.
pub(super) fn start_health(
    shared: &SharedResources,
    rings: &RingSenders,
    messages: Receiver<HealthMessage>,
) -> JoinHandle<()> {
    let metrics = shared.metrics.clone();
    let context = health::duty::HealthContext {
        settings: shared.settings.health.clone(),
        own: shared.settings.daemon.daemon.clone(),
        clock: shared.clock.clone(),
        metrics: metrics.clone(),
        audit: shared.audit.clone(),
        permits: Box::new(AllowancePermits {
            allowance: rings.allowance.clone(),
            metrics: metrics.clone(),
        }),
        summaries: Box::new(LinkSummarySource {
            link: rings.link.clone(),
            health: HealthSender(rings.health.clone()),
            metrics,
        }),
        membership: rings.membership.clone(),
    };
    let random = ChaCha8Rng::from_rng(&mut rand::rng());
    spawn_duty("health", move || {
        health::duty::run(&context, random, &messages)
    })
}
