//! Thread that accepts forwarded requests from entry daemons.

use std::sync::Arc;

use super::message::GuardMessage;
use super::view_report::ViewReport;
use crate::clock::Clock;
use crate::error::ErrorKind;
use crate::feed::{FeedEvent, FeedMessage, SharedPosition};
use crate::front::answer::refusal;
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::wire::forward::ForwardHead;
use crate::wire::listener::HttpListener;
use crate::wire::proof::FleetKey;

/// Dependencies of the thread.
pub struct AcceptContext {
    /// Listener to which entry daemons connect.
    pub listener: Arc<HttpListener>,
    /// Key with which the proof in each request is checked.
    pub key: FleetKey,
    /// Clock by which arrivals are timed.
    pub clock: Arc<dyn Clock>,
    /// Counters of requests without a valid proof.
    pub metrics: Metrics,
    /// Ring of the guard's thread.
    pub guard: RingSender<GuardMessage>,
    /// Position up to which this daemon has read the configuration.
    pub view: Arc<SharedPosition>,
    /// Ring of the configuration feed, which receives reports of entry daemons that have read
    /// further.
    pub feed: RingSender<FeedMessage>,
}

/// Accepts requests until the listener is closed.
pub fn run(context: &AcceptContext) {
    while let Some((raw, exchange)) = context.listener.next() {
        let Some(head) = ForwardHead::decode(&raw.headers, &context.key) else {
            context.metrics.count("guard.refused.unproven");
            exchange.answer(refusal(0, ErrorKind::BadRequest, None));
            continue;
        };
        let request = head.request;
        report_entry_ahead(context, &head);
        let arrived_at = context.clock.now();
        let exchange = Box::new(ViewReport {
            exchange,
            view: context.view.clone(),
        });
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

/// Reports to the configuration feed an entry daemon that has read further than this daemon.
fn report_entry_ahead(context: &AcceptContext, head: &ForwardHead) {
    if head.position() <= context.view.get() {
        return;
    }
    let event = FeedEvent::PeerAhead {
        peer: head.entry.clone(),
        next: head.position(),
    };
    // If the ring is full, a later request of an entry daemon or the feed itself brings the news.
    let _ = context.feed.offer(FeedMessage::Event(event));
}
