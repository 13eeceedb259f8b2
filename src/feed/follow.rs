//! Decides where each read of a followed feed starts and how long it waits for records.

use std::time::Duration;

use super::message::FeedRead;
use super::turn::ReadTurn;
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
    /// Failed reads in a row. A failure that only asks for a fresh start does not count.
    failed_count: u32,
    /// Whether the last read waited its whole time, so that this daemon reads in its own turn.
    in_turn: bool,
}

impl FollowPlan {
    /// Returns the next read.
    pub fn next_read(&self, turn: ReadTurn, settings: &FeedSettings) -> PlannedRead {
        let Some(from) = self.from else {
            return PlannedRead::Newest;
        };
        let wait = match (self.failed_count, self.in_turn) {
            (0, true) => turn.longest_wait(settings),
            (0, false) => turn.first_wait(settings),
            // A read that waits for records looks like one that hangs on a silent platform.
            _ => Duration::ZERO,
        };
        PlannedRead::Follow { from, wait }
    }

    /// Takes the result of the planned read and returns it for the feed's state.
    pub fn take<T>(&mut self, result: Result<Page<T>, FeedError>) -> FeedRead<T> {
        let waited = self.failed_count == 0;
        self.in_turn = false;
        match result {
            Ok(page) => {
                self.failed_count = 0;
                match self.from.replace(page.next) {
                    None => FeedRead::Newest(page),
                    Some(from) => {
                        self.in_turn = waited && from >= page.next;
                        FeedRead::Followed(page)
                    }
                }
            }
            Err(error) => {
                self.failed_count += u32::from(error != FeedError::Truncated);
                // Records may have been missed, or dropped for newer ones.
                if !matches!(error, FeedError::Unavailable(_)) {
                    self.from = None;
                }
                FeedRead::Failed(error)
            }
        }
    }

    /// Returns how many reads have failed in a row.
    pub fn failed_count(&self) -> u32 {
        self.failed_count
    }
}
