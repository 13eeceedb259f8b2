//! The thread that answers `GET /ready` and `GET /metrics`.

use std::sync::Arc;

use crossbeam::channel::Receiver;

use super::state::{ReadyEvent, ReadyState};
use crate::metrics::Metrics;
use crate::wire::exchange::{RawHead, WholeAnswer};
use crate::wire::listener::HttpListener;

/// Path at which readiness is asked.
pub const READY_PATH: &str = "/ready";
/// Path of the counters.
pub const METRICS_PATH: &str = "/metrics";

/// Answers until the listener is closed.
pub fn run(listener: &Arc<HttpListener>, events: &Receiver<ReadyEvent>, metrics: &Metrics) {
    let mut state = ReadyState::default();
    while let Some((head, exchange)) = listener.next() {
        for event in events.try_iter() {
            state.handle(event);
        }
        exchange.answer(answer(&head, state, metrics));
    }
}

fn answer(head: &RawHead, state: ReadyState, metrics: &Metrics) -> WholeAnswer {
    let path = head.target.split('?').next().unwrap_or_default();
    let (status, text) = match (head.method.as_str(), path) {
        ("GET", READY_PATH) if state.is_ready() => (200, "ready\n".to_owned()),
        ("GET", READY_PATH) => (503, "not ready\n".to_owned()),
        ("GET", METRICS_PATH) => (200, metrics.text()),
        _ => (404, "no such path\n".to_owned()),
    };
    WholeAnswer {
        status,
        headers: vec![("content-type".to_owned(), "text/plain".to_owned())],
        body: text.into_bytes(),
    }
}
