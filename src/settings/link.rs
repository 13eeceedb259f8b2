//! Control connections between daemons.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Checker;

/// Control connections between daemons.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkSettings {
    /// Address that other daemons reach for control.
    pub address: SocketAddr,
    /// Calls that may wait for the link duty.
    pub ring_count: usize,
    /// Longest wait for a peer's answer, in milliseconds.
    pub call_timeout_ms: u64,
    /// Longest message of a peer.
    pub message_limit_bytes: usize,
}

impl Default for LinkSettings {
    fn default() -> Self {
        LinkSettings {
            address: "127.0.0.1:8083".parse().expect("a literal address"),
            ring_count: 1024,
            call_timeout_ms: 1_000,
            message_limit_bytes: 1_048_576,
        }
    }
}

impl LinkSettings {
    /// Checks every value against its bounds.
    pub fn check(&self, checker: &mut Checker<'_>) {
        let ring_holds = (1..=65536).contains(&self.ring_count);
        checker.require(
            ring_holds,
            "ring_count",
            self.ring_count,
            "must be from 1 to 65536",
        );
        let timeout_holds = (10..=60_000).contains(&self.call_timeout_ms);
        checker.require(
            timeout_holds,
            "call_timeout_ms",
            self.call_timeout_ms,
            "must be from 10 to 60000",
        );
        let message_holds = (4_096..=67_108_864).contains(&self.message_limit_bytes);
        checker.require(
            message_holds,
            "message_limit_bytes",
            self.message_limit_bytes,
            "must be from 4096 to 67108864",
        );
    }
}
