//! Who this daemon is and where it runs.
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Checker;
use crate::membership::bounds::NAME_LIMIT_BYTES;
use crate::types::{DaemonId, DomainId, ServiceId};

/// Who this daemon is and where it runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of this daemon, unique in the fleet and stable over restarts.
    pub daemon: DaemonId,
    /// Failure domain of this VM.
    pub domain: DomainId,
    /// Service of the backend server on this VM, in whose name its requests are sent; empty to go
    /// by the first server that announces itself.
    pub service: ServiceId,
    /// Secret that every daemon of the fleet shares; at least 16 characters. Never sent.
    pub fleet_secret: String,
    /// Longest graceful shutdown, in milliseconds.
    pub stop_grace_ms: u64,
    /// The platform kills a daemon this long after it asked it to stop, in milliseconds; 0 for
    /// never. The shutdown ends before that.
    pub kill_after_ms: u64,
    /// For how long a daemon that stops still takes requests, while callers and other daemons turn
    /// away from it, in milliseconds.
    pub linger_ms: u64,
}

impl Default for DaemonSettings {
    fn default() -> Self {
        DaemonSettings {
            daemon: "daemon-1".into(),
            domain: "domain-1".into(),
            service: "".into(),
            fleet_secret: "change-me-change-me-change-me-32".to_owned(),
            stop_grace_ms: 30_000,
            kill_after_ms: 0,
            linger_ms: 0,
        }
    }
}

impl DaemonSettings {
    /// Longest graceful shutdown; the last part of the platform's patience is left for the end.
    pub fn stop_limit(&self) -> Duration {
        let grace = Duration::from_millis(self.stop_grace_ms);
        match self.kill_after_ms {
            0 => grace,
            kill_after_ms => {
                let kill_after = Duration::from_millis(kill_after_ms);
                grace.min(kill_after - kill_after / END_DIVISOR)
            }
        }
    }

    /// Checks every value against its bounds.
    pub fn check(&self, checker: &mut Checker<'_>) {
        checker.require(
            (1..=NAME_LIMIT_BYTES).contains(&self.daemon.len()),
            "daemon",
            format!("{:?}", self.daemon),
            "must have 1 to 255 bytes",
        );
        checker.require(
            (1..=NAME_LIMIT_BYTES).contains(&self.domain.len()),
            "domain",
            format!("{:?}", self.domain),
            "must have 1 to 255 bytes",
        );
        let secret_holds = self.fleet_secret.len() >= SECRET_MIN_BYTES;
        checker.require(
            secret_holds,
            "fleet_secret",
            "(hidden)",
            "must have at least 16 characters",
        );
        checker.range("stop_grace_ms", self.stop_grace_ms, 0..=600000);
        checker.range("kill_after_ms", self.kill_after_ms, 0..=1_000_000_000);
        checker.range("linger_ms", self.linger_ms, 0..=600_000);
    }
}

/// The part of the time before a process is killed in which it ends.
const END_DIVISOR: u32 = 6;

const SECRET_MIN_BYTES: usize = 16;
