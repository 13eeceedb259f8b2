//! Choice of server and retries.
use serde::{Deserialize, Serialize};

use super::Checker;

/// Choice of server and retries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSettings {
    /// Requests that may wait for the routing duty.
    pub ring_count: usize,
    /// Most attempts at one request.
    pub attempt_limit_count: u32,
    /// An entry waits for a guard's word this much longer than the deadline.
    pub answer_grace_ms: u64,
    /// Share of requests that may be retried, beyond a small reserve.
    pub retry_share: f64,
    /// Servers that are drawn for one choice.
    pub draw_count: usize,
    /// A server in another failure domain counts as this much more loaded.
    pub far_factor: f64,
    /// Bytes of a body by which a server in another failure domain seems as much more loaded again;
    /// 0 leaves bodies out of it.
    pub far_body_bytes: u64,
    /// First time for which a path to a guard in trouble is avoided.
    pub path_backoff_ms: u64,
    /// Longest time for which such a path is avoided.
    pub path_backoff_limit_ms: u64,
    /// Servers that are asked for a free slot before a request waits for one; 0 lets it wait at
    /// the first.
    pub free_slot_tries_count: usize,
    /// Part of the target time of its route that a request waits at one of those servers before it
    /// is refused there.
    pub free_slot_wait_share: f64,
    /// Part of the target time of its route that a caller's request waits for a slot; 0 lets it wait
    /// to its deadline.
    pub queue_wait_share: f64,
    /// Attempts that guards may refuse beyond those that may reach a server.
    pub refusals_limit_count: u32,
    /// Whether an answer that tells of the server's failure leads to a retry of a request that may
    /// run more than once.
    pub retry_failed_answers: bool,
    /// Whether guards count the retries of their service, and not each entry its own.
    pub retries_counted_by_guards: bool,
    /// Part of the target time of its route for which a request may wait at the entry while every
    /// server is left alone; 0 refuses it at once.
    pub park_share: f64,
    /// When a refused caller is told to come back where nothing better is known, in milliseconds;
    /// 0 tells nothing.
    pub retry_after_ms: u64,
    /// Kept connections to guards are used again after at most this long, in milliseconds.
    pub reuse_idle_ms: u64,
    /// Longest wait for a connection to a guard.
    pub connect_timeout_ms: u64,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        RoutingSettings {
            ring_count: 1024,
            attempt_limit_count: 3,
            answer_grace_ms: 100,
            retry_share: 0.2,
            draw_count: 4,
            far_factor: 1.2,
            far_body_bytes: 0,
            path_backoff_ms: 250,
            path_backoff_limit_ms: 30_000,
            free_slot_tries_count: 0,
            free_slot_wait_share: 0.0,
            queue_wait_share: 0.0,
            refusals_limit_count: 0,
            retry_failed_answers: false,
            retries_counted_by_guards: false,
            park_share: 0.0,
            retry_after_ms: 0,
            reuse_idle_ms: 10_000,
            connect_timeout_ms: 500,
        }
    }
}

impl RoutingSettings {
    /// Checks every value against its bounds.
    pub fn check(&self, checker: &mut Checker<'_>) {
        checker.range("ring_count", self.ring_count, 1..=65536);
        checker.range("attempt_limit_count", self.attempt_limit_count, 1..=10);
        checker.range("answer_grace_ms", self.answer_grace_ms, 0..=10_000);
        checker.require(
            (0.0..=1.0).contains(&self.retry_share),
            "retry_share",
            self.retry_share,
            "must be from 0 to 1",
        );
        checker.range("draw_count", self.draw_count, 1..=8);
        let far_factor_holds = (1.0..=100.0).contains(&self.far_factor);
        checker.require(
            far_factor_holds,
            "far_factor",
            self.far_factor,
            "must be from 1 to 100",
        );
        checker.range("far_body_bytes", self.far_body_bytes, 0..=1 << 34);
        checker.range("free_slot_tries_count", self.free_slot_tries_count, 0..=64);
        checker.range("free_slot_wait_share", self.free_slot_wait_share, 0.0..=1.0);
        checker.range("queue_wait_share", self.queue_wait_share, 0.0..=1.0);
        checker.range("refusals_limit_count", self.refusals_limit_count, 0..=64);
        checker.range("park_share", self.park_share, 0.0..=1.0);
        checker.range("retry_after_ms", self.retry_after_ms, 0..=60_000);
        checker.range("reuse_idle_ms", self.reuse_idle_ms, 0..=600_000);
        self.check_backoff(checker);
        checker.range("connect_timeout_ms", self.connect_timeout_ms, 1..=60000);
    }

    fn check_backoff(&self, checker: &mut Checker<'_>) {
        checker.range(
            "path_backoff_limit_ms",
            self.path_backoff_limit_ms,
            10..=3_600_000,
        );
        let backoff_holds = (10..=self.path_backoff_limit_ms).contains(&self.path_backoff_ms);
        checker.require(
            backoff_holds,
            "path_backoff_ms",
            self.path_backoff_ms,
            "must be from 10 to path_backoff_limit_ms",
        );
    }
}
