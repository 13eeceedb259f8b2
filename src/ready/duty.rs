//! The thread that answers `GET /ready` and `GET /metrics`.

use std::sync::Arc;

use crossbeam::channel::{never, Receiver};
use crossbeam::select;

use super::state::{ReadyEvent, ReadyState};
use crate::metrics::Metrics;
use crate::wire::exchange::{RawHead, WholeAnswer};
use crate::wire::listener::{Arrival, HttpListener};

/// Path that reports whether the daemon is ready for callers.
pub const READY_PATH: &str = "/ready";
/// Path that returns the counters and timings as text.
pub const METRICS_PATH: &str = "/metrics";

/// Listeners of the thread; each may be missing.
pub struct ReadyListeners {
    /// Receives readiness checks.
    pub checks: Option<Arc<HttpListener>>,
    /// Receives requests for the counters and timings.
    pub scrapes: Option<Arc<HttpListener>>,
}

/// Answers readiness checks and scrapes until the listeners are closed.
pub fn run(listeners: &ReadyListeners, events: &Receiver<ReadyEvent>, metrics: &Metrics) {
    let mut state = ReadyState::default();
    let mut checks = arrivals(&listeners.checks);
    let mut scrapes = arrivals(&listeners.scrapes);
    while checks.is_some() || scrapes.is_some() {
        let unused = never();
        select! {
            recv(checks.as_ref().unwrap_or(&unused)) -> arrival => match arrival {
                Ok(check) => answer_check(check, &mut state, events),
                Err(_) => checks = None,
            },
            recv(scrapes.as_ref().unwrap_or(&unused)) -> arrival => match arrival {
                Ok(scrape) => answer_scrape(scrape, metrics),
                Err(_) => scrapes = None,
            },
        }
    }
}

/// Returns the ring of a listener's requests.
fn arrivals(listener: &Option<Arc<HttpListener>>) -> Option<Receiver<Arrival>> {
    listener
        .as_ref()
        .map(|listener| listener.arrivals().clone())
}

/// Answers a readiness check from the events up to now.
fn answer_check(check: Arrival, state: &mut ReadyState, events: &Receiver<ReadyEvent>) {
    let (head, exchange) = check;
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

/// Answers a request for the counters and timings.
fn answer_scrape(scrape: Arrival, metrics: &Metrics) {
    let (head, exchange) = scrape;
    if is_get(&head, METRICS_PATH) {
        exchange.answer(text_answer(200, metrics.prometheus_text()));
        return;
    }
    let (status, text) = NOT_FOUND;
    exchange.answer(text_answer(status, text.to_owned()));
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
