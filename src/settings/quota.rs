//! Settings for rate and burst where one daemon, the home, counts the tokens of an organisation.

use serde::{Deserialize, Serialize};

use super::Checker;

/// Settings of the quota duty, which borrows the tokens of an organisation from its home.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuotaSettings {
    /// Capacity of the quota duty's ring, in answers of homes.
    pub ring_count: usize,
    /// Time for which an entry may use borrowed tokens, in milliseconds.
    pub loan_ms: u64,
    /// Share of its even part of a rate that a daemon grants while it does not reach the home; 0 to
    /// 1.
    pub fallback_share: f64,
    /// Time for which a request waits for a home that does not answer, in milliseconds.
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
