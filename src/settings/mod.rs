//! The settings of one daemon: JSON, typed and checked. One file a duty.

pub mod allowance;
pub mod audit;
pub mod daemon;
pub mod feed;
pub mod front;
pub mod guard;
pub mod health;
pub mod idempotency;
pub mod journal;
pub mod link;
pub mod log;
pub mod membership;
pub mod metrics;
pub mod operator;
pub mod quota;
pub mod ready;
pub mod routing;

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// All settings of a daemon.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Who this daemon is and where it runs.
    pub daemon: daemon::DaemonSettings,
    /// Callers' HTTP.
    pub front: front::FrontSettings,
    /// The guard of the backend servers on this VM.
    pub guard: guard::GuardSettings,
    /// The platform's log.
    pub journal: journal::JournalSettings,
    /// Rate and burst of organisations.
    pub allowance: allowance::AllowanceSettings,
    /// The same where one daemon counts the tokens of an organisation.
    pub quota: quota::QuotaSettings,
    /// Configuration and members where the platform keeps the newest record of each key.
    pub feed: feed::FeedSettings,
    /// Readiness and metrics.
    pub ready: ready::ReadySettings,
    /// Daemons and the servers beside them.
    pub membership: membership::MembershipSettings,
    /// Callers' idempotency keys.
    pub idempotency: idempotency::IdempotencySettings,
    /// Control connections between daemons.
    pub link: link::LinkSettings,
    /// Detection and ejection of failing backend servers.
    pub health: health::HealthSettings,
    /// The operators' HTTP API.
    pub operator: operator::OperatorSettings,
    /// The trail of changes and decisions.
    pub audit: audit::AuditSettings,
    /// Choice of server and retries.
    pub routing: routing::RoutingSettings,
    /// Counters and timings.
    pub metrics: metrics::MetricsSettings,
    /// The log of this process.
    pub log: log::LogSettings,
}

/// One wrong setting.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("setting {field}: {value} {problem}")]
pub struct SettingsError {
    /// Dotted path of the field.
    pub field: String,
    /// The value found.
    pub value: String,
    /// What is wrong with it.
    pub problem: String,
}

/// Why settings could not be taken.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The file can't be read.
    #[error("settings file {path:?}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The text is not JSON of the right types.
    #[error("settings file {path:?}, line {line}, column {column}: {problem}")]
    Parse {
        /// Path of the file.
        path: String,
        /// Line, counted from 1.
        line: usize,
        /// Column, counted from 1.
        column: usize,
        /// What is wrong, with field and value.
        problem: String,
    },
    /// Values that can't be.
    #[error("{}", join(.0))]
    Values(Vec<SettingsError>),
}

fn join(errors: &[SettingsError]) -> String {
    let lines: Vec<String> = errors.iter().map(SettingsError::to_string).collect();
    lines.join("\n")
}

/// Collects the wrong settings of one section.
pub struct Checker<'a> {
    section: &'static str,
    errors: &'a mut Vec<SettingsError>,
}

impl Checker<'_> {
    /// Notes that `field` with `value` is out of its bounds.
    pub fn range<T>(&mut self, field: &str, value: T, bounds: RangeInclusive<T>)
    where
        T: PartialOrd + fmt::Display,
    {
        let problem = format!("must be from {} to {}", bounds.start(), bounds.end());
        self.require(bounds.contains(&value), field, value, &problem);
    }

    /// Notes that `field` with `value` does not hold what it must.
    pub fn require(&mut self, holds: bool, field: &str, value: impl fmt::Display, problem: &str) {
        if holds {
            return;
        }
        self.errors.push(SettingsError {
            field: format!("{}.{field}", self.section),
            value: value.to_string(),
            problem: problem.to_owned(),
        });
    }
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Settings, LoadError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| LoadError::Read {
            path: shown.clone(),
            source,
        })?;
        let settings: Settings = serde_json::from_str(&text).map_err(|error| LoadError::Parse {
            path: shown,
            line: error.line(),
            column: error.column(),
            problem: error.to_string(),
        })?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks every value against its bounds.
    pub fn check(&self) -> Result<(), LoadError> {
        let mut errors = Vec::new();
        self.daemon.check(&mut Checker {
            section: "daemon",
            errors: &mut errors,
        });
        self.front.check(&mut Checker {
            section: "front",
            errors: &mut errors,
        });
        self.guard.check(&mut Checker {
            section: "guard",
            errors: &mut errors,
        });
        self.journal.check(&mut Checker {
            section: "journal",
            errors: &mut errors,
        });
        self.allowance.check(&mut Checker {
            section: "allowance",
            errors: &mut errors,
        });
        self.quota.check(&mut Checker {
            section: "quota",
            errors: &mut errors,
        });
        self.feed.check(&mut Checker {
            section: "feed",
            errors: &mut errors,
        });
        self.membership.check(&mut Checker {
            section: "membership",
            errors: &mut errors,
        });
        self.idempotency.check(&mut Checker {
            section: "idempotency",
            errors: &mut errors,
        });
        self.link.check(&mut Checker {
            section: "link",
            errors: &mut errors,
        });
        self.health.check(&mut Checker {
            section: "health",
            errors: &mut errors,
        });
        self.operator.check(&mut Checker {
            section: "operator",
            errors: &mut errors,
        });
        self.audit.check(&mut Checker {
            section: "audit",
            errors: &mut errors,
        });
        self.routing.check(&mut Checker {
            section: "routing",
            errors: &mut errors,
        });
        self.log.check(&mut Checker {
            section: "log",
            errors: &mut errors,
        });
        self.check_secret(&mut errors);
        if errors.is_empty() {
            return Ok(());
        }
        Err(LoadError::Values(errors))
    }
}

impl Settings {
    /// The secret that stands in the defaults is for one machine only.
    fn check_secret(&self, errors: &mut Vec<SettingsError>) {
        let open = |address: &SocketAddr| !address.ip().is_loopback();
        let reachable = open(&self.guard.address) || open(&self.link.address);
        let known = self.daemon.fleet_secret == daemon::DaemonSettings::default().fleet_secret;
        if !(reachable && known) {
            return;
        }
        errors.push(SettingsError {
            field: "daemon.fleet_secret".to_owned(),
            value: "(the default)".to_owned(),
            problem: "must be changed where other machines reach this daemon".to_owned(),
        });
    }
}

#[cfg(test)]
mod tests;
