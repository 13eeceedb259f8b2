//! How long a server takes for each route.

use std::collections::HashMap;
use std::time::Duration;

use crate::types::RouteId;

/// Routes with times of their own; others share one.
const ROUTE_LIMIT_COUNT: usize = 64;
/// Weight of a new time in a mean that follows the server.
const FAST_WEIGHT_SHARE: f64 = 0.1;
/// The same in a mean that stays while the server is slow for a while.
const SLOW_WEIGHT_SHARE: f64 = 0.01;

/// Moving means of service times by route.
#[derive(Debug, Clone)]
pub struct RouteTimes {
    new_weight_share: f64,
    routes: HashMap<RouteId, MeanTime>,
    all: MeanTime,
}

impl Default for RouteTimes {
    fn default() -> Self {
        RouteTimes {
            new_weight_share: FAST_WEIGHT_SHARE,
            routes: HashMap::new(),
            all: MeanTime::default(),
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct MeanTime {
    mean_s: f64,
    sample_count: u32,
}

impl MeanTime {
    fn add(&mut self, elapsed_s: f64, new_weight_share: f64) {
        self.sample_count = self.sample_count.saturating_add(1);
        let weight = new_weight_share.max(1.0 / f64::from(self.sample_count));
        self.mean_s += weight * (elapsed_s - self.mean_s);
    }
}

impl MeanTime {
    fn mean_if_known_s(&self, min_sample_count: u32) -> Option<f64> {
        (self.sample_count >= min_sample_count).then_some(self.mean_s)
    }
}

impl RouteTimes {
    /// Times that change only over many answers.
    pub fn slow_moving() -> RouteTimes {
        RouteTimes {
            new_weight_share: SLOW_WEIGHT_SHARE,
            ..Default::default()
        }
    }

    /// Takes the time of one whole answer.
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

    /// The mean time of this very route, once enough answers of it were seen.
    pub fn route_mean_s(&self, route: &RouteId, min_sample_count: u32) -> Option<f64> {
        self.routes.get(route)?.mean_if_known_s(min_sample_count)
    }

    /// The mean time of a route, once enough answers were seen.
    pub fn route_or_overall_mean_s(&self, route: &RouteId, min_sample_count: u32) -> Option<f64> {
        let mean = self.routes.get(route).unwrap_or(&self.all);
        mean.mean_if_known_s(min_sample_count)
    }

    /// The mean time over all routes.
    pub fn overall_mean_s(&self) -> f64 {
        self.all.mean_s
    }

    /// Whether enough answers were seen on any route.
    pub fn is_known(&self, min_sample_count: u32) -> bool {
        self.all.sample_count >= min_sample_count
    }

    /// Forgets all times.
    pub fn clear(&mut self) {
        self.routes.clear();
        self.all = MeanTime::default();
    }
}
