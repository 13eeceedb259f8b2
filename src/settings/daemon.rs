//! Settings that identify a daemon and bound its shutdown.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Checker;
use crate::membership::bounds::NAME_LIMIT_BYTES;
use crate::types::{DaemonId, DomainId, ServiceId};

/// Identity of this daemon, the secret of its fleet and its shutdown times.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of this daemon, unique in the fleet and stable over restarts; 1 to 255 bytes.
    pub daemon: DaemonId,
    /// Failure domain of this VM; 1 to 255 bytes.
    pub domain: DomainId,
    /// Service of the backend server on this VM, sent as the origin of its requests. Empty takes
    /// the service of the first server that announces itself.
    pub service: ServiceId,
    /// Secret that every daemon of the fleet shares; at least 16 characters. It is never sent.
    pub fleet_secret: String,
    /// Longest graceful shutdown, in milliseconds.
    pub stop_grace_ms: u64,
    /// Time from the platform's request to stop until it kills the daemon, in milliseconds; 0 for
    /// never. The graceful shutdown ends before that.
    pub kill_after_ms: u64,
    /// Time for which a stopping daemon still takes requests while callers and other daemons learn
    /// that it leaves, in milliseconds. At most half of the shutdown is used.
    pub linger_ms: u64,
    /// Memory that the process may use, in bytes. The budgets are shares of it.
    pub memory_limit_bytes: u64,
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
            memory_limit_bytes: 268_435_456,
        }
    }
}

impl DaemonSettings {
    /// Returns the longest graceful shutdown. Where the platform kills the daemon, the last sixth
    /// of that time is left for ending the process.
    pub fn stop_limit(&self) -> Duration {
        let grace = Duration::from_millis(self.stop_grace_ms);
        match self.kill_after_ms {
            0 => grace,
            kill_after_ms => {
                let kill_after = Duration::from_millis(kill_after_ms);
                grace.min(kill_after - kill_after / STOP_RESERVE_DIVISOR)
            }
        }
    }

    /// Returns the number of bytes in a share of the memory that the process may use.
    pub fn memory_share_bytes(&self, share: f64) -> usize {
        (self.memory_limit_bytes as f64 * share) as usize
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
        let is_long_enough = self.fleet_secret.len() >= SECRET_MIN_BYTES;
        checker.require(
            is_long_enough,
            "fleet_secret",
            "(hidden)",
            "must have at least 16 characters",
        );
        checker.range("stop_grace_ms", self.stop_grace_ms, 0..=600000);
        checker.range("kill_after_ms", self.kill_after_ms, 0..=1_000_000_000);
        checker.range("linger_ms", self.linger_ms, 0..=600_000);
        checker.range(
            "memory_limit_bytes",
            self.memory_limit_bytes,
            16_777_216..=1_099_511_627_776,
        );
    }
}

/// Divisor of `kill_after_ms` whose quotient is the time kept for ending the process.
const STOP_RESERVE_DIVISOR: u32 = 6;

/// Shortest fleet secret that passes the check.
const SECRET_MIN_BYTES: usize = 16;
