//! Requests that run at a backend server, and what they say before and at their end.

use std::time::{Duration, Instant};

use super::baseline::Expected;
use super::message::RequestEnd;
use super::window::Observation;
use crate::types::{BackendServerId, RouteId};

/// Requests that stay stuck are evidence already_counted after this time.
const STUCK_REPEAT: Duration = Duration::from_millis(200);

/// A request that runs.
pub struct RunningRequest {
    /// The server.
    pub server: BackendServerId,
    /// The route.
    pub route: RouteId,
    /// When it started.
    pub started_at: Instant,
    /// Whether it was counted before its end.
    is_counted: bool,
    /// When it was last evidence as stuck.
    stuck_at: Option<Instant>,
}

impl RunningRequest {
    /// A request that starts.
    pub fn new(server: BackendServerId, route: RouteId, started_at: Instant) -> RunningRequest {
        RunningRequest {
            server,
            route,
            started_at,
            is_counted: false,
            stuck_at: None,
        }
    }

    /// Whether it is older than the stuck mark.
    pub fn is_stuck(&self, now: Instant, expected: &Expected) -> bool {
        let age = now.saturating_duration_since(self.started_at);
        is_over(age, expected.stuck_after)
    }

    /// What the request says while it runs; none while it is younger than the marks. One long
    /// request is one event: only one `with_others` is evidence already_counted while it stays stuck.
    pub fn observe_unfinished(
        &mut self,
        now: Instant,
        expected: &Expected,
        with_others: bool,
    ) -> Option<Observation> {
        let age = now.saturating_duration_since(self.started_at);
        let slow = is_over(age, expected.slow_after()) && !self.is_counted;
        let repeats =
            |at: Instant| with_others && now.saturating_duration_since(at) >= STUCK_REPEAT;
        let stuck = is_over(age, expected.stuck_after) && self.stuck_at.is_none_or(repeats);
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

    /// What the end of the request says; none where that is nothing, or nothing new.
    pub fn observe_end(
        &self,
        now: Instant,
        end: RequestEnd,
        elapsed: Duration,
        expected: &Expected,
    ) -> Option<Observation> {
        let failed = matches!(end, RequestEnd::Failed(_));
        let slow = is_over(elapsed, expected.slow_after());
        // A deadline shorter than the slow mark says nothing about the server.
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

fn is_over(time: Duration, mark: Option<Duration>) -> bool {
    mark.is_some_and(|mark| time > mark)
}
