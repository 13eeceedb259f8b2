//! Waits for a slot of one server: how long a request will probably wait, and whether it may.

use std::time::{Duration, Instant};

use super::message::GuardRequest;
use super::server::{ServerState, MIN_SAMPLE_COUNT};
use crate::error::ErrorKind;
use crate::routing::stop::STOP_TIME_FACTOR;

/// Upper bound of an estimated wait.
const MAX_WAIT_S: f64 = 3600.0;

impl ServerState {
    /// Returns why a request is refused that has to wait, or that a process which ends at `ends_at`
    /// would not answer; with the expected wait where other servers may have less.
    pub(super) fn wait_refusal(
        &self,
        now: Instant,
        request: &GuardRequest,
        must_wait: bool,
        ends_at: Option<Instant>,
    ) -> Option<(ErrorKind, Option<Duration>)> {
        let wait = match must_wait {
            true => self.expected_wait(request),
            false => Duration::ZERO,
        };
        if !self.can_end_before(now, request, wait, ends_at) {
            return Some((ErrorKind::Stopping, None));
        }
        let limit_ms = request.terms.wait_limit_ms.map(u64::from);
        let limit = limit_ms.map(Duration::from_millis);
        if must_wait && limit.is_some_and(|limit| wait >= limit) {
            return Some((ErrorKind::Busy, Some(wait)));
        }
        let too_late = must_wait && !self.can_meet_deadline(now, request);
        too_late.then_some((ErrorKind::DeadlineUnmeetable, Some(wait)))
    }

    /// Estimates from recent service times how long a request would wait for its slot.
    pub(super) fn expected_wait(&self, request: &GuardRequest) -> Duration {
        let turns = (self.queue.ahead_count(request) + 1) as f64 / f64::from(self.limit_count());
        Duration::from_secs_f64((turns * self.times.overall_mean_s()).min(MAX_WAIT_S))
    }

    /// Returns whether a request that must wait can still be answered by its deadline.
    fn can_meet_deadline(&self, now: Instant, request: &GuardRequest) -> bool {
        let wait = self.expected_wait(request);
        let answered_at = self.run_time(request).map(|run_time| now + wait + run_time);
        answered_at.is_none_or(|at| at <= request.deadline_at)
    }

    /// Returns whether a request that waits this long for its slot will probably be answered
    /// before the process ends; always if it does not end.
    fn can_end_before(
        &self,
        now: Instant,
        request: &GuardRequest,
        wait: Duration,
        ends_at: Option<Instant>,
    ) -> bool {
        let run_time = self.run_time(request).unwrap_or_default();
        let ended_at = now + wait + run_time * STOP_TIME_FACTOR;
        ends_at.is_none_or(|ends_at| ended_at <= ends_at)
    }

    /// Returns the mean time of the request's route, or of all routes; none if neither is known.
    fn run_time(&self, request: &GuardRequest) -> Option<Duration> {
        let mean_s = self
            .times
            .route_or_overall_mean_s(&request.route, MIN_SAMPLE_COUNT)?;
        Some(Duration::from_secs_f64(mean_s))
    }
}
