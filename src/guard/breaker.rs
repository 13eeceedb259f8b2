//! Circuit breaker that keeps requests from a server that has just begun to fail.
//!
//! The guard sees every call to its server, so it notices within a few calls what takes a
//! statistical test over the fleet seconds. While the breaker is open, requests are refused as not
//! run. After that, requests that can tolerate a failure are let through as probes, one at a time.
//! A request for which no other server is left may pass an open breaker, so that a service whose
//! servers all fail some of their requests still answers the others.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Latest calls over which failed answers are counted.
const WINDOW_COUNT: usize = 6;
/// Failed answers among the latest `WINDOW_COUNT` calls that open the breaker. A single one is an
/// ordinary error.
const FAILED_LIMIT_COUNT: usize = 2;
/// Most doublings of the open time over consecutive openings.
const MAX_DOUBLINGS: u32 = 2;
/// After this many open times without a probe, any request may probe.
const PROBE_STARVATION_FACTOR: u32 = 4;
/// Good probes in a row that close the breaker after a broken call; one may succeed by chance.
const GOOD_COUNT_AFTER_BROKEN: u32 = 2;
/// Resets that end within this time of each other count once.
const SAME_MOMENT: Duration = Duration::from_millis(10);
/// Shortest wait that a refused entry daemon is given, so that a probe under way can end.
const MIN_PROBE_WAIT: Duration = Duration::from_millis(150);
/// Interval between the turns of two entry daemons to probe.
const PROBE_TURN_INTERVAL: Duration = Duration::from_millis(50);
/// Entry daemons that get a turn to probe after one opening.
const PROBE_TURN_COUNT: u32 = 5;
/// Additional wait for entry daemons without a turn to probe.
const NO_TURN_WAIT: Duration = Duration::from_secs(2);
/// An opening this soon after the breaker closed counts as consecutive to the last one.
const RELAPSE_WINDOW: Duration = Duration::from_secs(2);

/// End of a call as the breaker counts it, from best to worst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallEnd {
    /// The server answered without a failure.
    Good,
    /// The server refused the request before running it.
    Shed,
    /// The server answered with a failure or an unusable answer, or did not answer in time.
    FailedAnswer,
    /// The connection broke; the server may still take others.
    Reset,
    /// The connection was refused, or the server died or was replaced.
    Broken,
}

/// Circuit breaker of one server.
#[derive(Debug)]
pub struct Breaker {
    /// Open time after the first opening; zero keeps the breaker closed for good.
    open_time: Duration,
    /// Resets among the latest calls that open the breaker; at least 1.
    reset_limit_count: usize,
    /// When the last reset was counted.
    last_reset_at: Option<Instant>,
    /// Ends of the latest calls, at most `WINDOW_COUNT` while the breaker is closed.
    recent_ends: VecDeque<CallEnd>,
    /// State of the present opening; `None` while the breaker is closed.
    open: Option<OpenState>,
    /// When the breaker last closed, and the `streak_count` of that opening.
    last_closed: Option<(Instant, u32)>,
}

/// One opening of the breaker.
#[derive(Debug, Clone, Copy)]
struct OpenState {
    /// When the breaker opened, or opened again after a bad probe.
    opened_at: Instant,
    /// No probe starts before this time.
    probe_at: Instant,
    /// Consecutive openings before this one, at most `MAX_DOUBLINGS`.
    streak_count: u32,
    /// Worst end among the calls that opened the breaker.
    cause: CallEnd,
    /// Whether a probe is running.
    probing: bool,
    /// Good probes since the breaker opened.
    good_count: u32,
    /// Requests refused since the breaker opened.
    refused_count: u32,
}

impl Breaker {
    /// Creates a closed breaker with this open time; zero disables it.
    pub fn new(open_time: Duration, reset_limit_count: usize) -> Breaker {
        Breaker {
            open_time,
            reset_limit_count: reset_limit_count.max(1),
            last_reset_at: None,
            recent_ends: VecDeque::with_capacity(WINDOW_COUNT),
            open: None,
            last_closed: None,
        }
    }

    /// Returns whether a request may start now; `may_probe` marks one that can tolerate a failure.
    pub fn admits(&self, now: Instant, may_probe: bool) -> bool {
        let Some(open) = self.open else {
            return true;
        };
        if now < open.probe_at || open.probing {
            return false;
        }
        may_probe || now >= open.probe_at + self.open_time * PROBE_STARVATION_FACTOR
    }

    /// Returns whether a request for which no other server is left may start while the breaker is
    /// open. After broken calls a request that may not be repeated does not start, because a broken
    /// call leaves its outcome unknown.
    pub fn admits_last_resort(&self, repeatable: bool) -> bool {
        let cause = self.open.map(|open| open.cause);
        repeatable || cause.is_none_or(|cause| cause < CallEnd::Reset)
    }

    /// Returns the time until the next probe; `None` while the breaker is closed.
    pub fn open_for(&self, now: Instant) -> Option<Duration> {
        self.open
            .map(|open| open.probe_at.saturating_duration_since(now))
    }

    /// Returns after what time a refused entry daemon should ask again; `None` while the breaker is
    /// closed. A few entry daemons get turns to probe, one after the other; the rest wait until the
    /// result of those probes is known.
    pub fn retry_after(&mut self, now: Instant) -> Option<Duration> {
        let open = self.open.as_mut()?;
        let turn = open.refused_count;
        open.refused_count += 1;
        let left = open
            .probe_at
            .saturating_duration_since(now)
            .max(MIN_PROBE_WAIT);
        Some(match turn < PROBE_TURN_COUNT {
            true => left + PROBE_TURN_INTERVAL * turn,
            false => left + NO_TURN_WAIT,
        })
    }

    /// Records that a request starts, which is a probe while the breaker is open.
    pub fn record_start(&mut self) {
        if let Some(open) = &mut self.open {
            open.probing = true;
        }
    }

    /// Records a call whose end says nothing about the server, such as one whose caller left.
    pub fn record_neutral(&mut self) {
        if let Some(open) = &mut self.open {
            open.probing = false;
        }
    }

    /// Records how a call that took `elapsed` ended.
    pub fn record_end(&mut self, now: Instant, end: CallEnd, elapsed: Duration) {
        if self.open_time.is_zero() {
            return;
        }
        if let Some(open) = self.open {
            // A call that started before the breaker opened carries no new information.
            if now.saturating_duration_since(open.opened_at) >= elapsed {
                self.record_probe(now, open, end);
            }
            return;
        }
        if end == CallEnd::Reset && !self.is_new_reset(now) {
            return;
        }
        if self.recent_ends.len() == WINDOW_COUNT {
            self.recent_ends.pop_front();
        }
        self.recent_ends.push_back(end);
        if self.is_failing(end) {
            let relapse = self
                .last_closed
                .filter(|(at, _)| now.saturating_duration_since(*at) < RELAPSE_WINDOW);
            self.trip(now, relapse.map_or(0, |(_, streak_count)| streak_count + 1));
        }
    }

    /// Returns whether a reset tells more than the last one: several calls end at the same moment
    /// when connections are cut, whatever the server does.
    fn is_new_reset(&mut self, now: Instant) -> bool {
        let last = self.last_reset_at.replace(now);
        let passed = last.map(|at| now.saturating_duration_since(at));
        self.reset_limit_count == 1 || passed.is_none_or(|passed| passed >= SAME_MOMENT)
    }

    /// Returns whether the latest calls, the last of which ended so, show that the server fails.
    fn is_failing(&self, last: CallEnd) -> bool {
        let count_of = |counts: fn(&CallEnd) -> bool| {
            let ends = self.recent_ends.iter();
            ends.filter(|end| counts(end)).count()
        };
        last == CallEnd::Broken
            || count_of(|end| *end == CallEnd::Reset) >= self.reset_limit_count
            || count_of(|end| *end != CallEnd::Good)
                >= FAILED_LIMIT_COUNT.max(self.reset_limit_count)
            || count_of(|end| !matches!(end, CallEnd::Good | CallEnd::Reset)) >= FAILED_LIMIT_COUNT
    }

    /// Closes the breaker after enough good probes, or opens it again after a bad one.
    fn record_probe(&mut self, now: Instant, open: OpenState, end: CallEnd) {
        if end != CallEnd::Good {
            self.recent_ends.push_back(end);
            return self.trip(now, open.streak_count + 1);
        }
        let good_count = open.good_count + 1;
        let wanted_count = match open.cause {
            CallEnd::Reset | CallEnd::Broken => GOOD_COUNT_AFTER_BROKEN,
            _ => 1,
        };
        if good_count < wanted_count {
            self.open = Some(OpenState {
                probe_at: now,
                probing: false,
                good_count,
                ..open
            });
            return;
        }
        self.recent_ends.clear();
        self.open = None;
        self.last_closed = Some((now, open.streak_count));
    }

    /// Opens the breaker; the open time doubles with each consecutive opening.
    fn trip(&mut self, now: Instant, streak_count: u32) {
        let streak_count = streak_count.min(MAX_DOUBLINGS);
        let cause = self
            .recent_ends
            .iter()
            .copied()
            .max()
            .unwrap_or(CallEnd::Broken);
        self.recent_ends.clear();
        self.open = Some(OpenState {
            opened_at: now,
            probe_at: now + self.open_time * (1 << streak_count),
            streak_count,
            cause,
            probing: false,
            good_count: 0,
            refused_count: 0,
        });
    }
}

#[cfg(test)]
mod tests;
