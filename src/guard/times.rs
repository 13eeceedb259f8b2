//! Mean service times of one server, by route.

use std::collections::HashMap;
use std::time::Duration;

use crate::types::RouteId;

/// Most routes with a mean of their own; the others use the mean over all routes.
const ROUTE_LIMIT_COUNT: usize = 64;
/// Weight of a new time in a mean that follows the server quickly.
const FAST_WEIGHT_SHARE: f64 = 0.1;
/// Weight of a new time in a mean that hardly changes while the server is temporarily slow.
const SLOW_WEIGHT_SHARE: f64 = 0.01;

/// Moving means of service times by route.
#[derive(Debug, Clone)]
pub struct RouteTimes {
    /// Weight of a new time, from 0 to 1.
    new_weight_share: f64,
    /// Mean of each route that was measured.
    routes: HashMap<RouteId, MeanTime>,
    /// Mean over all routes.
    all: MeanTime,
}

impl Default for RouteTimes {
    /// Creates means that follow the server quickly.
    fn default() -> Self {
        RouteTimes {
            new_weight_share: FAST_WEIGHT_SHARE,
            routes: HashMap::new(),
            all: MeanTime::default(),
        }
    }
}

/// Exponentially weighted moving mean of service times.
#[derive(Debug, Clone, Copy, Default)]
struct MeanTime {
    /// Mean service time in seconds; 0 without samples.
    mean_s: f64,
    /// Samples that the mean was computed from.
    sample_count: u32,
}

impl MeanTime {
    /// Adds a sample; the first samples weigh as in an arithmetic mean.
    fn add(&mut self, elapsed_s: f64, new_weight_share: f64) {
        self.sample_count = self.sample_count.saturating_add(1);
        let weight = new_weight_share.max(1.0 / f64::from(self.sample_count));
        self.mean_s += weight * (elapsed_s - self.mean_s);
    }
}

impl MeanTime {
    /// Returns the mean if it is based on enough samples.
    fn mean_if_known_s(&self, min_sample_count: u32) -> Option<f64> {
        (self.sample_count >= min_sample_count).then_some(self.mean_s)
    }
}

impl RouteTimes {
    /// Creates means that change only over many answers.
    pub fn slow_moving() -> RouteTimes {
        RouteTimes {
            new_weight_share: SLOW_WEIGHT_SHARE,
            ..Default::default()
        }
    }

    /// Adds the time of one whole answer.
    pub fn add(&mut self, route: &RouteId, elapsed: Duration) {
        let elapsed_s = elapsed.as_secs_f64();
        let weight = self.new_weight_share;
        self.all.add(elapsed_s, weight);
        if let Some(mean) = self.routes.get_mut(route) {
            return mean.add(elapsed_s, weight);
        }
        if self.routes.len() < ROUTE_LIMIT_COUNT {
            let mean = self.routes.entry(route.clone()).or_default();
            mean.add(elapsed_s, weight);
        }
    }

    /// Returns the mean time of this route alone, once enough answers of it were seen.
    pub fn route_mean_s(&self, route: &RouteId, min_sample_count: u32) -> Option<f64> {
        self.routes.get(route)?.mean_if_known_s(min_sample_count)
    }

    /// Returns the mean time of a route, or over all routes if it has none of its own, once enough
    /// answers were seen.
    pub fn route_or_overall_mean_s(&self, route: &RouteId, min_sample_count: u32) -> Option<f64> {
        let mean = self.routes.get(route).unwrap_or(&self.all);
        mean.mean_if_known_s(min_sample_count)
    }

    /// Returns the mean time over all routes; 0 before the first answer.
    pub fn overall_mean_s(&self) -> f64 {
        self.all.mean_s
    }

    /// Returns whether enough answers were seen over all routes.
    pub fn is_known(&self, min_sample_count: u32) -> bool {
        self.all.sample_count >= min_sample_count
    }

    /// Forgets all times of the server.
    pub fn clear(&mut self) {
        self.routes.clear();
        self.all = MeanTime::default();
    }
}
