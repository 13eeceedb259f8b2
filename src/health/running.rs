//! Running requests at a backend server, and the observations made before and at their end.

use std::time::{Duration, Instant};

use super::baseline::Expected;
use super::message::RequestEnd;
use super::window::Observation;
use crate::types::{BackendServerId, RouteId};

/// Interval at which requests that stay stuck count as evidence again.
const STUCK_REPEAT: Duration = Duration::from_millis(200);

/// A request that is running at a backend server.
pub struct RunningRequest {
    /// Backend server that runs the request.
    pub server: BackendServerId,
    /// Route of the request.
    pub route: RouteId,
    /// When the request started.
    pub started_at: Instant,
    /// Whether an observation was already made of it.
    is_counted: bool,
    /// When it last counted as stuck.
    stuck_at: Option<Instant>,
}

impl RunningRequest {
    /// Creates a request that starts at `started_at`.
    pub fn new(server: BackendServerId, route: RouteId, started_at: Instant) -> RunningRequest {
        RunningRequest {
            server,
            route,
            started_at,
            is_counted: false,
            stuck_at: None,
        }
    }

    /// Returns whether the request is older than the stuck threshold.
    pub fn is_stuck(&self, now: Instant, expected: &Expected) -> bool {
        let age = now.saturating_duration_since(self.started_at);
        exceeds(age, expected.stuck_after)
    }

    /// Returns an observation of a running request, or `None` while it is younger than the
    /// thresholds. One long request is one event: it counts again while it stays stuck only if
    /// other requests of the server are stuck too (`with_others`).
    pub fn observe_unfinished(
        &mut self,
        now: Instant,
        expected: &Expected,
        with_others: bool,
    ) -> Option<Observation> {
        let age = now.saturating_duration_since(self.started_at);
        let slow = exceeds(age, expected.slow_after()) && !self.is_counted;
        let repeats =
            |at: Instant| with_others && now.saturating_duration_since(at) >= STUCK_REPEAT;
        let stuck = exceeds(age, expected.stuck_after) && self.stuck_at.is_none_or(repeats);
        if !slow && !stuck {
            return None;
        }
        let already_counted = std::mem::replace(&mut self.is_counted, true);
        if stuck {
            self.stuck_at = Some(now);
        }
        Some(Observation {
            at: now,
            elapsed: age,
            failed: false,
            slow,
            stuck,
            already_counted,
        })
    }

    /// Returns the observation made at the end of the request, or `None` if it is no evidence or
    /// nothing new.
    pub fn observe_end(
        &self,
        now: Instant,
        end: RequestEnd,
        elapsed: Duration,
        expected: &Expected,
    ) -> Option<Observation> {
        let failed = matches!(end, RequestEnd::Failed(_));
        let slow = exceeds(elapsed, expected.slow_after());
        // A deadline shorter than the slow threshold says nothing about the server.
        let silent = end == RequestEnd::Neutral || (end == RequestEnd::TimedOut && !slow);
        if silent || (self.is_counted && !failed) {
            return None;
        }
        Some(Observation {
            at: now,
            elapsed,
            failed,
            slow: slow && !self.is_counted,
            stuck: false,
            already_counted: self.is_counted,
        })
    }
}

/// Returns whether a time exceeds a threshold, if there is one.
fn exceeds(time: Duration, threshold: Option<Duration>) -> bool {
    threshold.is_some_and(|threshold| time > threshold)
}
