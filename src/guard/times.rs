//! How long a server takes for each route.

use std::collections::HashMap;
use std::time::Duration;

use crate::types::RouteId;

/// Routes with times of their own; others share one.
const ROUTE_LIMIT_COUNT: usize = 64;
/// Weight of a new time in the mean.
const NEW_WEIGHT_SHARE: f64 = 0.1;

/// Moving means of service times by route.
#[derive(Debug, Clone, Default)]
pub struct RouteTimes {
    routes: HashMap<RouteId, MeanTime>,
    all: MeanTime,
}

#[derive(Debug, Clone, Copy, Default)]
struct MeanTime {
    mean_s: f64,
    sample_count: u32,
}

impl MeanTime {
    fn add(&mut self, elapsed_s: f64) {
        self.sample_count = self.sample_count.saturating_add(1);
        let weight = NEW_WEIGHT_SHARE.max(1.0 / f64::from(self.sample_count));
        self.mean_s += weight * (elapsed_s - self.mean_s);
    }
}

impl RouteTimes {
    /// Takes the time of one whole answer.
    pub fn add(&mut self, route: &RouteId, elapsed: Duration) {
        let elapsed_s = elapsed.as_secs_f64();
        self.all.add(elapsed_s);
        if let Some(mean) = self.routes.get_mut(route) {
            return mean.add(elapsed_s);
        }
        if self.routes.len() < ROUTE_LIMIT_COUNT {
            self.routes.entry(route.clone()).or_default().add(elapsed_s);
        }
    }

    /// The mean time of a route, once enough answers were seen.
    pub fn mean_s(&self, route: &RouteId, least_sample_count: u32) -> Option<f64> {
        let mean = self.routes.get(route).unwrap_or(&self.all);
        (mean.sample_count >= least_sample_count).then_some(mean.mean_s)
    }

    /// The mean time over all routes.
    pub fn overall_mean_s(&self) -> f64 {
        self.all.mean_s
    }

    /// Whether enough answers were seen on any route.
    pub fn is_known(&self, least_sample_count: u32) -> bool {
        self.all.sample_count >= least_sample_count
    }

    /// Forgets all times.
    pub fn forget(&mut self) {
        *self = RouteTimes::default();
    }
}
