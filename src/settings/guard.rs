//! Settings of the guard of the backend servers on this VM.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Checker;
use crate::types::ServiceId;

/// Settings of the guard: its listeners, announcements, cold starts, deaths, retries and
/// connections.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GuardSettings {
    /// Address on which the guard takes requests forwarded by other daemons.
    pub address: SocketAddr,
    /// Address at which the backend servers on this VM announce themselves.
    pub announce_address: SocketAddr,
    /// Most calls to backend servers in flight.
    pub worker_count: usize,
    /// Capacity of the guard duty's ring, in requests.
    pub ring_count: usize,
    /// Most requests that wait for a slot of one backend server.
    pub queue_count: usize,
    /// Time after which a backend server that has not renewed its announcement gets no new
    /// requests, in milliseconds.
    pub announcement_ttl_ms: u64,
    /// Concurrent requests that a cold backend server starts with.
    pub cold_limit_count: u32,
    /// Shortest time between two increases of a cold server's concurrency, in milliseconds.
    pub cold_step_ms: u64,
    /// Time after which a steady latency above a cold server's earlier one is taken as its new
    /// reference, in milliseconds.
    pub cold_patience_ms: u64,
    /// Whether a server that does not announce that it is cold may be cold all the same, where the
    /// contract of its service names no cold rate: when it is first seen, after a restart, after
    /// failures, or when it turns slow.
    pub suspect_cold: bool,
    /// Time for which ended requests are remembered so that none starts twice, in milliseconds.
    pub started_keep_ms: u64,
    /// Most ended requests that are remembered.
    pub started_limit_count: usize,
    /// Number of deaths of backend servers after which a request that ran at each of them is
    /// refused.
    pub poison_death_count: u32,
    /// Time for which such a request is refused, in milliseconds.
    pub poison_hold_ms: u64,
    /// Time after a broken call within which the departure of its server is taken as a death, in
    /// milliseconds.
    pub death_window_ms: u64,
    /// Time without a new request after which a stopping guard on which nothing runs ends, in
    /// milliseconds.
    pub quiet_ms: u64,
    /// Longest wait for a connection to a backend server, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Address of the only backend server on this VM; announcements of other addresses are ignored.
    /// None accepts any address.
    pub server_address: Option<SocketAddr>,
    /// Service of the backend servers on this VM; announcements of other services are ignored.
    /// Empty accepts any service.
    pub server_service: ServiceId,
    /// Whether only a server is accepted whose address and service the settings name. If either is
    /// missing then, there is no server on this VM, and every announcement is ignored.
    pub only_named_server: bool,
    /// Whether a server that is new to this run of the daemon gets requests only after an answer of
    /// its health path has confirmed it, or a second announcement that can't be from before the start
    /// of the daemon.
    pub inquire: bool,
    /// Whether a server that announced its departure is taken as leaving until it restarts,
    /// whatever it announces later.
    pub departures_final: bool,
    /// Time for which the circuit breaker opens after a server's first failure, in milliseconds; 0
    /// disables the breaker.
    pub breaker_open_ms: u64,
    /// Broken calls among the latest calls of a server that open the breaker while the server still
    /// takes connections; 1 opens it with the first.
    pub breaker_reset_count: usize,
    /// Requests that may start per second at any server, relative to the `cold_rate_per_s` of its
    /// service, since a server may turn cold without announcing it; 0 sets no such limit.
    pub cold_rate_factor: f64,
    /// Requests that may start per second beyond that rate.
    pub cold_rate_slack_count: u32,
    /// Window over which guards count the repeats that their servers get, in milliseconds; 0 leaves
    /// retries to the budget of each entry.
    pub retry_window_ms: u64,
    /// Repeats granted for each first attempt within the window; 0 to 1.
    pub retry_share: f64,
    /// Repeats within the window beyond that share, at all guards of a service together.
    pub retry_reserve_count: u32,
    /// Longest idle time after which a connection to a server is used again for a repeatable
    /// request, in milliseconds.
    pub reuse_idle_ms: u64,
    /// Longest idle time after which a connection to a server is used again for a request that may
    /// not run twice, in milliseconds.
    pub reuse_idle_once_ms: u64,
}

impl Default for GuardSettings {
    fn default() -> Self {
        GuardSettings {
            address: "127.0.0.1:8081".parse().expect("a literal address"),
            announce_address: "127.0.0.1:8082".parse().expect("a literal address"),
            worker_count: 64,
            ring_count: 1024,
            queue_count: 32,
            announcement_ttl_ms: 1_800,
            cold_limit_count: 1,
            cold_step_ms: 250,
            cold_patience_ms: 10_000,
            suspect_cold: true,
            started_keep_ms: 600_000,
            started_limit_count: 200_000,
            poison_death_count: 2,
            poison_hold_ms: 600_000,
            death_window_ms: 5_000,
            quiet_ms: 500,
            connect_timeout_ms: 1_000,
            server_address: None,
            server_service: "".into(),
            only_named_server: false,
            inquire: false,
            departures_final: false,
            breaker_open_ms: 0,
            breaker_reset_count: 1,
            cold_rate_factor: 0.0,
            cold_rate_slack_count: 0,
            retry_window_ms: 0,
            retry_share: 0.2,
            retry_reserve_count: 0,
            reuse_idle_ms: 0,
            reuse_idle_once_ms: 0,
        }
    }
}

impl GuardSettings {
    /// Checks every value against its bounds.
    pub fn check(&self, checker: &mut Checker<'_>) {
        checker.range("worker_count", self.worker_count, 1..=1024);
        checker.range("ring_count", self.ring_count, 1..=65536);
        checker.range("queue_count", self.queue_count, 0..=4096);
        checker.range("announcement_ttl_ms", self.announcement_ttl_ms, 100..=60000);
        checker.range("cold_limit_count", self.cold_limit_count, 1..=1000);
        self.check_cold(checker);
        self.check_records(checker);
        checker.range("connect_timeout_ms", self.connect_timeout_ms, 1..=60000);
        checker.range("breaker_open_ms", self.breaker_open_ms, 0..=60_000);
        checker.range("breaker_reset_count", self.breaker_reset_count, 1..=6);
        checker.range("cold_rate_factor", self.cold_rate_factor, 0.0..=1000.0);
        checker.range("retry_window_ms", self.retry_window_ms, 0..=600_000);
        checker.range("retry_share", self.retry_share, 0.0..=1.0);
        checker.range("reuse_idle_ms", self.reuse_idle_ms, 0..=600_000);
        checker.range("reuse_idle_once_ms", self.reuse_idle_once_ms, 0..=600_000);
    }

    /// Checks the settings of cold servers.
    fn check_cold(&self, checker: &mut Checker<'_>) {
        checker.range("cold_step_ms", self.cold_step_ms, 1..=60_000);
        checker.range("cold_patience_ms", self.cold_patience_ms, 100..=3_600_000);
    }

    /// Checks the settings of remembered requests, deaths and the shutdown.
    fn check_records(&self, checker: &mut Checker<'_>) {
        checker.range("started_keep_ms", self.started_keep_ms, 1_000..=3_600_000);
        checker.range(
            "started_limit_count",
            self.started_limit_count,
            100..=10_000_000,
        );
        checker.range("poison_death_count", self.poison_death_count, 1..=10);
        checker.range("poison_hold_ms", self.poison_hold_ms, 1_000..=86_400_000);
        checker.range("quiet_ms", self.quiet_ms, 0..=60_000);
        checker.range("death_window_ms", self.death_window_ms, 100..=600_000);
    }
}
