//! Decides how long each read of a followed feed waits for records.

use std::time::Duration;

use super::turn::ReadTurn;
use crate::settings::feed::FeedSettings;

/// How a read ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadEnd {
    /// The newest items of every key were read.
    Newest,
    /// Items were read since the last read.
    Items,
    /// The wait passed without a new item.
    Nothing,
    /// The read failed.
    Failed {
        /// Whether the failure counts among those in a row. One that only asks for a fresh start does
        /// not.
        counts: bool,
    },
}

/// Waits of the reads of one feed.
#[derive(Debug, Default)]
pub struct FollowPlan {
    /// Failed reads in a row.
    failed_count: u32,
    /// Whether the last read waited its whole time, so that this daemon reads in its own turn.
    in_turn: bool,
}

impl FollowPlan {
    /// Returns how many reads have failed in a row.
    pub fn failed_count(&self) -> u32 {
        self.failed_count
    }

    /// Returns how long the next read waits for records.
    pub fn next_wait(&self, turn: ReadTurn, settings: &FeedSettings) -> Duration {
        if self.failed_count > 0 {
            // A read that waits for records looks like one that hangs on a silent platform.
            return Duration::ZERO;
        }
        match self.in_turn {
            true => turn.longest_wait(settings),
            false => turn.first_wait(settings),
        }
    }

    /// Records how a read ended.
    pub fn record_end(&mut self, end: ReadEnd) {
        let waited = self.failed_count == 0;
        self.in_turn = waited && end == ReadEnd::Nothing;
        match end {
            ReadEnd::Failed { counts } => self.failed_count += u32::from(counts),
            ReadEnd::Newest | ReadEnd::Items | ReadEnd::Nothing => self.failed_count = 0,
        }
    }
}
