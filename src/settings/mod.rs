//! The settings of one daemon, read from JSON, typed and checked. Each module holds the settings of
//! one duty.

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
pub mod merge;
pub mod metrics;
pub mod operator;
pub mod quota;
pub mod ready;
pub mod rollout;
pub mod routing;

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// All settings of a daemon, one section for each duty. A section or field that the file leaves out
/// takes its default; an unknown field is an error.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name, failure domain, fleet secret and shutdown times of this daemon.
    pub daemon: daemon::DaemonSettings,
    /// The HTTP listener that takes callers' requests.
    pub front: front::FrontSettings,
    /// The guard, which admits requests to the backend servers on this VM.
    pub guard: guard::GuardSettings,
    /// The connection to the platform's log and the checkpoints of the configuration.
    pub journal: journal::JournalSettings,
    /// Enforcement of the rate and burst of each organisation by leases.
    pub allowance: allowance::AllowanceSettings,
    /// Enforcement of the rate and burst where one daemon, the home, counts the tokens of an
    /// organisation.
    pub quota: quota::QuotaSettings,
    /// Reading configuration and members from a platform that keeps only the newest record of each
    /// key.
    pub feed: feed::FeedSettings,
    /// The HTTP endpoints for readiness and metrics.
    pub ready: ready::ReadySettings,
    /// Gossip about the daemons of the fleet and the backend servers on their VMs.
    pub membership: membership::MembershipSettings,
    /// Records of callers' idempotency keys.
    pub idempotency: idempotency::IdempotencySettings,
    /// Control connections between daemons.
    pub link: link::LinkSettings,
    /// Detection and ejection of failing backend servers.
    pub health: health::HealthSettings,
    /// The operators' HTTP API.
    pub operator: operator::OperatorSettings,
    /// The audit trail of changes and decisions.
    pub audit: audit::AuditSettings,
    /// Choice of a backend server for each request, and retries.
    pub routing: routing::RoutingSettings,
    /// Roll-outs of new versions of backend servers.
    pub rollout: rollout::RolloutSettings,
    /// Export of counters and timings.
    pub metrics: metrics::MetricsSettings,
    /// The log that this process writes.
    pub log: log::LogSettings,
}

/// A setting whose value was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("setting {field}: {value} {problem}")]
pub struct SettingsError {
    /// Path of the field, with dots, such as `front.worker_count`.
    pub field: String,
    /// The rejected value as text; a placeholder for secrets.
    pub value: String,
    /// What the value must be instead.
    pub problem: String,
}

/// Why settings could not be loaded.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The file could not be read.
    #[error("settings file {path:?}: {source}")]
    Read {
        /// Path of the settings file.
        path: String,
        /// The I/O error that the read returned.
        source: std::io::Error,
    },
    /// The text is not JSON, or a field has the wrong name or type.
    #[error("settings file {path:?}, line {line}, column {column}: {problem}")]
    Parse {
        /// Path of the settings file.
        path: String,
        /// Line of the error, counted from 1.
        line: usize,
        /// Column of the error, counted from 1.
        column: usize,
        /// The parser's message, which names the field or value.
        problem: String,
    },
    /// Fields are well-formed but out of their bounds.
    #[error("{}", join(.0))]
    Values(Vec<SettingsError>),
}

/// Joins the errors into one text, one error a line.
fn join(errors: &[SettingsError]) -> String {
    let lines: Vec<String> = errors.iter().map(SettingsError::to_string).collect();
    lines.join("\n")
}

/// Collects the rejected settings of one section.
pub struct Checker<'a> {
    /// Name of the section, the first part of each field's path.
    section: &'static str,
    /// Errors of all sections so far.
    errors: &'a mut Vec<SettingsError>,
}

impl Checker<'_> {
    /// Records an error if `value` of `field` lies outside `bounds`.
    pub fn range<T>(&mut self, field: &str, value: T, bounds: RangeInclusive<T>)
    where
        T: PartialOrd + fmt::Display,
    {
        let problem = format!("must be from {} to {}", bounds.start(), bounds.end());
        self.require(bounds.contains(&value), field, value, &problem);
    }

    /// Records an error with this `problem` unless `holds` is true for `value` of `field`.
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
        let text = std::fs::read_to_string(path).map_err(|source| LoadError::Read {
            path: path.display().to_string(),
            source,
        })?;
        Settings::parse(path, &text)
    }

    /// Parses and checks the text of the settings file at `path`.
    pub fn parse(path: &Path, text: &str) -> Result<Settings, LoadError> {
        let settings: Settings = serde_json::from_str(text).map_err(|error| LoadError::Parse {
            path: path.display().to_string(),
            line: error.line(),
            column: error.column(),
            problem: error.to_string(),
        })?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks every value against its bounds and returns all errors together.
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
        self.rollout.check(&mut Checker {
            section: "rollout",
            errors: &mut errors,
        });
        self.log.check(&mut Checker {
            section: "log",
            errors: &mut errors,
        });
        self.check_fleet_secret(&mut errors);
        if errors.is_empty() {
            return Ok(());
        }
        Err(LoadError::Values(errors))
    }
}

impl Settings {
    /// Rejects the default secret, which is public, if the guard or the link listens on an address
    /// that other VMs reach.
    fn check_fleet_secret(&self, errors: &mut Vec<SettingsError>) {
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
