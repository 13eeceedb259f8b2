//! Limits how many requests start within a second at a server that may be cold, independent of its
//! free slots.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Sliding window over which starts are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Limits the requests that start within any second.
#[derive(Debug, Default)]
pub struct StartRate {
    /// Starts within the last second that may have met a cold server, oldest first.
    starts: VecDeque<Instant>,
}

impl StartRate {
    /// Returns whether another request may start; `limit_count` is at least 1.
    pub fn admits(&self, now: Instant, limit_count: usize) -> bool {
        self.free_at(limit_count).is_none_or(|at| now >= at)
    }

    /// Returns when another request may start; `None` for at once.
    pub fn free_at(&self, limit_count: usize) -> Option<Instant> {
        let over = self.starts.len().checked_sub(limit_count.max(1))?;
        self.starts.get(over).map(|start| *start + WINDOW)
    }

    /// Forgets the starts up to `at`, because the server was warm until then.
    pub fn confirm_warm_until(&mut self, at: Instant) {
        while self.starts.front().is_some_and(|start| *start <= at) {
            self.starts.pop_front();
        }
    }

    /// Records that a request starts.
    pub fn record_start(&mut self, now: Instant) {
        while self
            .starts
            .front()
            .is_some_and(|start| now.saturating_duration_since(*start) >= WINDOW)
        {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }
}

#[cfg(test)]
mod tests;
