//! Decides when this daemon writes a checkpoint of the configuration.
//!
//! Every daemon may write one. Each waits for a time derived from its name and the newest
//! checkpoint, so that the first write usually makes the others unnecessary. Two writes do no harm.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use crate::types::{DaemonId, Offset};

/// Schedule of this daemon's checkpoints, and what is known of the newest checkpoint.
#[derive(Debug)]
pub struct CheckpointSchedule {
    own: DaemonId,
    /// Number of records after which the next checkpoint is due.
    interval_count: u64,
    /// Time after which the next checkpoint is due, so that the log always keeps one.
    interval: Duration,
    /// Time by which each further daemon of the fleet lengthens the longest delay of a write.
    spread_per_daemon: Duration,
    /// Number of daemons in the fleet, including this one.
    fleet_count: u32,
    /// Offset below which the newest known checkpoint covers every record; 0 without a checkpoint.
    newest_offset: Offset,
    /// Time at which that checkpoint became known, or of the first check without one.
    newest_at: Option<Instant>,
    /// Time at which this daemon writes, unless another daemon's checkpoint is seen before.
    write_at: Option<Instant>,
}

/// Delay before a checkpoint that could not be written is written again.
const RETRY_DELAY: Duration = Duration::from_secs(5);
/// Upper bound of the delay of a write, however large the fleet is.
const DELAY_LIMIT: Duration = Duration::from_secs(60);

impl CheckpointSchedule {
    /// Creates the schedule of a daemon that has seen no checkpoint.
    pub fn new(
        own: DaemonId,
        interval_count: u64,
        interval: Duration,
        spread_per_daemon: Duration,
    ) -> Self {
        CheckpointSchedule {
            own,
            interval_count,
            interval,
            spread_per_daemon,
            fleet_count: 1,
            newest_offset: 0,
            newest_at: None,
            write_at: None,
        }
    }

    /// Sets the number of daemons in the fleet, which bounds the delay of a write.
    pub fn update_fleet_count(&mut self, count: usize) {
        self.fleet_count = count.max(1) as u32;
    }

    /// Records that a checkpoint of the records below `next` exists, and cancels this daemon's
    /// write.
    pub fn checkpoint_seen(&mut self, now: Instant, next: Offset) {
        if next < self.newest_offset {
            return;
        }
        self.newest_offset = next;
        self.newest_at = Some(now);
        self.write_at = None;
    }

    /// Schedules another attempt after a checkpoint could not be written.
    pub fn write_failed(&mut self, now: Instant) {
        self.write_at = Some(now + RETRY_DELAY);
    }

    /// Returns whether this daemon writes a checkpoint of its view now. Schedules the write when a
    /// checkpoint became due, and the next attempt when it returns true.
    pub fn take_due(&mut self, now: Instant, view_next: Offset) -> bool {
        let newest_at = *self.newest_at.get_or_insert(now);
        let by_count = view_next >= self.newest_offset.saturating_add(self.interval_count);
        let by_time = view_next > 0 && now.saturating_duration_since(newest_at) >= self.interval;
        if !by_count && !by_time {
            return false;
        }
        let delay = self.write_delay();
        let write_at = *self.write_at.get_or_insert(now + delay);
        if now < write_at {
            return false;
        }
        self.write_at = Some(now + self.interval);
        true
    }

    /// Returns when `take_due` is to be called again; `None` before its first call.
    pub fn next_check_at(&self) -> Option<Instant> {
        self.write_at
            .or_else(|| self.newest_at.map(|at| at + self.interval))
    }

    /// Returns the delay of this daemon's write, spread evenly over the daemons of the fleet.
    fn write_delay(&self) -> Duration {
        let longest = self.spread_per_daemon.saturating_mul(self.fleet_count - 1);
        let mut hasher = DefaultHasher::new();
        (&self.own, self.newest_offset).hash(&mut hasher);
        let share = hasher.finish() as f64 / u64::MAX as f64;
        longest.min(DELAY_LIMIT).mul_f64(share)
    }
}
