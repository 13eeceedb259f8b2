//! When this daemon writes a checkpoint.
//!
//! Any daemon may. Each waits a time that depends on its name and the last checkpoint, so that
//! the first one to write usually spares the others; two writers do no harm.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use crate::types::{DaemonId, Offset};

/// Decides when a checkpoint is due and whether this daemon writes it.
#[derive(Debug)]
pub struct CheckpointWriter {
    own: DaemonId,
    /// A checkpoint is due after this many records.
    interval_count: u64,
    /// A checkpoint is due after this time, so that one is always kept.
    interval: Duration,
    /// Part of the wait that each daemon of the fleet adds.
    spread: Duration,
    fleet_count: u32,
    /// Offset of the newest checkpoint known; 0 when none is.
    newest: Offset,
    newest_at: Option<Instant>,
    /// When this daemon writes, unless another was first.
    write_at: Option<Instant>,
}

/// Wait after a checkpoint that could not be written.
const RETRY: Duration = Duration::from_secs(5);
/// Longest wait that the size of the fleet may cause.
const SPREAD_LIMIT: Duration = Duration::from_secs(60);

impl CheckpointWriter {
    /// No checkpoint known yet.
    pub fn new(own: DaemonId, interval_count: u64, interval: Duration, spread: Duration) -> Self {
        CheckpointWriter {
            own,
            interval_count,
            interval,
            spread,
            fleet_count: 1,
            newest: 0,
            newest_at: None,
            write_at: None,
        }
    }

    /// Takes the number of daemons.
    pub fn update_fleet_count(&mut self, count: usize) {
        self.fleet_count = count.max(1) as u32;
    }

    /// A checkpoint became known.
    pub fn seen(&mut self, now: Instant, next: Offset) {
        if next < self.newest {
            return;
        }
        self.newest = next;
        self.newest_at = Some(now);
        self.write_at = None;
    }

    /// A checkpoint could not be written.
    pub fn failed(&mut self, now: Instant) {
        self.write_at = Some(now + RETRY);
    }

    /// Whether this daemon writes a checkpoint of its view now.
    pub fn due(&mut self, now: Instant, view_next: Offset) -> bool {
        let newest_at = *self.newest_at.get_or_insert(now);
        let by_count = view_next >= self.newest.saturating_add(self.interval_count);
        let by_time = view_next > 0 && now.saturating_duration_since(newest_at) >= self.interval;
        if !by_count && !by_time {
            return false;
        }
        let wait = self.wait();
        let write_at = *self.write_at.get_or_insert(now + wait);
        if now < write_at {
            return false;
        }
        self.write_at = Some(now + self.interval);
        true
    }

    /// When `due` is to be asked again.
    pub fn next_at(&self) -> Option<Instant> {
        self.write_at
            .or_else(|| self.newest_at.map(|at| at + self.interval))
    }

    fn wait(&self) -> Duration {
        let longest = self.spread.saturating_mul(self.fleet_count - 1);
        let mut hasher = DefaultHasher::new();
        (&self.own, self.newest).hash(&mut hasher);
        let share = hasher.finish() as f64 / u64::MAX as f64;
        longest.min(SPREAD_LIMIT).mul_f64(share)
    }
}
