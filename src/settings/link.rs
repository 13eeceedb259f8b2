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
    /// Longest message of a peer. Own messages stay under half of it.
    pub message_limit_bytes: usize,
    /// Longest wait for a connection and its proof.
    pub connect_timeout_ms: u64,
    /// A call without an answer for this long sends a heartbeat.
    pub heartbeat_ms: u64,
    /// A heartbeat without an answer for this long marks the connection as silent.
    pub silent_after_ms: u64,
    /// An unused connection sends a heartbeat this often.
    pub keepalive_ms: u64,
    /// A connection without calls for this long is closed.
    pub idle_close_ms: u64,
    /// First wait before a suspect peer is dialled again; doubles up to `retry_limit_ms`.
    pub retry_ms: u64,
    /// Longest wait before a suspect peer is dialled again.
    pub retry_limit_ms: u64,
    /// Most accepted connections.
    pub accepted_limit_count: usize,
    /// Most peers with a connection from this daemon.
    pub dialled_limit_count: usize,
    /// Most calls in flight for each peer, in each direction.
    pub calls_limit_count: usize,
}

impl Default for LinkSettings {
    fn default() -> Self {
        LinkSettings {
            address: "127.0.0.1:8083".parse().expect("a literal address"),
            ring_count: 1024,
            call_timeout_ms: 1_000,
            message_limit_bytes: 1_048_576,
            connect_timeout_ms: 500,
            heartbeat_ms: 250,
            silent_after_ms: 500,
            keepalive_ms: 10_000,
            idle_close_ms: 60_000,
            retry_ms: 200,
            retry_limit_ms: 5_000,
            accepted_limit_count: 512,
            dialled_limit_count: 256,
            calls_limit_count: 64,
        }
    }
}

impl LinkSettings {
    /// Checks every value against its bounds.
    pub fn check(&self, checker: &mut Checker<'_>) {
        let counts = [
            ("ring_count", self.ring_count),
            ("accepted_limit_count", self.accepted_limit_count),
            ("dialled_limit_count", self.dialled_limit_count),
            ("calls_limit_count", self.calls_limit_count),
        ];
        for (field, value) in counts {
            let holds = (1..=65_536).contains(&value);
            checker.require(holds, field, value, "must be from 1 to 65536");
        }
        let times_ms = [
            ("call_timeout_ms", self.call_timeout_ms),
            ("connect_timeout_ms", self.connect_timeout_ms),
            ("heartbeat_ms", self.heartbeat_ms),
            ("silent_after_ms", self.silent_after_ms),
            ("retry_ms", self.retry_ms),
            ("retry_limit_ms", self.retry_limit_ms),
        ];
        for (field, value) in times_ms {
            let holds = (10..=60_000).contains(&value);
            checker.require(holds, field, value, "must be from 10 to 60000");
        }
        let rest_ms = [
            ("keepalive_ms", self.keepalive_ms),
            ("idle_close_ms", self.idle_close_ms),
        ];
        for (field, value) in rest_ms {
            let holds = (100..=3_600_000).contains(&value);
            checker.require(holds, field, value, "must be from 100 to 3600000");
        }
        checker.range(
            "message_limit_bytes",
            self.message_limit_bytes,
            4_096..=67_108_864,
        );
    }
}
