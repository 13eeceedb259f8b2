//! Daemons and the servers beside them.
use serde::{Deserialize, Serialize};

use super::Checker;

/// Daemons and the servers beside them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// Events that may wait for the membership duty.
    pub ring_count: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings { ring_count: 1024 }
    }
}

impl MembershipSettings {
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
