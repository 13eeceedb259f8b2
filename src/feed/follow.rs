//! Decides where each read of a followed feed starts and how long it waits for records.

use std::time::Duration;

use super::message::FeedRead;
use super::role::ReadRole;
use super::{FeedError, Page};
use crate::settings::feed::FeedSettings;
use crate::types::Offset;

/// The next read of a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlannedRead {
    /// Reads the newest item of every key.
    Newest,
    /// Reads the items after an offset.
    Follow {
        /// Offset of the first item.
        from: Offset,
        /// Longest wait for it.
        wait: Duration,
    },
}

/// Offset and waits of the reads of one feed.
#[derive(Debug, Default)]
pub struct FollowPlan {
    /// Offset up to which the feed was read; none if the newest items are to be read first.
    from: Option<Offset>,
    /// Failed reads in a row. A failure that only asks for a fresh start does not count, unless the
    /// fresh start led to the same failure.
    failed_count: u32,
    /// Whether the last read of items after an offset asked for a fresh start.
    restarted: bool,
}

impl FollowPlan {
    /// Returns the next read.
    pub fn next_read(&self, role: ReadRole, settings: &FeedSettings) -> PlannedRead {
        let Some(from) = self.from else {
            return PlannedRead::Newest;
        };
        let wait = match self.failed_count {
            0 => role.longest_wait(settings),
            // A read that waits for records looks like one that hangs on a silent platform.
            _ => Duration::ZERO,
        };
        PlannedRead::Follow { from, wait }
    }

    /// Takes the result of the planned read and returns it for the feed's state.
    pub fn take<T>(&mut self, result: Result<Page<T>, FeedError>) -> FeedRead<T> {
        match result {
            Ok(page) => {
                self.failed_count = 0;
                match self.from.replace(page.next) {
                    None => FeedRead::Newest(page),
                    Some(_) => {
                        self.restarted = false;
                        FeedRead::Followed(page)
                    }
                }
            }
            Err(error) => {
                let is_truncated = error == FeedError::Truncated;
                self.failed_count += u32::from(!is_truncated || self.restarted);
                self.restarted |= is_truncated;
                // Records may have been missed, or dropped for newer ones.
                if !matches!(error, FeedError::Unavailable(_)) {
                    self.from = None;
                }
                FeedRead::Failed(error)
            }
        }
    }

    /// Returns the time between the starts of a failed read and the next one.
    pub fn retry_wait(&self, settings: &FeedSettings) -> Duration {
        retry_wait(self.failed_count, settings)
    }
}

/// Returns the time between the starts of a failed read and the next one, longer after each of the
/// failures in a row, since every call has a cost.
pub fn retry_wait(failed_count: u32, settings: &FeedSettings) -> Duration {
    if failed_count == 0 {
        return Duration::ZERO;
    }
    let doublings = (failed_count - 1).min(DOUBLING_LIMIT_COUNT);
    let wait_ms = settings.retry_ms << doublings;
    Duration::from_millis(wait_ms.min(settings.retry_limit_ms))
}

/// Most doublings of the wait after failures.
const DOUBLING_LIMIT_COUNT: u32 = 10;
