//! Calls that the server on this VM makes because of a repeat.

use std::time::{Duration, Instant};

/// Calls that are put down to one repeat.
const CALLS_PER_REPEAT_COUNT: u32 = 2;
/// Calls that are put down to all repeats of late.
const CALLS_LIMIT_COUNT: u32 = 16;
/// Calls are put down to a repeat that began this long ago at most.
const CALL_WINDOW: Duration = Duration::from_secs(1);

/// Repeats that the server on this VM began, as far as their calls are still to come.
#[derive(Debug, Default)]
pub(super) struct OwnRepeats {
    left_count: u32,
    began_at: Option<Instant>,
}

impl OwnRepeats {
    /// A repeat began.
    pub(super) fn record_repeat(&mut self, now: Instant) {
        self.forget(now);
        self.left_count = (self.left_count + CALLS_PER_REPEAT_COUNT).min(CALLS_LIMIT_COUNT);
        self.began_at = Some(now);
    }

    /// Whether a call is put down to a repeat.
    pub(super) fn take_call(&mut self, now: Instant) -> bool {
        self.forget(now);
        let taken = self.left_count > 0;
        self.left_count = self.left_count.saturating_sub(1);
        taken
    }

    fn forget(&mut self, now: Instant) {
        let expired = |at: Instant| now.saturating_duration_since(at) >= CALL_WINDOW;
        if self.began_at.is_none_or(expired) {
            self.left_count = 0;
        }
    }
}

#[cfg(test)]
mod tests;
