//! Evidence that a server has not turned cold.
//!
//! A server may turn cold without announcing it, and then takes longer for the same work. An answer
//! faster than is typical for its route suggests that the server was warm when the request started.
//! Several fast answers, which a cold server is unlikely to return, confirm it.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::times::RouteTimes;
use crate::types::RouteId;

/// Fast answers that confirm that a server is warm.
const CONFIRMING_ANSWER_COUNT: usize = 3;
/// Longest time of a fast answer, relative to the typical time of its route.
const FAST_RATIO: f64 = 0.85;
/// Longest answer that changes the typical time, relative to it.
const OUTLIER_RATIO: f64 = 1.5;
/// Answers of a route before its typical time is known.
const MIN_SAMPLE_COUNT: u32 = 8;

/// Evidence from the answers of one server that it is warm.
#[derive(Debug)]
pub struct WarmthEvidence {
    /// Service times while the server did not announce that it was cold.
    typical_times: RouteTimes,
    /// Start times of the fast answers that started last, `CONFIRMING_ANSWER_COUNT` at most.
    fast_starts: BTreeSet<Instant>,
}

impl Default for WarmthEvidence {
    /// Creates the evidence on a server without answers.
    fn default() -> Self {
        WarmthEvidence {
            typical_times: RouteTimes::slow_moving(),
            fast_starts: BTreeSet::new(),
        }
    }
}

impl WarmthEvidence {
    /// Discards the evidence, because the server reports that it is cold.
    pub fn reported_cold(&mut self) {
        self.fast_starts.clear();
    }

    /// Records a good answer, and returns until when the server is confirmed warm, if it is.
    pub fn record_answer(
        &mut self,
        route: &RouteId,
        started_at: Instant,
        elapsed: Duration,
    ) -> Option<Instant> {
        let Some(typical_s) = self.typical_times.route_mean_s(route, MIN_SAMPLE_COUNT) else {
            self.typical_times.add(route, elapsed);
            return None;
        };
        let ratio = elapsed.as_secs_f64() / typical_s.max(f64::MIN_POSITIVE);
        if ratio <= OUTLIER_RATIO {
            self.typical_times.add(route, elapsed);
        }
        if ratio > FAST_RATIO {
            return None;
        }
        self.fast_starts.insert(started_at);
        if self.fast_starts.len() > CONFIRMING_ANSWER_COUNT {
            self.fast_starts.pop_first();
        }
        let confirmed = self.fast_starts.len() == CONFIRMING_ANSWER_COUNT;
        self.fast_starts.first().copied().filter(|_| confirmed)
    }
}
