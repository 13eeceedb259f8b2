//! Settings for control connections between daemons.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Checker;

/// Settings of the link duty: timeouts, heartbeats and limits of its connections.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkSettings {
    /// Address on which other daemons open control connections.
    pub address: SocketAddr,
    /// Capacity of the link duty's ring, in calls.
    pub ring_count: usize,
    /// Longest wait for a peer's answer, in milliseconds.
    pub call_timeout_ms: u64,
    /// Longest message accepted from a peer, in bytes. Own messages are at most half as long.
    pub message_limit_bytes: usize,
    /// Longest wait for a connection and for the peer's proof, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time without received bytes during a call after which a heartbeat is sent, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time without an answer to a heartbeat after which the connection is taken as silent, in
    /// milliseconds.
    pub silent_after_ms: u64,
    /// Time between two heartbeats on an idle connection, in milliseconds.
    pub keepalive_ms: u64,
    /// Time without calls after which a connection is closed, in milliseconds.
    pub idle_close_ms: u64,
    /// First wait before a suspect peer is dialled again, in milliseconds; doubles up to
    /// `retry_limit_ms`.
    pub retry_ms: u64,
    /// Longest wait before a suspect peer is dialled again, in milliseconds.
    pub retry_limit_ms: u64,
    /// Most connections accepted from peers at a time.
    pub accepted_limit_count: usize,
    /// Most peers to which this daemon keeps a connection.
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
