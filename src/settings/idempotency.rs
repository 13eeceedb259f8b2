//! Settings for callers' idempotency keys.

use serde::{Deserialize, Serialize};

use super::Checker;

/// Settings of the idempotency duty, which records the uses of callers' keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct IdempotencySettings {
    /// Capacity of the idempotency duty's ring, in claims.
    pub ring_count: usize,
    /// Time for which the use of a key is kept, in milliseconds.
    pub keep_ms: u64,
    /// Most uses of keys kept at one daemon.
    pub limit_count: usize,
    /// Bound on the difference between clocks plus the time in which a change of the fleet reaches
    /// every daemon, in milliseconds.
    pub margin_ms: u64,
}

impl Default for IdempotencySettings {
    fn default() -> Self {
        IdempotencySettings {
            ring_count: 1024,
            keep_ms: 600_000,
            limit_count: 100_000,
            margin_ms: 5_000,
        }
    }
}

impl IdempotencySettings {
    /// Checks every value against its bounds.
    pub fn check(&self, checker: &mut Checker<'_>) {
        checker.range("ring_count", self.ring_count, 1..=65_536);
        checker.range("keep_ms", self.keep_ms, 1_000..=86_400_000);
        checker.range("limit_count", self.limit_count, 1..=10_000_000);
        checker.range("margin_ms", self.margin_ms, 100..=600_000);
    }
}
