//! The thread that takes requests from entries.

use std::sync::Arc;

use super::message::GuardMessage;
use crate::clock::Clock;
use crate::error::ErrorKind;
use crate::front::answer::refusal;
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::wire::forward::ForwardHead;
use crate::wire::listener::HttpListener;
use crate::wire::proof::FleetKey;

/// What the thread needs of the world.
pub struct AcceptContext {
    /// Where entries come in.
    pub listener: Arc<HttpListener>,
    /// Checks proofs.
    pub key: FleetKey,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Counters.
    pub metrics: Metrics,
    /// The guard.
    pub guard: RingSender<GuardMessage>,
}

/// Takes requests until the listener is closed.
pub fn run(context: &AcceptContext) {
    while let Some((raw, exchange)) = context.listener.next() {
        let head = match ForwardHead::decode(&raw.headers, &context.key) {
            Ok(head) => head,
            Err(name) => {
                context.metrics.count("guard.refused.unproven");
                log::debug!("a request without a good {name} header was refused");
                exchange.answer(refusal(0, ErrorKind::BadRequest, None));
                continue;
            }
        };
        let request = head.request;
        let arrived_at = context.clock.now();
        let message = GuardMessage::Arrived {
            head,
            raw,
            exchange,
            arrived_at,
        };
        if let Err(GuardMessage::Arrived { exchange, .. }) = context.guard.offer(message) {
            exchange.answer(refusal(request, ErrorKind::Busy, None));
        }
    }
}
