//! When this daemon writes a checkpoint.
//!
//! Any daemon may. Each waits a time that depends on its name and the last checkpoint, so that
//! the first one to write usually spares the others; two writers do no harm.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use crate::types::{DaemonId, Offset};

/// Decides when a checkpoint is due and whether this daemon writes it.
#[derive(Debug)]
pub struct CheckpointSchedule {
    own: DaemonId,
    /// A checkpoint is due after this many records.
    interval_count: u64,
    /// A checkpoint is due after this time, so that one is always kept.
    interval: Duration,
    /// Part of the wait that each daemon of the fleet adds.
    spread_per_daemon: Duration,
    fleet_count: u32,
    /// Offset of the newest checkpoint known; 0 when none is.
    newest_offset: Offset,
    newest_at: Option<Instant>,
    /// When this daemon writes, unless another was first.
    write_at: Option<Instant>,
}

/// Wait after a checkpoint that could not be written.
const RETRY: Duration = Duration::from_secs(5);
/// Longest wait that the size of the fleet may cause.
const SPREAD_LIMIT: Duration = Duration::from_secs(60);

impl CheckpointSchedule {
    /// No checkpoint known yet.
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

    /// Takes the number of daemons.
    pub fn update_fleet_count(&mut self, count: usize) {
        self.fleet_count = count.max(1) as u32;
    }

    /// A checkpoint became known.
    pub fn checkpoint_seen(&mut self, now: Instant, next: Offset) {
        if next < self.newest_offset {
            return;
        }
        self.newest_offset = next;
        self.newest_at = Some(now);
        self.write_at = None;
    }

    /// A checkpoint could not be written.
    pub fn write_failed(&mut self, now: Instant) {
        self.write_at = Some(now + RETRY);
    }

    /// Whether this daemon writes a checkpoint of its view now.
    pub fn take_due(&mut self, now: Instant, view_next: Offset) -> bool {
        let newest_at = *self.newest_at.get_or_insert(now);
        let by_count = view_next >= self.newest_offset.saturating_add(self.interval_count);
        let by_time = view_next > 0 && now.saturating_duration_since(newest_at) >= self.interval;
        if !by_count && !by_time {
            return false;
        }
        let wait = self.write_delay();
        let write_at = *self.write_at.get_or_insert(now + wait);
        if now < write_at {
            return false;
        }
        self.write_at = Some(now + self.interval);
        true
    }

    /// When `take_due` is to be asked again.
    pub fn next_check_at(&self) -> Option<Instant> {
        self.write_at
            .or_else(|| self.newest_at.map(|at| at + self.interval))
    }

    fn write_delay(&self) -> Duration {
        let longest = self.spread_per_daemon.saturating_mul(self.fleet_count - 1);
        let mut hasher = DefaultHasher::new();
        (&self.own, self.newest_offset).hash(&mut hasher);
        let share = hasher.finish() as f64 / u64::MAX as f64;
        longest.min(SPREAD_LIMIT).mul_f64(share)
    }
}
