//! The trail of changes and decisions.

use serde::{Deserialize, Serialize};

use super::Checker;

/// The trail of changes and decisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AuditSettings {
    /// Newest decisions kept.
    pub decision_limit_count: usize,
    /// Newest changes of configuration kept.
    pub change_limit_count: usize,
    /// Decisions that may wait for the audit duty.
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
