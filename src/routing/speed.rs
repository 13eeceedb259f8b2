//! How fast servers answer, next to what is typical on each route.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::types::RouteId;

/// Weight of the newest request in the typical time of a route.
const ROUTE_WEIGHT: f64 = 0.05;

/// Weight of the newest request in a server's slowness.
const SERVER_WEIGHT: f64 = 0.2;

/// Time in which what is known of a server loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Slowness that one failure stands for: a server that fails fast must not seem fast.
const FAILURE_SLOWNESS: f64 = 4.0;

/// Excess of a server whose guard's breaker is open: it gets less for a while after.
const TRIPPED_EXCESS: f64 = 2.0;

/// Bounds of what one request says.
const SLOWNESS_BOUNDS: (f64, f64) = (0.2, 10.0);

/// Usual time of a route that nothing is known of.
const UNKNOWN_TYPICAL: Duration = Duration::from_millis(50);

/// Usual times of routes, as this entry sees them.
#[derive(Debug, Default)]
pub struct RouteSpeeds {
    typical_s: HashMap<RouteId, f64>,
}

impl RouteSpeeds {
    /// Takes one request and gives the typical time before it.
    pub fn take(&mut self, route: &RouteId, elapsed: Duration) -> Duration {
        let elapsed_s = elapsed.as_secs_f64();
        let Some(typical_s) = self.typical_s.get_mut(route) else {
            self.typical_s.insert(route.clone(), elapsed_s);
            return elapsed;
        };
        let before_s = *typical_s;
        *typical_s += ROUTE_WEIGHT * (elapsed_s - before_s);
        Duration::from_secs_f64(before_s)
    }

    /// Usual time of a route; a guess where nothing is known of it.
    pub fn typical(&self, route: &RouteId) -> Duration {
        self.known(route).unwrap_or(UNKNOWN_TYPICAL)
    }

    /// Usual time of a route, once it was met.
    pub fn known(&self, route: &RouteId) -> Option<Duration> {
        let typical_s = self.typical_s.get(route)?;
        Some(Duration::from_secs_f64(*typical_s))
    }
}

/// How slow one server is: 1 is as typical, 2 takes twice the time.
#[derive(Debug, Clone, Default)]
pub struct ServerSpeed {
    /// Distance from 1.
    excess: f64,
    at: Option<Instant>,
}

impl ServerSpeed {
    /// Takes one whole answer.
    pub fn take(&mut self, now: Instant, elapsed: Duration, typical: Duration) {
        let typical_s = typical.as_secs_f64().max(f64::MIN_POSITIVE);
        self.add(now, elapsed.as_secs_f64() / typical_s);
    }

    /// Takes one failure.
    pub fn failed(&mut self, now: Instant) {
        self.add(now, FAILURE_SLOWNESS);
    }

    /// Takes the word of its guard that the server has failed of late.
    pub fn tripped(&mut self, now: Instant) {
        self.excess = (self.slowness(now) - 1.0).max(TRIPPED_EXCESS);
        self.at = Some(now);
    }

    fn add(&mut self, now: Instant, slowness: f64) {
        let (least, most) = SLOWNESS_BOUNDS;
        let before = self.slowness(now) - 1.0;
        let observed = slowness.clamp(least, most) - 1.0;
        self.excess = before + SERVER_WEIGHT * (observed - before);
        self.at = Some(now);
    }

    /// How slow the server is now; what was learnt long ago fades.
    pub fn slowness(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 1.0;
        };
        let half_lives = now.saturating_duration_since(at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        1.0 + self.excess * 0.5f64.powf(half_lives)
    }
}
