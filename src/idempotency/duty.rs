//! Thread that answers claims of idempotency keys as their home daemon.

use std::sync::Arc;

use crossbeam::channel::Receiver;

use super::message::{IdempotencyEvent, IdempotencyMessage};
use super::state::IdempotencyState;
use crate::clock::{epoch_ms, Clock};
use crate::link::{ClaimAnswer, PeerAnswer};
use crate::metrics::Metrics;
use crate::settings::idempotency::IdempotencySettings;
use crate::types::{DaemonId, Incarnation};

/// Dependencies of the thread.
pub struct IdempotencyContext {
    /// Settings of idempotency keys.
    pub settings: IdempotencySettings,
    /// Name of this daemon.
    pub daemon: DaemonId,
    /// Incarnation of this daemon, used as the wall time of its start in milliseconds since the
    /// epoch.
    pub incarnation: Incarnation,
    /// Clock for the age of claims and for wall time.
    pub clock: Arc<dyn Clock>,
    /// Counters of the answers given.
    pub metrics: Metrics,
}

/// Runs the thread until it receives `Stop` or its ring is closed.
pub fn run(context: &IdempotencyContext, messages: &Receiver<IdempotencyMessage>) {
    let mut state = IdempotencyState::new(
        context.settings.clone(),
        context.daemon.clone(),
        context.incarnation,
    );
    for message in messages {
        let (event, reply) = match message {
            IdempotencyMessage::Stop => return,
            IdempotencyMessage::Fleet(fleet) => (IdempotencyEvent::Fleet(fleet), None),
            IdempotencyMessage::Claim { claim, reply } => {
                (IdempotencyEvent::Claim(claim), Some(reply))
            }
        };
        let wall_ms = epoch_ms(context.clock.wall());
        let answer = state.handle(context.clock.now(), wall_ms, event);
        if let (Some(answer), Some(reply)) = (answer, reply) {
            context.metrics.count(answer_counter(answer));
            reply(Ok(PeerAnswer::Claim(answer)));
        }
    }
}

/// Returns the counter of an answer.
fn answer_counter(answer: ClaimAnswer) -> &'static str {
    match answer {
        ClaimAnswer::Granted => "idempotency.granted",
        ClaimAnswer::Taken { .. } => "idempotency.taken",
        ClaimAnswer::Unknown => "idempotency.unknown",
    }
}
