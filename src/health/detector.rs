//! The border behind which ways of finding a failing server can be exchanged.

use std::time::Instant;

use super::baseline::Expected;
use super::fixed::FixedThresholds;
use super::sequential::SequentialTest;
use super::window::Observation;
use crate::settings::health::{DetectorName, HealthSettings};

/// What made a detector raise its alarm.
#[derive(Debug, Clone, PartialEq)]
pub struct Alarm {
    /// The rule.
    pub rule: &'static str,
    /// What the rule saw, as name and value.
    pub evidence: Vec<(&'static str, String)>,
}

/// Watches one series of requests: one route of one backend server, or all its routes.
pub trait Detector: Send {
    /// Takes one request and what a healthy server would meet.
    fn observe(&mut self, observation: &Observation, expected: &Expected);

    /// The alarm, while the evidence is strong enough. `scale` below 1 asks for less evidence.
    fn alarm(&self, now: Instant, scale: f64) -> Option<Alarm>;

    /// Whether the evidence holds against what the other servers meet at the same time.
    fn confirm(&self, fresh: &Expected) -> bool;

    /// Forgets evidence that rests on times: their marks moved.
    fn forget_times(&mut self);

    /// Forgets all evidence.
    fn reset(&mut self);
}

/// Makes the detector that the settings name.
pub fn make_detector(settings: &HealthSettings) -> Box<dyn Detector> {
    match settings.detector {
        DetectorName::Sequential => Box::new(SequentialTest::new(settings.evidence_limit)),
        DetectorName::Fixed => Box::new(FixedThresholds::new(settings)),
    }
}
