//! Settings for the choice of a backend server and for retries.

use serde::{Deserialize, Serialize};

use super::Checker;

/// Settings of the routing duty, which chooses a server for each request and decides on retries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingSettings {
    /// Capacity of the routing duty's ring, in requests.
    pub ring_count: usize,
    /// Most attempts of one request that may reach a server, where its route names no limit.
    pub attempt_limit_count: u32,
    /// Time beyond the deadline for which an entry waits for a guard's answer, in milliseconds.
    pub answer_grace_ms: u64,
    /// Retries granted for each first attempt, beyond a small reserve; 0 to 1.
    pub retry_share: f64,
    /// Servers drawn at random for each choice, of which the least loaded is taken.
    pub draw_count: usize,
    /// Time after which the slowness that this entry has seen of a server counts half, in
    /// milliseconds.
    pub speed_half_life_ms: u64,
    /// Factor by which the load of a server in another failure domain is multiplied; 1 to 100.
    pub far_factor: f64,
    /// Body size that adds the whole load of a server in another failure domain once more, in
    /// bytes; 0 ignores the body.
    pub far_body_bytes: u64,
    /// First time for which a failing path to a guard is avoided, in milliseconds.
    pub path_backoff_ms: u64,
    /// Longest time for which a failing path to a guard is avoided, in milliseconds.
    pub path_backoff_limit_ms: u64,
    /// Servers that are asked for a free slot before a request waits for one; 0 lets it wait at the
    /// first server.
    pub free_slot_tries_count: usize,
    /// Share of the route's target time that a request waits at a server asked for a free slot,
    /// before it is refused there.
    pub free_slot_wait_share: f64,
    /// Share of the route's target time that a caller's request waits in a queue for a slot; 0 lets
    /// it wait until its deadline.
    pub queue_wait_share: f64,
    /// Share of the time left that a call of the server on this VM waits in a queue for a slot while
    /// another server can still be asked; 0 lets it wait until its deadline.
    pub own_call_wait_share: f64,
    /// Attempts that guards may refuse, beyond those that may reach a server.
    pub refusals_limit_count: u32,
    /// Whether an answer that reports a failure of the server leads to a retry of a repeatable
    /// request.
    pub retry_failed_answers: bool,
    /// Whether guards end a run of a repeatable request that hangs while another server could still
    /// answer. The time of such a run is lost to the detectors of `health`.
    pub end_hung_runs: bool,
    /// Whether guards count the retries of their service, instead of each entry its own.
    pub retries_counted_by_guards: bool,
    /// Share of the route's target time for which a request may wait at the entry while every
    /// server is closed; 0 refuses it at once.
    pub park_share: f64,
    /// Retry time sent to a refused caller where no better one is known, in milliseconds; 0 sends
    /// none.
    pub retry_after_ms: u64,
    /// Longest idle time after which a connection to a guard is used again, in milliseconds.
    pub reuse_idle_ms: u64,
    /// Longest wait for a connection to a guard, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Share of a service's requests that servers of a version under trial may get; 0 to 1.
    pub trial_share: f64,
    /// Requests that they may get beyond that share, from all entries together, for one order.
    pub trial_slack_count: u32,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        RoutingSettings {
            ring_count: 1024,
            attempt_limit_count: 3,
            answer_grace_ms: 100,
            retry_share: 0.2,
            draw_count: 4,
            speed_half_life_ms: 2_000,
            far_factor: 1.2,
            far_body_bytes: 0,
            path_backoff_ms: 250,
            path_backoff_limit_ms: 30_000,
            free_slot_tries_count: 0,
            free_slot_wait_share: 0.0,
            queue_wait_share: 0.0,
            own_call_wait_share: 0.0,
            refusals_limit_count: 0,
            retry_failed_answers: false,
            end_hung_runs: false,
            retries_counted_by_guards: false,
            park_share: 0.0,
            retry_after_ms: 0,
            reuse_idle_ms: 10_000,
            connect_timeout_ms: 500,
            trial_share: 0.1,
            trial_slack_count: 0,
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
        checker.range("speed_half_life_ms", self.speed_half_life_ms, 100..=600_000);
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
        checker.range("own_call_wait_share", self.own_call_wait_share, 0.0..=1.0);
        checker.range("refusals_limit_count", self.refusals_limit_count, 0..=64);
        checker.range("park_share", self.park_share, 0.0..=1.0);
        checker.range("retry_after_ms", self.retry_after_ms, 0..=60_000);
        checker.range("reuse_idle_ms", self.reuse_idle_ms, 0..=600_000);
        self.check_backoff(checker);
        checker.range("connect_timeout_ms", self.connect_timeout_ms, 1..=60000);
        checker.range("trial_share", self.trial_share, 0.0..=1.0);
    }

    /// Checks that the path backoff does not exceed its limit.
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
