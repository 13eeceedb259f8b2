//! Response times of servers relative to the typical time of each route.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::types::RouteId;

/// Weight of the newest request in the typical time of a route.
const ROUTE_WEIGHT: f64 = 0.05;

/// Weight of the newest request in a server's slowness.
const SERVER_WEIGHT: f64 = 0.2;

/// Slowness that one failure counts as: a server that fails fast must not seem fast.
const FAILURE_SLOWNESS: f64 = 4.0;

/// Excess slowness of a server whose guard's breaker is open; it gets fewer requests for some time
/// afterwards.
const TRIPPED_EXCESS: f64 = 2.0;

/// Least and greatest slowness that one request may contribute.
const SLOWNESS_BOUNDS: (f64, f64) = (0.2, 10.0);

/// Typical time assumed for a route without requests yet.
const UNKNOWN_TYPICAL: Duration = Duration::from_millis(50);

/// Typical response time of each route, as this entry has seen it: an exponential moving average in
/// seconds.
#[derive(Debug, Default)]
pub struct RouteSpeeds {
    /// Moving average of the response time in seconds.
    typical_s: HashMap<RouteId, f64>,
}

impl RouteSpeeds {
    /// Adds the time of one request and returns the typical time before it.
    pub fn record(&mut self, route: &RouteId, elapsed: Duration) -> Duration {
        let elapsed_s = elapsed.as_secs_f64();
        let Some(typical_s) = self.typical_s.get_mut(route) else {
            self.typical_s.insert(route.clone(), elapsed_s);
            return elapsed;
        };
        let before_s = *typical_s;
        *typical_s += ROUTE_WEIGHT * (elapsed_s - before_s);
        Duration::from_secs_f64(before_s)
    }

    /// Returns the typical time of a route, or a default if the route had no request yet.
    pub fn typical(&self, route: &RouteId) -> Duration {
        self.known_typical(route).unwrap_or(UNKNOWN_TYPICAL)
    }

    /// Returns the typical time of a route, or none if the route had no request yet.
    pub fn known_typical(&self, route: &RouteId) -> Option<Duration> {
        let typical_s = self.typical_s.get(route)?;
        Some(Duration::from_secs_f64(*typical_s))
    }
}

/// How slow one server is relative to the typical time: 2 means twice the time. Each method takes the
/// time after which excess slowness counts half.
#[derive(Debug, Clone, Default)]
pub struct ServerSpeed {
    /// Slowness minus 1, as of `at`.
    excess: f64,
    /// When `excess` was last updated; none before the first observation.
    updated_at: Option<Instant>,
}

impl ServerSpeed {
    /// Records the time of one whole answer, next to the route's typical time.
    pub fn record_answer(
        &mut self,
        now: Instant,
        elapsed: Duration,
        typical: Duration,
        half_life: Duration,
    ) {
        let typical_s = typical.as_secs_f64().max(f64::MIN_POSITIVE);
        self.record_slowness(now, elapsed.as_secs_f64() / typical_s, half_life);
    }

    /// Records one failure of the server.
    pub fn record_failure(&mut self, now: Instant, half_life: Duration) {
        self.record_slowness(now, FAILURE_SLOWNESS, half_life);
    }

    /// Records that the guard's breaker is open because the server failed.
    pub fn record_trip(&mut self, now: Instant, half_life: Duration) {
        self.excess = (self.slowness(now, half_life) - 1.0).max(TRIPPED_EXCESS);
        self.updated_at = Some(now);
    }

    /// Moves the slowness towards that of one request.
    fn record_slowness(&mut self, now: Instant, slowness: f64, half_life: Duration) {
        let (least, most) = SLOWNESS_BOUNDS;
        let before = self.slowness(now, half_life) - 1.0;
        let observed = slowness.clamp(least, most) - 1.0;
        self.excess = before + SERVER_WEIGHT * (observed - before);
        self.updated_at = Some(now);
    }

    /// Returns the server's slowness now; old observations decay towards 1.
    pub fn slowness(&self, now: Instant, half_life: Duration) -> f64 {
        let Some(updated_at) = self.updated_at else {
            return 1.0;
        };
        let half_lives =
            now.saturating_duration_since(updated_at).as_secs_f64() / half_life.as_secs_f64();
        1.0 + self.excess * 0.5f64.powf(half_lives)
    }
}
