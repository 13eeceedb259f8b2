//! Settings for the rate and burst of organisations, enforced by leases.

use serde::{Deserialize, Serialize};

use super::Checker;

/// Settings of the allowance duty, which borrows tokens of an organisation from the daemons that
/// hold them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AllowanceSettings {
    /// Capacity of the allowance duty's ring, in requests.
    pub ring_count: usize,
    /// Longest wait of a request for a borrowed token, in milliseconds.
    pub borrow_wait_ms: u64,
    /// Most requests of one organisation that wait for tokens at one daemon.
    pub waiting_limit_count: usize,
    /// Length of the demand that one borrowing covers, in milliseconds.
    pub batch_ms: u64,
    /// Wait for a holder's answer before the next holder is asked, in milliseconds.
    pub patience_ms: u64,
    /// Wait before partitions that no daemon has held are claimed, in milliseconds.
    pub claim_wait_ms: u64,
}

impl Default for AllowanceSettings {
    fn default() -> Self {
        AllowanceSettings {
            ring_count: 1024,
            borrow_wait_ms: 100,
            waiting_limit_count: 256,
            batch_ms: 100,
            patience_ms: 30,
            claim_wait_ms: 500,
        }
    }
}

impl AllowanceSettings {
    /// Checks every value against its bounds.
    pub fn check(&self, checker: &mut Checker<'_>) {
        checker.range("ring_count", self.ring_count, 1..=65536);
        checker.range("waiting_limit_count", self.waiting_limit_count, 1..=65536);
        let mut time = |field, value_ms| {
            let holds = (1..=10_000).contains(&value_ms);
            checker.require(holds, field, value_ms, "must be from 1 to 10000");
        };
        time("borrow_wait_ms", self.borrow_wait_ms);
        time("batch_ms", self.batch_ms);
        time("patience_ms", self.patience_ms);
        time("claim_wait_ms", self.claim_wait_ms);
    }
}
