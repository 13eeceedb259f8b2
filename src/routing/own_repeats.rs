//! Attributes calls of the server on this VM to repeats that it runs.

use std::time::{Duration, Instant};

/// Most calls that are attributed to one repeat.
const CALLS_PER_REPEAT_COUNT: u32 = 2;
/// Most calls that may still be attributed at a time.
const CALLS_LIMIT_COUNT: u32 = 16;
/// Calls are attributed to repeats for this long after the last repeat began.
const CALL_WINDOW: Duration = Duration::from_secs(1);

/// Calls still expected for repeats that the server on this VM has begun.
#[derive(Debug, Default)]
pub(super) struct OwnRepeats {
    /// Calls that are still to be attributed.
    left_count: u32,
    /// When the last repeat began.
    began_at: Option<Instant>,
}

impl OwnRepeats {
    /// Records that a repeat began.
    pub(super) fn record_repeat(&mut self, now: Instant) {
        self.forget(now);
        self.left_count = (self.left_count + CALLS_PER_REPEAT_COUNT).min(CALLS_LIMIT_COUNT);
        self.began_at = Some(now);
    }

    /// Returns whether a call is attributed to a repeat, and counts it.
    pub(super) fn take_call(&mut self, now: Instant) -> bool {
        self.forget(now);
        let taken = self.left_count > 0;
        self.left_count = self.left_count.saturating_sub(1);
        taken
    }

    /// Drops the expected calls once the window is over.
    fn forget(&mut self, now: Instant) {
        let expired = |at: Instant| now.saturating_duration_since(at) >= CALL_WINDOW;
        if self.began_at.is_none_or(expired) {
            self.left_count = 0;
        }
    }
}

#[cfg(test)]
mod tests;
