//! The platform's log.
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Checker;

/// The platform's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JournalSettings {
    /// Address of the platform's log.
    pub address: SocketAddr,
    /// Longest wait of one read for a new record, in milliseconds.
    pub wait_ms: u64,
    /// Longest wait for an answer beyond the read's own wait, in milliseconds.
    pub timeout_ms: u64,
    /// Wait after a failed read, in milliseconds.
    pub retry_ms: u64,
    /// Most records of one read.
    pub batch_count: usize,
}

impl Default for JournalSettings {
    fn default() -> Self {
        JournalSettings {
            address: "127.0.0.1:8090".parse().expect("a literal address"),
            wait_ms: 1_000,
            timeout_ms: 2_000,
            retry_ms: 250,
            batch_count: 512,
        }
    }
}

impl JournalSettings {
    /// Checks every value against its bounds.
    pub fn check(&self, checker: &mut Checker<'_>) {
        let wait_ms_holds = (10..=60000).contains(&self.wait_ms);
        checker.require(
            wait_ms_holds,
            "wait_ms",
            self.wait_ms,
            "must be from 10 to 60000",
        );
        let timeout_ms_holds = (10..=60000).contains(&self.timeout_ms);
        checker.require(
            timeout_ms_holds,
            "timeout_ms",
            self.timeout_ms,
            "must be from 10 to 60000",
        );
        let retry_ms_holds = (10..=60000).contains(&self.retry_ms);
        checker.require(
            retry_ms_holds,
            "retry_ms",
            self.retry_ms,
            "must be from 10 to 60000",
        );
        let batch_count_holds = (1..=10000).contains(&self.batch_count);
        checker.require(
            batch_count_holds,
            "batch_count",
            self.batch_count,
            "must be from 1 to 10000",
        );
    }
}
