//! Settings of roll-outs of new versions of backend servers.

use serde::{Deserialize, Serialize};

use super::Checker;

/// Settings of the roll-out duty, which moves a service to another version of its software.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RolloutSettings {
    /// Capacity of the roll-out duty's ring, in events.
    pub ring_count: usize,
    /// Longest time from the evidence that a version is bad until it gets no requests, in
    /// milliseconds.
    pub rollback_ms: u64,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        RolloutSettings {
            ring_count: 1024,
            rollback_ms: 5_000,
        }
    }
}

impl RolloutSettings {
    /// Checks every value against its bounds.
    pub fn check(&self, checker: &mut Checker<'_>) {
        checker.range("ring_count", self.ring_count, 1..=65_536);
        checker.range("rollback_ms", self.rollback_ms, 100..=600_000);
    }
}
