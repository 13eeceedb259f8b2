//! Time as a trait object, so that tests run under virtual time.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A source of time.
pub trait Clock: Send + Sync {
    /// Monotonic time, for every decision.
    fn now(&self) -> Instant;
    /// Wall time, for ids, records and the audit trail only.
    fn wall(&self) -> SystemTime;
}

/// The machine's clocks.
#[derive(Debug, Default, Clone, Copy)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Milliseconds since the epoch.
pub fn epoch_ms(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
