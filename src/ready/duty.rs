//! The threads that answer `GET /ready` and `GET /metrics`.

use std::sync::Arc;

use crossbeam::channel::Receiver;

use super::state::{ReadyEvent, ReadyState};
use crate::metrics::Metrics;
use crate::wire::exchange::{RawHead, WholeAnswer};
use crate::wire::listener::HttpListener;

/// Path at which readiness is asked.
pub const READY_PATH: &str = "/ready";
/// Path of counters and timings.
pub const METRICS_PATH: &str = "/metrics";

/// Tells whether callers may come until the listener is closed.
pub fn run(listener: &Arc<HttpListener>, events: &Receiver<ReadyEvent>) {
    let mut state = ReadyState::default();
    while let Some((head, exchange)) = listener.next() {
        for event in events.try_iter() {
            state.handle(event);
        }
        let (status, text) = match (is_get(&head, READY_PATH), state.is_ready()) {
            (true, true) => (200, "ready\n"),
            (true, false) => (503, "not ready\n"),
            (false, _) => NO_SUCH_PATH,
        };
        exchange.answer(answer(status, text.to_owned()));
    }
}

/// Gives counters and timings until the listener is closed.
pub fn run_metrics(listener: &Arc<HttpListener>, metrics: &Metrics) {
    while let Some((head, exchange)) = listener.next() {
        if is_get(&head, METRICS_PATH) {
            exchange.answer(answer(200, metrics.prometheus_text()));
            continue;
        }
        let (status, text) = NO_SUCH_PATH;
        exchange.answer(answer(status, text.to_owned()));
    }
}

const NO_SUCH_PATH: (u16, &str) = (404, "no such path\n");

fn is_get(head: &RawHead, path: &str) -> bool {
    head.method == "GET" && head.target.split('?').next() == Some(path)
}

fn answer(status: u16, text: String) -> WholeAnswer {
    WholeAnswer {
        status,
        headers: vec![("content-type".to_owned(), "text/plain".to_owned())],
        body: text.into_bytes(),
    }
}
