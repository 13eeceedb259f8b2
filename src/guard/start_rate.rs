//! How many requests a server that may be cold is given within a second, whatever its free slots.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(1);

/// Limits the requests that start within any second.
#[derive(Debug, Default)]
pub struct StartRate {
    /// Starts within the last second for which it is not proven that they met a warm server, oldest
    /// first.
    starts: VecDeque<Instant>,
}

impl StartRate {
    /// Whether another request may start; `limit_count` is at least 1.
    pub fn admits(&self, now: Instant, limit_count: usize) -> bool {
        self.free_at(limit_count).is_none_or(|at| now >= at)
    }

    /// When another request may start; none for at once.
    pub fn free_at(&self, limit_count: usize) -> Option<Instant> {
        let over = self.starts.len().checked_sub(limit_count.max(1))?;
        self.starts.get(over).map(|start| *start + WINDOW)
    }

    /// The server was warm up to `at`: no start until then can have met it cold.
    pub fn confirm_warm_until(&mut self, at: Instant) {
        while self.starts.front().is_some_and(|start| *start <= at) {
            self.starts.pop_front();
        }
    }

    /// A request starts.
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
