//! The health thread: feeds events into the state and carries out its actions.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError};
use rand_chacha::ChaCha8Rng;

use super::message::{HealthAction, HealthDecision, HealthEvent};
use super::state::HealthState;
use crate::audit::{AuditSink, Decision, Subject};
use crate::clock::{epoch_ms, Clock};
use crate::link::{PeerAnswer, PeerReply};
use crate::membership::MembershipEvent;
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::settings::health::HealthSettings;
use crate::types::{BackendServerId, DaemonId, ServiceId};

/// Message to the health thread.
pub enum HealthMessage {
    /// A peer requests the summaries of the servers of a service on this VM.
    SummaryRequested {
        /// Service that the summaries are about.
        service: ServiceId,
        /// Callback that sends the answer.
        reply: PeerReply,
    },
    /// Any other event, which the state handles.
    Event(HealthEvent),
    /// The health thread ends.
    Stop,
}

/// Requests and releases ejection permits, which keep the floor of every service.
///
/// The answer comes back as `HealthEvent::Permit`.
pub trait PermitRequester: Send {
    /// Requests a permit for a server, or its renewal.
    fn request(&self, service: &ServiceId, server: &BackendServerId);
    /// Releases the permit of a server.
    fn release(&self, service: &ServiceId, server: &BackendServerId);
}

/// Requests summaries from peers. The answers come back as `HealthEvent::Summary`.
pub trait SummarySource: Send {
    /// Requests from one peer the summaries of its servers of one service.
    fn request(&self, to: &DaemonId, service: &ServiceId);
}

/// Settings and interfaces that the health thread runs with.
pub struct HealthContext {
    /// Settings that the health state is created with.
    pub settings: HealthSettings,
    /// Id of this daemon.
    pub own: DaemonId,
    /// Source of the current time.
    pub clock: Arc<dyn Clock>,
    /// Counters that health increments.
    pub metrics: Metrics,
    /// Audit trail that decisions are recorded in.
    pub audit: Arc<dyn AuditSink>,
    /// Requests and releases ejection permits.
    pub permits: Box<dyn PermitRequester>,
    /// Requests the summaries of peers.
    pub summaries: Box<dyn SummarySource>,
    /// Ring of membership, which spreads the share of each server to entries.
    pub membership: RingSender<MembershipEvent>,
}

/// Runs the health thread until it receives `Stop` or its ring is closed.
pub fn run(context: &HealthContext, random: ChaCha8Rng, messages: &Receiver<HealthMessage>) {
    let mut state = HealthState::new(context.settings.clone(), context.own.clone(), random);
    loop {
        let now = context.clock.now();
        let wait = state
            .next_tick_at()
            .map_or(IDLE_WAIT, |at| at.saturating_duration_since(now));
        let event = match receive(messages, wait) {
            None | Some(HealthMessage::Stop) => return,
            Some(HealthMessage::SummaryRequested { service, reply }) => {
                let summaries = state.summarise(context.clock.now(), &service);
                reply(Ok(PeerAnswer::Summary(summaries)));
                continue;
            }
            Some(HealthMessage::Event(event)) => event,
        };
        for action in state.handle(context.clock.now(), event) {
            carry_out(context, action);
        }
    }
}

/// Longest wait for a message while no tick is due.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// Returns the next message, or a tick after `wait`; `None` if the ring is closed.
fn receive(messages: &Receiver<HealthMessage>, wait: Duration) -> Option<HealthMessage> {
    if wait.is_zero() {
        return Some(HealthMessage::Event(HealthEvent::Tick));
    }
    match messages.recv_timeout(wait) {
        Ok(message) => Some(message),
        Err(RecvTimeoutError::Timeout) => Some(HealthMessage::Event(HealthEvent::Tick)),
        Err(RecvTimeoutError::Disconnected) => None,
    }
}

fn carry_out(context: &HealthContext, action: HealthAction) {
    match action {
        HealthAction::RequestSummary { to, service } => {
            context.metrics.count("health.summary.asked");
            context.summaries.request(&to, &service);
        }
        HealthAction::RequestPermit { service, server } => {
            context.metrics.count("health.permit.asked");
            context.permits.request(&service, &server);
        }
        HealthAction::ReleasePermit { service, server } => {
            context.permits.release(&service, &server)
        }
        HealthAction::SetShare {
            server,
            share_permille,
        } => context.membership.deliver(MembershipEvent::ShareChanged {
            server,
            share_permille,
        }),
        HealthAction::RecordDecision(decision) => record(context, decision),
    }
}

/// Counts a decision, logs it and records it in the audit trail.
fn record(context: &HealthContext, decision: HealthDecision) {
    let verdict = decision.verdict.as_str();
    context.metrics.count(&format!("health.{verdict}"));
    log::info!("server {}: {verdict} by {}", decision.server, decision.rule);
    let mut evidence = Vec::new();
    for (name, value) in decision.evidence {
        evidence.push((name.to_owned(), value));
    }
    context.audit.record_decision(Decision {
        at_ms: epoch_ms(context.clock.wall()),
        subject: Subject::Server(decision.server),
        verdict: verdict.to_owned(),
        rule: decision.rule.to_owned(),
        evidence,
    });
}
