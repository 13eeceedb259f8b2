//! Rate and burst of organisations.
use serde::{Deserialize, Serialize};

use super::Checker;

/// Rate and burst of organisations.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AllowanceSettings {
    /// Requests that may wait for the allowance duty.
    pub ring_count: usize,
}

impl Default for AllowanceSettings {
    fn default() -> Self {
        AllowanceSettings { ring_count: 1024 }
    }
}

impl AllowanceSettings {
    /// Checks every value against its bounds.
    pub fn check(&self, checker: &mut Checker<'_>) {
        let ring_count_holds = (1..=65536).contains(&self.ring_count);
        checker.require(
            ring_count_holds,
            "ring_count",
            self.ring_count,
            "must be from 1 to 65536",
        );
    }
}
