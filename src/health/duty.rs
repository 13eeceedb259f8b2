//! The health thread.

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

/// An event, with what the state need not see.
pub enum HealthMessage {
    /// A peer asks what the servers of a service beside this daemon met.
    Asked {
        /// The service.
        service: ServiceId,
        /// Takes the answer.
        reply: PeerReply,
    },
    /// Any other event.
    Event(HealthEvent),
    /// The duty ends.
    Stop,
}

/// Keeps the floor of every service: grants and takes back ejection permits.
///
/// The answer comes back as `HealthEvent::Permit`.
pub trait PermitDesk: Send {
    /// Asks for a permit, or renews it.
    fn ask(&self, service: &ServiceId, server: &BackendServerId);
    /// Gives a permit back.
    fn give_up(&self, service: &ServiceId, server: &BackendServerId);
}

/// Asks peers for summaries. Answers come back as `HealthEvent::Summary`.
pub trait SummarySource: Send {
    /// Asks one peer for its servers of one service.
    fn ask(&self, to: &DaemonId, service: &ServiceId);
}

/// What health needs of the world.
pub struct HealthContext {
    /// Its settings.
    pub settings: HealthSettings,
    /// This daemon.
    pub own: DaemonId,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Counters.
    pub metrics: Metrics,
    /// Trail of decisions.
    pub audit: Arc<dyn AuditSink>,
    /// Ejection permits.
    pub permits: Box<dyn PermitDesk>,
    /// Peers' summaries.
    pub summaries: Box<dyn SummarySource>,
    /// Membership, which tells entries the share of each server.
    pub membership: RingSender<MembershipEvent>,
}

/// Runs the duty until it is told to stop.
pub fn run(context: &HealthContext, random: ChaCha8Rng, messages: &Receiver<HealthMessage>) {
    let mut state = HealthState::new(context.settings.clone(), context.own.clone(), random);
    loop {
        let now = context.clock.now();
        let wait = state
            .next_tick_at()
            .map_or(IDLE, |at| at.saturating_duration_since(now));
        let event = match receive(messages, wait) {
            None | Some(HealthMessage::Stop) => return,
            Some(HealthMessage::Asked { service, reply }) => {
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

const IDLE: Duration = Duration::from_secs(60);

/// The next message, or a tick when the time has come; none when the ring is closed.
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
        HealthAction::Ask { to, service } => {
            context.metrics.count("health.summary.asked");
            context.summaries.ask(&to, &service);
        }
        HealthAction::AskPermit { service, server } => {
            context.metrics.count("health.permit.asked");
            context.permits.ask(&service, &server);
        }
        HealthAction::GiveUpPermit { service, server } => {
            context.permits.give_up(&service, &server)
        }
        HealthAction::Share {
            server,
            share_permille,
        } => context.membership.deliver(MembershipEvent::Share {
            server,
            share_permille,
        }),
        HealthAction::Decide(decision) => record(context, decision),
    }
}

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
