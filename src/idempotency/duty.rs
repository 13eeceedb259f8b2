//! The thread of a home.

use std::sync::Arc;

use crossbeam::channel::Receiver;

use super::message::{IdempotencyEvent, IdempotencyMessage};
use super::state::IdempotencyState;
use crate::clock::{epoch_ms, Clock};
use crate::link::{ClaimAnswer, PeerAnswer};
use crate::metrics::Metrics;
use crate::settings::idempotency::IdempotencySettings;
use crate::types::{DaemonId, Incarnation};

/// What a home needs of the world.
pub struct IdempotencyContext {
    /// Its settings.
    pub settings: IdempotencySettings,
    /// The daemon.
    pub daemon: DaemonId,
    /// Its life, which begins at a wall time.
    pub incarnation: Incarnation,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Counters.
    pub metrics: Metrics,
}

/// Runs the duty until it is told to stop.
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

fn answer_counter(answer: ClaimAnswer) -> &'static str {
    match answer {
        ClaimAnswer::Granted => "idempotency.granted",
        ClaimAnswer::Taken { .. } => "idempotency.taken",
        ClaimAnswer::Unknown => "idempotency.unknown",
    }
}
