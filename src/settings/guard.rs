//! The guard of the backend servers on this VM.
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Checker;
use crate::types::ServiceId;

/// The guard of the backend servers on this VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GuardSettings {
    /// Address that other daemons reach for forwarded requests.
    pub address: SocketAddr,
    /// Address that the backend servers on this VM announce themselves at.
    pub announce_address: SocketAddr,
    /// Calls to the backend servers at a time.
    pub worker_count: usize,
    /// Requests that may wait between two duties.
    pub ring_count: usize,
    /// Requests that may wait for a slot of one backend server.
    pub queue_count: usize,
    /// A backend server that does not renew its announcement gets no new work after this time.
    pub announcement_ttl_ms: u64,
    /// Requests that a cold backend server runs at a time to begin with.
    pub cold_limit_count: u32,
    /// Shortest time between two growths of that number.
    pub cold_step_ms: u64,
    /// After this time a level latency above a cold server's former one is taken for its new one.
    pub cold_patience_ms: u64,
    /// Ended requests are remembered for this time, so that none starts twice.
    pub started_keep_ms: u64,
    /// Ended requests that are remembered at most.
    pub started_limit_count: usize,
    /// Deaths of backend servers after which the request that ran is refused.
    pub poison_death_count: u32,
    /// How long it is refused.
    pub poison_hold_ms: u64,
    /// A broken call counts as a death if its server leaves within this time.
    pub death_window_ms: u64,
    /// A stopping daemon ends once no request has come for this time.
    pub quiet_ms: u64,
    /// Longest wait for a connection to a backend server.
    pub connect_timeout_ms: u64,
    /// Address of the only backend server on this VM; announcements of others do not count. None
    /// where any may announce themselves.
    pub server_address: Option<SocketAddr>,
    /// Service of the backend servers on this VM; announcements of others do not count. Empty for
    /// any service.
    pub server_service: ServiceId,
    /// Whether a server that is new to this life of the daemon gets work only after its health or
    /// a second announcement has proven that it is there.
    pub inquire: bool,
    /// Whether a server that said it leaves does so for the rest of its life, whatever it announces
    /// later.
    pub departures_final: bool,
    /// Open time of the breaker after a server's first failure, in milliseconds; 0 switches the
    /// breaker off.
    pub breaker_open_ms: u64,
    /// Starts a second that a server may get, relative to its service's `cold_rate_per_s`, since
    /// any server may turn cold unannounced; 0 sets no such limit.
    pub cold_rate_factor: f64,
    /// Starts a second beyond that.
    pub cold_rate_slack_count: u32,
    /// Time over which guards count the attempts that their servers get after the first of a
    /// request, in milliseconds; 0 leaves retries to the budget of each entry.
    pub retry_window_ms: u64,
    /// Share of first attempts that may be repeated within that time.
    pub retry_share: f64,
    /// Repeats within that time beyond the share, at all guards of a service together.
    pub retry_reserve_count: u32,
    /// Kept connections to servers are used again after at most this long, in milliseconds.
    pub reuse_idle_ms: u64,
    /// The same for requests that may not run twice, in milliseconds.
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
            started_keep_ms: 600_000,
            started_limit_count: 200_000,
            poison_death_count: 2,
            poison_hold_ms: 600_000,
            death_window_ms: 5_000,
            quiet_ms: 500,
            connect_timeout_ms: 1_000,
            server_address: None,
            server_service: "".into(),
            inquire: false,
            departures_final: false,
            breaker_open_ms: 0,
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
        checker.range("cold_rate_factor", self.cold_rate_factor, 0.0..=1000.0);
        checker.range("retry_window_ms", self.retry_window_ms, 0..=600_000);
        checker.range("retry_share", self.retry_share, 0.0..=1.0);
        checker.range("reuse_idle_ms", self.reuse_idle_ms, 0..=600_000);
        checker.range("reuse_idle_once_ms", self.reuse_idle_once_ms, 0..=600_000);
    }

    fn check_cold(&self, checker: &mut Checker<'_>) {
        checker.range("cold_step_ms", self.cold_step_ms, 1..=60_000);
        checker.range("cold_patience_ms", self.cold_patience_ms, 100..=3_600_000);
    }

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
