//! The thread that takes requests from entries.

use std::sync::Arc;

use super::message::GuardMessage;
use crate::clock::Clock;
use crate::error::ErrorKind;
use crate::feed::{FeedEvent, FeedMessage};
use crate::front::answer::refusal;
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::types::Offset;
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
    /// Hears of entries that have read further in the configuration.
    pub feed: RingSender<FeedMessage>,
}

/// Takes requests until the listener is closed.
pub fn run(context: &AcceptContext) {
    let mut newest_offset = 0;
    while let Some((raw, exchange)) = context.listener.next() {
        let Some(head) = ForwardHead::decode(&raw.headers, &context.key) else {
            context.metrics.count("guard.refused.unproven");
            exchange.answer(refusal(0, ErrorKind::BadRequest, None));
            continue;
        };
        let request = head.request;
        report_entry_ahead(context, &head, &mut newest_offset);
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

/// Tells the configuration duty of an entry that has read further than all before.
fn report_entry_ahead(context: &AcceptContext, head: &ForwardHead, newest_offset: &mut Offset) {
    if head.view <= *newest_offset {
        return;
    }
    *newest_offset = head.view;
    let event = FeedEvent::PeerAhead {
        peer: head.entry.clone(),
        next: head.view,
    };
    // Without room the next request of that entry tells it, or the feed itself.
    let _ = context.feed.offer(FeedMessage::Event(event));
}
