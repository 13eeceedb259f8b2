//! Settings of the audit trail.

use serde::{Deserialize, Serialize};

use super::Checker;

/// Limits of the audit trail that a daemon keeps in memory.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AuditSettings {
    /// Most decisions kept; older ones are dropped first.
    pub decision_limit_count: usize,
    /// Most changes of configuration kept; older ones are dropped first.
    pub change_limit_count: usize,
    /// Capacity of the audit duty's ring, in decisions.
    pub ring_count: usize,
}

impl Default for AuditSettings {
    fn default() -> Self {
        AuditSettings {
            decision_limit_count: 4_096,
            change_limit_count: 4_096,
            ring_count: 4_096,
        }
    }
}

impl AuditSettings {
    /// Checks every value against its bounds.
    pub fn check(&self, checker: &mut Checker<'_>) {
        let limits = [
            ("decision_limit_count", self.decision_limit_count),
            ("change_limit_count", self.change_limit_count),
            ("ring_count", self.ring_count),
        ];
        for (field, count) in limits {
            let holds = (1..=65_536).contains(&count);
            checker.require(holds, field, count, "must be from 1 to 65536");
        }
    }
}
