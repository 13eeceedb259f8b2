//! The log of this process, written to standard error.
use serde::{Deserialize, Serialize};

use super::Checker;

/// The log of this process, written to standard error.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Lowest level written: error, warn, info, debug or trace.
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

    /// The level as the `log` crate knows it.
    pub fn level(&self) -> Option<log::LevelFilter> {
        self.level.parse().ok()
    }
}
