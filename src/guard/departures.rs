//! Departures that servers have announced, known to the guard or not.
//!
//! An acknowledged departure binds: nothing that is late, and no health answer, brings that life of
//! the server back.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::types::BackendServerId;

/// How long a departure is remembered.
pub(super) const DEPARTURE_MEMORY: Duration = Duration::from_secs(600);
/// For how long a departure whose life is not known binds whatever life announces itself.
const UNKNOWN_INCARNATION_HOLD: Duration = Duration::from_secs(10);
/// Departures that are remembered at most; the oldest is forgotten first.
const DEPARTURE_LIMIT_COUNT: usize = 1024;

#[derive(Debug, Clone, Copy)]
struct Departure {
    /// The latest life that left; 0 where that is not known.
    started_at_ms: u64,
    at: Instant,
}

/// Lives of servers that have said that they leave.
#[derive(Debug, Default)]
pub(super) struct Departures {
    by_server: HashMap<BackendServerId, Departure>,
}

impl Departures {
    /// Remembers that a life of a server leaves; 0 for one of unknown start.
    pub(super) fn add(&mut self, now: Instant, server: &BackendServerId, started_at_ms: u64) {
        let known = self
            .by_server
            .get(server)
            .map_or(0, |left| left.started_at_ms);
        let started_at_ms = started_at_ms.max(known);
        let departure = Departure {
            started_at_ms,
            at: now,
        };
        self.by_server.insert(server.clone(), departure);
        if self.by_server.len() > DEPARTURE_LIMIT_COUNT {
            self.forget_oldest();
        }
    }

    /// Whether a life of a server, or a later one, has left.
    pub(super) fn has_left(
        &self,
        now: Instant,
        server: &BackendServerId,
        started_at_ms: u64,
    ) -> bool {
        self.by_server.get(server).is_some_and(|left| {
            let held = now.saturating_duration_since(left.at) < UNKNOWN_INCARNATION_HOLD;
            let known = left.started_at_ms != 0;
            (known && started_at_ms <= left.started_at_ms) || (!known && held)
        })
    }

    /// Forgets what is long ago.
    pub(super) fn forget(&mut self, now: Instant) {
        self.by_server
            .retain(|_, left| now.saturating_duration_since(left.at) < DEPARTURE_MEMORY);
    }

    fn forget_oldest(&mut self) {
        let oldest = self.by_server.iter().min_by_key(|(_, left)| left.at);
        if let Some(server) = oldest.map(|(server, _)| server.clone()) {
            self.by_server.remove(&server);
        }
    }
}
