//! Thread that accepts requests from callers and checks their form.

use std::sync::Arc;

use super::check::check_request;
use super::message::FrontMessage;
use crate::clock::Clock;
use crate::error::ErrorKind;
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::settings::front::FrontSettings;
use crate::types::{new_request_id, RequestId};
use crate::wire::dialect::{AnsweredRequest, Dialect};
use crate::wire::exchange::{RawHead, WholeAnswer};
use crate::wire::http::header;
use crate::wire::listener::HttpListener;

/// Dependencies of the thread.
pub struct AcceptContext {
    /// Limits on the headers of requests.
    pub settings: FrontSettings,
    /// Listener to which callers connect.
    pub listener: Arc<HttpListener>,
    /// Clock by which arrivals are timed.
    pub clock: Arc<dyn Clock>,
    /// Counters of refused requests.
    pub metrics: Metrics,
    /// Dialect in which refusals are written.
    pub dialect: Arc<dyn Dialect>,
    /// Ring of the front's thread.
    pub front: RingSender<FrontMessage>,
}

/// Accepts requests until the listener is closed.
pub fn run(context: &AcceptContext) {
    while let Some((raw, exchange)) = context.listener.next() {
        let request = new_request_id();
        match check_request(
            &context.settings,
            &*context.dialect,
            request,
            context.clock.now(),
            &raw,
        ) {
            Ok(head) => {
                let message = FrontMessage::Arrived(Arc::new(head), exchange);
                if let Err(FrontMessage::Arrived(_, exchange)) = context.front.offer(message) {
                    context.metrics.count("front.refused.busy");
                    exchange.answer(refusal_answer(context, request, &raw, ErrorKind::Busy));
                }
            }
            Err(kind) => {
                context
                    .metrics
                    .count(&format!("front.refused.{}", kind.code()));
                exchange.answer(refusal_answer(context, request, &raw, kind));
            }
        }
    }
}

/// Builds the refusal in the caller's dialect.
fn refusal_answer(
    context: &AcceptContext,
    request: RequestId,
    raw: &RawHead,
    kind: ErrorKind,
) -> WholeAnswer {
    let name = context.dialect.caller_header_names().request;
    let to = AnsweredRequest {
        request,
        caller_id: name.and_then(|name| header(&raw.headers, name)),
    };
    context.dialect.refusal(to, kind, None)
}
