//! The thread that takes requests from callers and checks them.

use std::sync::Arc;

use super::answer::refusal;
use super::check::check;
use super::message::FrontMessage;
use crate::clock::Clock;
use crate::error::ErrorKind;
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::settings::front::FrontSettings;
use crate::types::new_request_id;
use crate::wire::listener::HttpListener;

/// What the thread needs of the world.
pub struct AcceptContext {
    /// Limits of requests.
    pub settings: FrontSettings,
    /// Where callers come in.
    pub listener: Arc<HttpListener>,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Counters.
    pub metrics: Metrics,
    /// The front.
    pub front: RingSender<FrontMessage>,
}

/// Takes requests until the listener is closed.
pub fn run(context: &AcceptContext) {
    while let Some((raw, exchange)) = context.listener.next() {
        let request = new_request_id();
        match check(&context.settings, request, context.clock.now(), &raw) {
            Ok(head) => {
                let message = FrontMessage::Arrived(Arc::new(head), exchange);
                if let Err(FrontMessage::Arrived(_, exchange)) = context.front.offer(message) {
                    context.metrics.count("front.refused.busy");
                    exchange.answer(refusal(request, ErrorKind::Busy, None));
                }
            }
            Err(kind) => {
                context
                    .metrics
                    .count(&format!("front.refused.{}", kind.code()));
                exchange.answer(refusal(request, kind, None));
            }
        }
    }
}
