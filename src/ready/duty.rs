//! The threads that answer `GET /ready` and `GET /metrics`.

use std::sync::Arc;

use crossbeam::channel::Receiver;

use super::state::{ReadyEvent, ReadyState};
use crate::metrics::Metrics;
use crate::wire::exchange::{RawHead, WholeAnswer};
use crate::wire::listener::HttpListener;

/// Path that reports whether the daemon is ready for callers.
pub const READY_PATH: &str = "/ready";
/// Path that returns the counters and timings as text.
pub const METRICS_PATH: &str = "/metrics";

/// Answers readiness checks until the listener is closed.
pub fn run(listener: &Arc<HttpListener>, events: &Receiver<ReadyEvent>) {
    let mut state = ReadyState::default();
    while let Some((head, exchange)) = listener.next() {
        for event in events.try_iter() {
            state.handle(event);
        }
        let (status, text) = match (is_get(&head, READY_PATH), state.is_ready()) {
            (true, true) => (200, "ready\n"),
            (true, false) => (503, "not ready\n"),
            (false, _) => NOT_FOUND,
        };
        exchange.answer(text_answer(status, text.to_owned()));
    }
}

/// Answers requests for the counters and timings until the listener is closed.
pub fn run_metrics(listener: &Arc<HttpListener>, metrics: &Metrics) {
    while let Some((head, exchange)) = listener.next() {
        if is_get(&head, METRICS_PATH) {
            exchange.answer(text_answer(200, metrics.prometheus_text()));
            continue;
        }
        let (status, text) = NOT_FOUND;
        exchange.answer(text_answer(status, text.to_owned()));
    }
}

/// Status and text for any other path or method.
const NOT_FOUND: (u16, &str) = (404, "no such path\n");

/// Returns whether a request is a `GET` of a path, with or without a query string.
fn is_get(head: &RawHead, path: &str) -> bool {
    head.method == "GET" && head.target.split('?').next() == Some(path)
}

/// Returns an answer with this status and plain text.
fn text_answer(status: u16, text: String) -> WholeAnswer {
    WholeAnswer {
        status,
        headers: vec![("content-type".to_owned(), "text/plain".to_owned())],
        body: text.into(),
    }
}
