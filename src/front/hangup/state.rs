//! Decisions on hang-ups: when to look, and whose caller has left.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::table::ConnectionTable;
use crate::types::RequestId;

/// A look may take this part of the time between two looks at most.
const COST_DIVISOR: u32 = 50;

/// What happens to the state.
#[derive(Debug, Clone)]
pub enum HangupEvent {
    /// A request was handed to routing.
    Opened {
        /// The request.
        request: RequestId,
        /// Its caller.
        peer: SocketAddr,
        /// When it has ended at the latest.
        ends_at: Instant,
    },
    /// The request has ended.
    Closed(RequestId),
    /// The table was read, which took some time.
    Looked {
        /// What it holds of the front's connections.
        table: ConnectionTable,
        /// How long that took.
        cost: Duration,
    },
}

/// Requests whose callers are watched.
pub struct HangupState {
    every: Duration,
    open: HashMap<RequestId, OpenRequest>,
    /// Not before this time is the table read again.
    next_look_at: Instant,
}

struct OpenRequest {
    peer: SocketAddr,
    since: Instant,
    ends_at: Instant,
}

impl HangupState {
    /// A state that looks every so often while requests have been open for that long.
    pub fn new(every: Duration, now: Instant) -> HangupState {
        HangupState {
            every,
            open: HashMap::new(),
            next_look_at: now,
        }
    }

    /// When the table is to be read next; never while no request is open.
    pub fn next_look_at(&self) -> Option<Instant> {
        let oldest = self.open.values().map(|open| open.since).min()?;
        Some((oldest + self.every).max(self.next_look_at))
    }

    /// Takes one event and gives the requests whose callers have left.
    pub fn handle(&mut self, now: Instant, event: HangupEvent) -> Vec<RequestId> {
        match event {
            HangupEvent::Opened {
                request,
                peer,
                ends_at,
            } => {
                let open = OpenRequest {
                    peer,
                    since: now,
                    ends_at,
                };
                self.open.insert(request, open);
                Vec::new()
            }
            HangupEvent::Closed(request) => {
                self.open.remove(&request);
                Vec::new()
            }
            HangupEvent::Looked { table, cost } => self.looked(now, &table, cost),
        }
    }

    fn looked(&mut self, now: Instant, table: &ConnectionTable, cost: Duration) -> Vec<RequestId> {
        self.next_look_at = now + self.every.max(cost * COST_DIVISOR);
        self.open.retain(|_, open| open.ends_at > now);
        let mut left = Vec::new();
        for (request, open) in &self.open {
            let long_open = now.saturating_duration_since(open.since) >= self.every;
            if long_open && table.has_left(&open.peer) {
                left.push(*request);
            }
        }
        for request in &left {
            self.open.remove(request);
        }
        left
    }
}
