//! Departures that servers have announced, whether or not the guard knows these servers.
//!
//! An acknowledged departure is final for that incarnation of the server: neither a delayed
//! announcement nor a health answer brings it back.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::message::GuardAction;
use super::state::GuardState;
use crate::membership::ServerDeparture;
use crate::types::BackendServerId;

/// How long a departure is remembered.
pub(super) const DEPARTURE_RETENTION: Duration = Duration::from_secs(600);
/// Longest delay of an announcement that is allowed for.
pub(super) const ANNOUNCEMENT_DELAY_LIMIT: Duration = Duration::from_secs(10);
/// How long a departure without a start time applies to every incarnation of the server.
const UNKNOWN_INCARNATION_HOLD: Duration = ANNOUNCEMENT_DELAY_LIMIT;
/// Most departures that are remembered; the oldest is forgotten first.
const DEPARTURE_LIMIT_COUNT: usize = 1024;

/// Most departures that are reported for the next incarnation of the daemon, the latest ones.
const REPORTED_LIMIT_COUNT: usize = 16;

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
    /// Whether an incarnation has left that no report contains yet.
    unreported: bool,
}

impl Departures {
    /// Records that an incarnation of a server leaves; 0 for one of unknown start time.
    pub(super) fn add(&mut self, now: Instant, server: &BackendServerId, started_at_ms: u64) {
        let known = self
            .by_server
            .get(server)
            .map_or(0, |left| left.started_at_ms);
        let started_at_ms = started_at_ms.max(known);
        self.unreported |= started_at_ms != known;
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

    /// Returns the latest departures of known incarnations, oldest first, if one is not reported yet.
    fn take_report(&mut self) -> Option<Vec<ServerDeparture>> {
        if !std::mem::take(&mut self.unreported) {
            return None;
        }
        let known = self.by_server.iter();
        let known = known.filter(|(_, left)| left.started_at_ms != 0);
        let mut latest: Vec<(Instant, ServerDeparture)> = known
            .map(|(server, left)| {
                let departure = ServerDeparture {
                    server: server.clone(),
                    started_at_ms: left.started_at_ms,
                };
                (left.left_at, departure)
            })
            .collect();
        latest.sort_by(|(some, one), (others, other)| {
            (some, &one.server).cmp(&(others, &other.server))
        });
        let surplus_count = latest.len().saturating_sub(REPORTED_LIMIT_COUNT);
        let latest = latest.into_iter().skip(surplus_count);
        Some(latest.map(|(_, departure)| departure).collect())
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

impl GuardState {
    /// Reports a new departure, if departures are final.
    pub(super) fn report_departures(&mut self, actions: &mut Vec<GuardAction>) {
        if !self.settings.departures_final {
            return;
        }
        if let Some(departures) = self.departures.take_report() {
            actions.push(GuardAction::ReportDepartures(departures));
        }
    }
}
