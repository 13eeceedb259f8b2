//! The thread that takes requests from callers and checks them.

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
    /// Words refusals.
    pub dialect: Arc<dyn Dialect>,
    /// The front.
    pub front: RingSender<FrontMessage>,
}

/// Takes requests until the listener is closed.
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
                    exchange.answer(refuse(context, request, &raw, ErrorKind::Busy));
                }
            }
            Err(kind) => {
                context
                    .metrics
                    .count(&format!("front.refused.{}", kind.code()));
                exchange.answer(refuse(context, request, &raw, kind));
            }
        }
    }
}

fn refuse(
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
