//! Keeps requests from a server that has just begun to fail.
//!
//! The guard sees every call to its server, so it notices within a few calls what takes a
//! statistical test over the fleet seconds. While the breaker is open, requests are refused as not
//! run. After that, requests that can bear a failure go on as probes, one at a time. A request for
//! which no other server is left may pass an open breaker, so that a service whose servers all fail
//! in part still answers in part.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Calls over which failed answers are counted.
const WINDOW_COUNT: usize = 6;
/// Failed answers among those calls that open the breaker. One alone is a usual error.
const FAILED_LIMIT_COUNT: usize = 2;
/// Doublings of the open time over openings in a row.
const MAX_DOUBLINGS: u32 = 2;
/// Without a probe for this many open times, any request may probe.
const PROBE_STARVATION_FACTOR: u32 = 4;
/// Good probes in a row that close it after broken calls, which may well get through by chance.
const GOOD_COUNT_AFTER_BROKEN: u32 = 2;
/// Shortest wait before a server whose probe is under way is asked again.
const MIN_PROBE_WAIT: Duration = Duration::from_millis(150);
/// Time between the probes of two entries.
const PROBE_TURN_INTERVAL: Duration = Duration::from_millis(50);
/// Entries that probe after one opening.
const PROBE_TURN_COUNT: u32 = 5;
/// How much longer the other entries stay away.
const NO_TURN_WAIT: Duration = Duration::from_secs(2);
/// An opening this soon after the last one ended goes on with its streak.
const RELAPSE_WINDOW: Duration = Duration::from_secs(2);

/// How a call ended, as far as the breaker cares; the worst comes last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallEnd {
    /// The server did its work.
    Good,
    /// It refused the request before it ran it.
    Shed,
    /// It answered that it failed.
    FailedAnswer,
    /// It gave no whole answer, or refused the connection.
    Broken,
}

/// Whether a request may go to the server.
#[derive(Debug)]
pub struct Breaker {
    /// OpenState time after the first failure; zero keeps the breaker closed for good.
    open_time: Duration,
    recent_ends: VecDeque<CallEnd>,
    open: Option<OpenState>,
    /// When it closed last, and the streak of openings that ended then.
    last_closed: Option<(Instant, u32)>,
}

#[derive(Debug, Clone, Copy)]
struct OpenState {
    opened_at: Instant,
    /// No probe before this.
    probe_at: Instant,
    /// Openings in a row before this one.
    streak_count: u32,
    /// The worst end that opened it.
    cause: CallEnd,
    /// Whether a probe is under way.
    probing: bool,
    /// Good probes since it opened.
    good_count: u32,
    /// Requests refused since it opened.
    refused_count: u32,
}

impl Breaker {
    /// A closed breaker.
    pub fn new(open_time: Duration) -> Breaker {
        Breaker {
            open_time,
            recent_ends: VecDeque::with_capacity(WINDOW_COUNT),
            open: None,
            last_closed: None,
        }
    }

    /// Whether a request may start now.
    pub fn admits(&self, now: Instant, may_probe: bool) -> bool {
        let Some(open) = self.open else {
            return true;
        };
        if now < open.probe_at || open.probing {
            return false;
        }
        may_probe || now >= open.probe_at + self.open_time * PROBE_STARVATION_FACTOR
    }

    /// Whether a request for which no other server is left may start while the breaker is open.
    /// One that may not be repeated is kept from calls that break, which leave its outcome open.
    pub fn admits_last_resort(&self, repeatable: bool) -> bool {
        let cause = self.open.map(|open| open.cause);
        repeatable || cause != Some(CallEnd::Broken)
    }

    /// How long it stays open at least; none while it is closed.
    pub fn open_for(&self, now: Instant) -> Option<Duration> {
        self.open
            .map(|open| open.probe_at.saturating_duration_since(now))
    }

    /// When an entry that was refused is to ask again. A few entries get turns to probe, one after
    /// the other; the others stay away until one of those has found out.
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

    /// A request starts.
    pub fn record_start(&mut self) {
        if let Some(open) = &mut self.open {
            open.probing = true;
        }
    }

    /// A call ended without a word on the server, such as one whose caller left.
    pub fn record_neutral_end(&mut self) {
        if let Some(open) = &mut self.open {
            open.probing = false;
        }
    }

    /// A call that took `elapsed` ended.
    pub fn record_end(&mut self, now: Instant, end: CallEnd, elapsed: Duration) {
        if self.open_time.is_zero() {
            return;
        }
        if let Some(open) = self.open {
            // A call that started before the breaker opened says nothing new.
            if now.saturating_duration_since(open.opened_at) >= elapsed {
                self.record_probe(now, open, end);
            }
            return;
        }
        if self.recent_ends.len() == WINDOW_COUNT {
            self.recent_ends.pop_front();
        }
        self.recent_ends.push_back(end);
        let failed = self.recent_ends.iter().filter(|end| **end != CallEnd::Good);
        if end == CallEnd::Broken || failed.count() >= FAILED_LIMIT_COUNT {
            let relapse = self
                .last_closed
                .filter(|(at, _)| now.saturating_duration_since(*at) < RELAPSE_WINDOW);
            self.trip(now, relapse.map_or(0, |(_, streak_count)| streak_count + 1));
        }
    }

    fn record_probe(&mut self, now: Instant, open: OpenState, end: CallEnd) {
        if end != CallEnd::Good {
            self.recent_ends.push_back(end);
            return self.trip(now, open.streak_count + 1);
        }
        let good_count = open.good_count + 1;
        let wanted_count = match open.cause {
            CallEnd::Broken => GOOD_COUNT_AFTER_BROKEN,
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
