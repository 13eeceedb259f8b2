//! Evidence that a server has not turned cold.
//!
//! A server may turn cold without a word, and takes longer for the same work then. An answer that
//! came sooner than is usual for its route tells that the server was warm when the request started;
//! as many as a cold server is unlikely to give prove it.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::times::RouteTimes;
use crate::types::RouteId;

/// Quick answers that prove a server warm.
const PROOF_COUNT: usize = 3;
/// Longest time of a quick answer, relative to the usual time of its route.
const QUICK_RATIO: f64 = 0.85;
/// An answer that took longer, relative to the usual time, does not change what is usual.
const OUTLIER_RATIO: f64 = 1.5;
/// Answers of a route before its usual time is known.
const LEAST_SAMPLE_COUNT: u32 = 8;

/// What the answers of one server tell.
#[derive(Debug)]
pub struct Warmth {
    /// Times of the server while it did not say it was cold.
    usual: RouteTimes,
    /// Starts of the quick answers that started last, `PROOF_COUNT` at most.
    quick_starts: BTreeSet<Instant>,
}

impl Default for Warmth {
    fn default() -> Self {
        Warmth {
            usual: RouteTimes::steady(),
            quick_starts: BTreeSet::new(),
        }
    }
}

impl Warmth {
    /// The server says that it is cold.
    pub fn reported_cold(&mut self) {
        self.quick_starts.clear();
    }

    /// Takes a good answer; gives the time up to which the server is proven warm, if it is.
    pub fn answered(
        &mut self,
        route: &RouteId,
        started_at: Instant,
        elapsed: Duration,
    ) -> Option<Instant> {
        let Some(usual_s) = self.usual.own_mean_s(route, LEAST_SAMPLE_COUNT) else {
            self.usual.add(route, elapsed);
            return None;
        };
        let ratio = elapsed.as_secs_f64() / usual_s.max(f64::MIN_POSITIVE);
        if ratio <= OUTLIER_RATIO {
            self.usual.add(route, elapsed);
        }
        if ratio > QUICK_RATIO {
            return None;
        }
        self.quick_starts.insert(started_at);
        if self.quick_starts.len() > PROOF_COUNT {
            self.quick_starts.pop_first();
        }
        let proven = self.quick_starts.len() == PROOF_COUNT;
        self.quick_starts.first().copied().filter(|_| proven)
    }
}
