//! The thread that looks for callers that hung up.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError};

use super::state::{HangupEvent, HangupState};
use super::table::ConnectionTable;
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::ring::RingSender;
use crate::routing::{RoutingEvent, RoutingMessage};

const TABLE_PATH: &str = "/proc/self/net/tcp";
const IDLE: Duration = Duration::from_secs(60);

/// What the thread needs of the world.
pub struct HangupContext {
    /// How often to look, and how long a request must be open before.
    pub every: Duration,
    /// The front's port.
    pub local_port: u16,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Counters.
    pub metrics: Metrics,
    /// Routing.
    pub routing: RingSender<RoutingMessage>,
}

/// Runs until the ring closes.
pub fn run(context: &HangupContext, events: &Receiver<HangupEvent>) {
    let mut state = HangupState::new(context.every, context.clock.now());
    loop {
        let now = context.clock.now();
        let wait = state
            .next_look_at()
            .map_or(IDLE, |at| at.saturating_duration_since(now));
        let event = match events.recv_timeout(wait) {
            Ok(event) => event,
            Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => match look(context) {
                Some(event) => event,
                None => return,
            },
        };
        for request in state.handle(context.clock.now(), event) {
            context.metrics.count("front.caller_left");
            let event = RoutingEvent::CallerLeft(request);
            if context.routing.offer(RoutingMessage::Event(event)).is_err() {
                context.metrics.count("front.caller_left.dropped");
            }
        }
    }
}

/// Reads the table; none where the machine has none.
fn look(context: &HangupContext) -> Option<HangupEvent> {
    let started_at = Instant::now();
    let text = match std::fs::read_to_string(TABLE_PATH) {
        Ok(text) => text,
        Err(error) => {
            log::warn!("{TABLE_PATH}: {error}; callers that hang up are not noticed");
            return None;
        }
    };
    let table = ConnectionTable::parse(&text, context.local_port);
    let cost = started_at.elapsed();
    context.metrics.time("front.hangup.look", cost);
    Some(HangupEvent::Looked { table, cost })
}
