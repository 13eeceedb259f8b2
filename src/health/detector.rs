//! Interface of detectors, so that the method of detecting a failing server can be exchanged.

use std::time::Instant;

use super::baseline::Expected;
use super::fixed::FixedThresholds;
use super::sequential::SequentialTest;
use super::window::Observation;
use crate::settings::health::{DetectorName, HealthSettings};

/// An alarm of a detector: the rule that raised it, and its evidence.
#[derive(Debug, Clone, PartialEq)]
pub struct Alarm {
    /// Name of the rule that raised the alarm.
    pub rule: &'static str,
    /// Figures that the rule decided on, as name and value.
    pub evidence: Vec<(&'static str, String)>,
}

/// Evaluates one series of requests: those of one route of a backend server, or of all its routes.
pub trait Detector: Send {
    /// Takes one request, with the shares that are expected of a healthy server.
    fn observe(&mut self, observation: &Observation, expected: &Expected);

    /// Returns an alarm while the evidence is strong enough. `scale` below 1 requires less.
    fn alarm(&self, now: Instant, scale: f64) -> Option<Alarm>;

    /// Returns whether the evidence still holds against the recent shares of the other servers.
    fn confirm(&self, fresh: &Expected) -> bool;

    /// Drops evidence that is based on request times, after the time thresholds changed.
    fn forget_times(&mut self);

    /// Drops the evidence collected so far.
    fn reset(&mut self);
}

/// Creates the detector that the settings name.
pub fn make_detector(settings: &HealthSettings) -> Box<dyn Detector> {
    match settings.detector {
        DetectorName::Sequential => Box::new(SequentialTest::new(settings.evidence_limit)),
        DetectorName::Fixed => Box::new(FixedThresholds::new(settings)),
    }
}
