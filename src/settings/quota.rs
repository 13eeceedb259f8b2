//! Tokens of organisations where one daemon counts them.
use serde::{Deserialize, Serialize};

use super::Checker;

/// Tokens of organisations where one daemon counts them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuotaSettings {
    /// Answers of homes that may wait for the duty.
    pub ring_count: usize,
    /// How long an entry may use tokens that it borrowed, in milliseconds.
    pub loan_ms: u64,
    /// Part of its even share of a rate that a daemon gives out while it does not reach the home.
    pub fallback_share: f64,
    /// For how long a request waits for a home that does not answer, in milliseconds.
    pub home_patience_ms: u64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        QuotaSettings {
            ring_count: 1024,
            loan_ms: 300,
            fallback_share: 0.5,
            home_patience_ms: 700,
        }
    }
}

impl QuotaSettings {
    /// Checks every value against its bounds.
    pub fn check(&self, checker: &mut Checker<'_>) {
        checker.range("ring_count", self.ring_count, 1..=65_536);
        checker.range("loan_ms", self.loan_ms, 10..=60_000);
        checker.range("home_patience_ms", self.home_patience_ms, 0..=60_000);
        checker.range("fallback_share", self.fallback_share, 0.0..=1.0);
    }
}
