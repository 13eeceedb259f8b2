//! Detector with fixed thresholds over the newest requests, which the sequential test is compared
//! with in measurements.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::baseline::Expected;
use super::detector::{Alarm, Detector};
use super::window::Observation;
use crate::settings::health::HealthSettings;

/// Number of newest requests that are evaluated.
const WINDOW_COUNT: usize = 50;

/// Fewest requests that can raise an alarm.
const MIN_COUNT: usize = 20;

/// Detector with fixed thresholds on the shares of failed and of slow requests.
pub struct FixedThresholds {
    /// Share of failed requests that raises an alarm.
    failed_share: f64,
    /// Share of slow requests that raises an alarm.
    slow_share: f64,
    /// Time above which a request is slow.
    slow_after: Duration,
    /// Whether each request failed, and whether it was slow; newest last.
    newest: VecDeque<(bool, bool)>,
}

impl FixedThresholds {
    /// Creates a detector with the thresholds of the settings.
    pub fn new(settings: &HealthSettings) -> FixedThresholds {
        FixedThresholds {
            failed_share: settings.fixed_failed_share,
            slow_share: settings.fixed_slow_share,
            slow_after: Duration::from_millis(settings.fixed_slow_ms),
            newest: VecDeque::new(),
        }
    }

    /// Returns the share of the newest requests that match.
    fn share(&self, met: impl Fn(&(bool, bool)) -> bool) -> f64 {
        let count = self.newest.iter().filter(|one| met(one)).count();
        count as f64 / self.newest.len().max(1) as f64
    }
}

impl Detector for FixedThresholds {
    fn observe(&mut self, observation: &Observation, _expected: &Expected) {
        let slow = observation.elapsed > self.slow_after;
        self.newest.push_back((observation.failed, slow));
        if self.newest.len() > WINDOW_COUNT {
            self.newest.pop_front();
        }
    }

    fn alarm(&self, _now: Instant, scale: f64) -> Option<Alarm> {
        let failed = self.share(|one| one.0);
        let slow = self.share(|one| one.1);
        let over = failed >= self.failed_share * scale || slow >= self.slow_share * scale;
        if self.newest.len() < MIN_COUNT || !over {
            return None;
        }
        Some(Alarm {
            rule: "health.fixed_thresholds",
            evidence: vec![
                ("failed_share", format!("{failed:.2}")),
                ("slow_share", format!("{slow:.2}")),
                ("seen_count", self.newest.len().to_string()),
            ],
        })
    }

    fn confirm(&self, _fresh: &Expected) -> bool {
        true
    }

    fn forget_times(&mut self) {}

    fn reset(&mut self) {
        self.newest.clear();
    }
}
