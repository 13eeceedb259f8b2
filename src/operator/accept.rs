//! The thread that accepts operators' requests, authenticates them and reads their bodies.

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

/// Settings and interfaces that the accepting thread uses.
pub struct AcceptContext {
    /// Operators, their tokens and the limits of their requests.
    pub settings: OperatorSettings,
    /// Listener on the operators' address.
    pub listener: Arc<HttpListener>,
    /// Counters of this daemon.
    pub metrics: Metrics,
    /// Ring of the operator duty, which takes valid requests.
    pub operator: RingSender<OperatorMessage>,
}

/// Accepts requests until the listener is closed. Answers those that are refused.
pub fn run(context: &AcceptContext) {
    while let Some((head, exchange)) = context.listener.next() {
        if let Err((exchange, refusal)) = accept_request(context, &head, exchange) {
            let name = format!("operator.refused.{}", refusal.kind.code());
            context.metrics.count(&name);
            exchange.answer(encode(&OperatorAnswer::Refused(refusal)));
        }
    }
}

/// The exchange of a refused request, with the refusal to answer.
type RefusedExchange = (Box<dyn Exchange>, Refusal);

/// Authenticates and decodes a request and passes it to the operator duty.
fn accept_request(
    context: &AcceptContext,
    head: &RawHead,
    exchange: Box<dyn Exchange>,
) -> Result<(), RefusedExchange> {
    let token =
        header(&head.headers, "authorization").and_then(|value| value.strip_prefix("Bearer "));
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

/// Returns the name of the operator that a token belongs to. Compares every entry, each in constant
/// time.
pub(super) fn authenticate<'a>(operators: &'a [OperatorEntry], token: &str) -> Option<&'a str> {
    let hash = hash_key(token);
    let mut found = None;
    for operator in operators {
        let Some(token_hash) = hex::decode_32(&operator.token_sha256) else {
            continue;
        };
        if bool::from(token_hash.ct_eq(&hash)) {
            found = Some(operator.name.as_str());
        }
    }
    found
}

/// Returns the body of a request. The listener reads bodies up to the limit completely.
fn read_body(exchange: &dyn Exchange, limit_bytes: u64) -> Result<Bytes, ErrorKind> {
    match exchange.body() {
        RequestBody::Whole(body) if body.len() as u64 <= limit_bytes => Ok(body),
        RequestBody::Whole(_) | RequestBody::Parts { .. } => Err(ErrorKind::BodyTooLarge),
    }
}
