//! Departures that servers have announced, whether or not the guard knows these servers.
//!
//! An acknowledged departure is final for that incarnation of the server: neither a delayed
//! announcement nor a health answer brings it back.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::types::BackendServerId;

/// How long a departure is remembered.
pub(super) const DEPARTURE_RETENTION: Duration = Duration::from_secs(600);
/// Longest delay of an announcement that is allowed for.
pub(super) const ANNOUNCEMENT_DELAY_LIMIT: Duration = Duration::from_secs(10);
/// How long a departure without a start time applies to every incarnation of the server.
const UNKNOWN_INCARNATION_HOLD: Duration = ANNOUNCEMENT_DELAY_LIMIT;
/// Most departures that are remembered; the oldest is forgotten first.
const DEPARTURE_LIMIT_COUNT: usize = 1024;

/// The last departure of one server.
#[derive(Debug, Clone, Copy)]
struct Departure {
    /// Start time of the latest incarnation that left, in milliseconds since the epoch; 0 where it
    /// is not known.
    started_at_ms: u64,
    /// When the guard received the announcement of the departure.
    left_at: Instant,
}

/// Incarnations of servers that have announced their departure.
#[derive(Debug, Default)]
pub(super) struct Departures {
    /// Last departure of each server; at most `DEPARTURE_LIMIT_COUNT`.
    by_server: HashMap<BackendServerId, Departure>,
}

impl Departures {
    /// Records that an incarnation of a server leaves; 0 for one of unknown start time.
    pub(super) fn add(&mut self, now: Instant, server: &BackendServerId, started_at_ms: u64) {
        let known = self
            .by_server
            .get(server)
            .map_or(0, |left| left.started_at_ms);
        let started_at_ms = started_at_ms.max(known);
        let departure = Departure {
            started_at_ms,
            left_at: now,
        };
        self.by_server.insert(server.clone(), departure);
        if self.by_server.len() > DEPARTURE_LIMIT_COUNT {
            self.forget_oldest();
        }
    }

    /// Returns whether this incarnation of a server, or a later one, has left.
    pub(super) fn has_left(
        &self,
        now: Instant,
        server: &BackendServerId,
        started_at_ms: u64,
    ) -> bool {
        self.by_server.get(server).is_some_and(|left| {
            let held = now.saturating_duration_since(left.left_at) < UNKNOWN_INCARNATION_HOLD;
            let known = left.started_at_ms != 0;
            (known && started_at_ms <= left.started_at_ms) || (!known && held)
        })
    }

    /// Forgets departures older than `DEPARTURE_RETENTION`.
    pub(super) fn forget_expired(&mut self, now: Instant) {
        self.by_server
            .retain(|_, left| now.saturating_duration_since(left.left_at) < DEPARTURE_RETENTION);
    }

    /// Forgets the departure that was announced longest ago.
    fn forget_oldest(&mut self) {
        let oldest = self.by_server.iter().min_by_key(|(_, left)| left.left_at);
        if let Some(server) = oldest.map(|(server, _)| server.clone()) {
            self.by_server.remove(&server);
        }
    }
}
