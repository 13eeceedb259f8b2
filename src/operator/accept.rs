//! The thread that takes operators' requests, authenticates them and reads their bodies.

use std::sync::Arc;

use bytes::Bytes;
use subtle::ConstantTimeEq;

use super::message::{OperatorAnswer, OperatorMessage, Refusal};
use crate::error::ErrorKind;
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::settings::operator::{OperatorEntry, OperatorSettings};
use crate::wire::exchange::{Exchange, RawHead, RequestBody};
use crate::wire::hex;
use crate::wire::http::header;
use crate::wire::listener::HttpListener;
use crate::wire::operator::{decode, encode};
use crate::wire::proof::hash_key;

/// What the thread needs of the world.
pub struct AcceptContext {
    /// Its settings.
    pub settings: OperatorSettings,
    /// Where operators come in.
    pub listener: Arc<HttpListener>,
    /// Counters.
    pub metrics: Metrics,
    /// The operator duty.
    pub operator: RingSender<OperatorMessage>,
}

/// Takes requests until the listener is closed.
pub fn run(context: &AcceptContext) {
    while let Some((head, exchange)) = context.listener.next() {
        if let Err((exchange, refusal)) = take(context, &head, exchange) {
            let name = format!("operator.refused.{}", refusal.kind.code());
            context.metrics.count(&name);
            exchange.answer(encode(&OperatorAnswer::Refused(refusal)));
        }
    }
}

type Refused = (Box<dyn Exchange>, Refusal);

fn take(
    context: &AcceptContext,
    head: &RawHead,
    exchange: Box<dyn Exchange>,
) -> Result<(), Refused> {
    let token =
        header(&head.headers, "authorization").and_then(|held| held.strip_prefix("Bearer "));
    let Some(operator) = token.and_then(|token| authenticate(&context.settings.operators, token))
    else {
        return Err((exchange, Refusal::new(ErrorKind::OperatorUnknown)));
    };
    let body = match read_body(&*exchange, context.settings.body_limit_bytes) {
        Ok(body) => body,
        Err(kind) => return Err((exchange, Refusal::new(kind))),
    };
    let request = match decode(&head.method, &head.target, &body) {
        Ok(request) => request,
        Err(refusal) => return Err((exchange, refusal)),
    };
    let message = OperatorMessage::RequestArrived {
        operator: operator.to_owned(),
        request,
        exchange,
    };
    match context.operator.offer(message) {
        Err(OperatorMessage::RequestArrived { exchange, .. }) => {
            Err((exchange, Refusal::new(ErrorKind::Busy)))
        }
        _ => Ok(()),
    }
}

/// The operator whose token it is. Every entry is compared, each in constant time.
pub(super) fn authenticate<'a>(operators: &'a [OperatorEntry], token: &str) -> Option<&'a str> {
    let hash = hash_key(token);
    let mut found = None;
    for operator in operators {
        let Some(held) = hex::decode_32(&operator.token_sha256) else {
            continue;
        };
        if bool::from(held.ct_eq(&hash)) {
            found = Some(operator.name.as_str());
        }
    }
    found
}

/// The body; the listener reads those up to the limit whole.
fn read_body(exchange: &dyn Exchange, limit_bytes: u64) -> Result<Bytes, ErrorKind> {
    match exchange.body() {
        RequestBody::Whole(body) if body.len() as u64 <= limit_bytes => Ok(body),
        RequestBody::Whole(_) | RequestBody::Parts { .. } => Err(ErrorKind::BodyTooLarge),
    }
}
