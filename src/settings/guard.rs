//! The guard of the backend servers on this VM.
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Checker;

/// The guard of the backend servers on this VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GuardSettings {
    /// Address that other daemons reach for forwarded requests.
    pub address: SocketAddr,
    /// Address that the backend servers on this VM announce themselves at.
    pub announce_address: SocketAddr,
    /// Threads that call the backend servers.
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
        }
    }
}

impl GuardSettings {
    /// Checks every value against its bounds.
    pub fn check(&self, checker: &mut Checker<'_>) {
        let worker_count_holds = (1..=1024).contains(&self.worker_count);
        checker.require(
            worker_count_holds,
            "worker_count",
            self.worker_count,
            "must be from 1 to 1024",
        );
        let ring_count_holds = (1..=65536).contains(&self.ring_count);
        checker.require(
            ring_count_holds,
            "ring_count",
            self.ring_count,
            "must be from 1 to 65536",
        );
        let queue_count_holds = (0..=4096).contains(&self.queue_count);
        checker.require(
            queue_count_holds,
            "queue_count",
            self.queue_count,
            "must be from 0 to 4096",
        );
        let announcement_ttl_ms_holds = (100..=60000).contains(&self.announcement_ttl_ms);
        checker.require(
            announcement_ttl_ms_holds,
            "announcement_ttl_ms",
            self.announcement_ttl_ms,
            "must be from 100 to 60000",
        );
        let cold_limit_count_holds = (1..=1000).contains(&self.cold_limit_count);
        checker.require(
            cold_limit_count_holds,
            "cold_limit_count",
            self.cold_limit_count,
            "must be from 1 to 1000",
        );
        self.check_cold(checker);
        self.check_records(checker);
        let connect_timeout_ms_holds = (1..=60000).contains(&self.connect_timeout_ms);
        checker.require(
            connect_timeout_ms_holds,
            "connect_timeout_ms",
            self.connect_timeout_ms,
            "must be from 1 to 60000",
        );
    }
    fn check_cold(&self, checker: &mut Checker<'_>) {
        checker.require(
            (1..=60_000).contains(&self.cold_step_ms),
            "cold_step_ms",
            self.cold_step_ms,
            "must be from 1 to 60000",
        );
        checker.require(
            (100..=3_600_000).contains(&self.cold_patience_ms),
            "cold_patience_ms",
            self.cold_patience_ms,
            "must be from 100 to 3600000",
        );
    }

    fn check_records(&self, checker: &mut Checker<'_>) {
        checker.require(
            (1_000..=3_600_000).contains(&self.started_keep_ms),
            "started_keep_ms",
            self.started_keep_ms,
            "must be from 1000 to 3600000",
        );
        checker.require(
            (100..=10_000_000).contains(&self.started_limit_count),
            "started_limit_count",
            self.started_limit_count,
            "must be from 100 to 10000000",
        );
        checker.require(
            (1..=10).contains(&self.poison_death_count),
            "poison_death_count",
            self.poison_death_count,
            "must be from 1 to 10",
        );
        checker.require(
            (1_000..=86_400_000).contains(&self.poison_hold_ms),
            "poison_hold_ms",
            self.poison_hold_ms,
            "must be from 1000 to 86400000",
        );
        checker.require(
            (0..=60_000).contains(&self.quiet_ms),
            "quiet_ms",
            self.quiet_ms,
            "must be from 0 to 60000",
        );
        checker.require(
            (100..=600_000).contains(&self.death_window_ms),
            "death_window_ms",
            self.death_window_ms,
            "must be from 100 to 600000",
        );
    }
}
