//! Keeps requests from a server that has just begun to fail.
//!
//! The guard sees every call to its server, so it notices within a few calls what takes a
//! statistical test over the fleet seconds. While the breaker is open, requests are refused as not
//! run. After that, requests that can bear a failure go on as probes, one at a time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Calls over which failed answers are counted.
const WINDOW_COUNT: usize = 6;
/// Failed answers among those calls that open the breaker. One alone is a usual error.
const FAILED_LIMIT_COUNT: usize = 2;
/// Doublings of the open time over openings in a row.
const MAX_DOUBLINGS: u32 = 2;
/// Without a probe for this many open times, any request may probe.
const STARVED_FACTOR: u32 = 4;

/// How a call ended, as far as the breaker cares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The server did its work.
    Good,
    /// It answered that it failed.
    FailedAnswer,
    /// It gave no whole answer, or refused the connection.
    Broken,
}

/// Whether a request may go to the server.
#[derive(Debug)]
pub struct Breaker {
    /// Open time after the first failure; zero keeps the breaker closed for good.
    open_time: Duration,
    ends: VecDeque<CallEnd>,
    open: Option<Open>,
}

#[derive(Debug, Clone, Copy)]
struct Open {
    /// No request at all before this.
    until: Instant,
    /// Openings in a row before this one.
    streak_count: u32,
    /// Whether a probe is under way.
    probing: bool,
}

impl Breaker {
    /// A closed breaker.
    pub fn new(open_time: Duration) -> Breaker {
        Breaker {
            open_time,
            ends: VecDeque::with_capacity(WINDOW_COUNT),
            open: None,
        }
    }

    /// Whether a request may start now.
    pub fn admits(&self, now: Instant, may_probe: bool) -> bool {
        let Some(open) = self.open else {
            return true;
        };
        if now < open.until || open.probing {
            return false;
        }
        may_probe || now >= open.until + self.open_time * STARVED_FACTOR
    }

    /// How long it stays open at least; none while it is closed.
    pub fn open_for(&self, now: Instant) -> Option<Duration> {
        self.open
            .map(|open| open.until.saturating_duration_since(now))
    }

    /// A request starts.
    pub fn started(&mut self) {
        if let Some(open) = &mut self.open {
            open.probing = true;
        }
    }

    /// A call ended without a word on the server, such as one whose caller left.
    pub fn ended_neutral(&mut self) {
        if let Some(open) = &mut self.open {
            open.probing = false;
        }
    }

    /// A call ended.
    pub fn ended(&mut self, now: Instant, end: CallEnd) {
        if self.open_time.is_zero() {
            return;
        }
        if self.ends.len() == WINDOW_COUNT {
            self.ends.pop_front();
        }
        self.ends.push_back(end);
        if let Some(open) = self.open {
            return self.probed(now, open, end);
        }
        let failed = self.ends.iter().filter(|end| **end != CallEnd::Good);
        if end == CallEnd::Broken || failed.count() >= FAILED_LIMIT_COUNT {
            self.trip(now, 0);
        }
    }

    fn probed(&mut self, now: Instant, open: Open, end: CallEnd) {
        match end {
            CallEnd::Good => {
                self.ends.clear();
                self.open = None;
            }
            // Calls that started before the breaker opened say nothing new.
            _ if now < open.until => {}
            _ => self.trip(now, (open.streak_count + 1).min(MAX_DOUBLINGS)),
        }
    }

    fn trip(&mut self, now: Instant, streak_count: u32) {
        self.open = Some(Open {
            until: now + self.open_time * (1 << streak_count),
            streak_count,
            probing: false,
        });
    }
}

#[cfg(test)]
mod tests;
