//! The source of time, as a trait so that tests can run under virtual time.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Source of monotonic time and wall time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time. All decisions use it.
    fn now(&self) -> Instant;
    /// Returns the wall time. Only ids, records and the audit trail use it, since it may jump.
    fn wall(&self) -> SystemTime;
}

/// Clock that reads the time of the operating system.
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

/// Returns the milliseconds since the Unix epoch; 0 for a time before it.
pub fn epoch_ms(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
