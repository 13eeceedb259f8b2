//! Settings of the log that this process writes to standard output.

use serde::{Deserialize, Serialize};

use super::Checker;

/// Settings of the process's own log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least severe level that is written: error, warn, info, debug or trace.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings {
            level: "info".to_owned(),
        }
    }
}

impl LogSettings {
    /// Checks every value against its bounds.
    pub fn check(&self, checker: &mut Checker<'_>) {
        checker.require(
            self.level().is_some(),
            "level",
            format!("{:?}", self.level),
            "must be error, warn, info, debug or trace",
        );
    }

    /// Returns the level as a filter of the `log` crate; none for an unknown name.
    pub fn level(&self) -> Option<log::LevelFilter> {
        self.level.parse().ok()
    }
}
