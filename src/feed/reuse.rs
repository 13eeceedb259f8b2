//! Decides which kept connections to the platform a call may use.
//!
//! All open connections may fall silent together while new ones work. After a call that failed, the
//! connections that were idle at that time are suspected of the same: a call on one of them would hang
//! once more, for each of them.

use std::time::{Duration, Instant};

/// Longest idle time of a connection that is used again.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Limit right after a failure. Zero would ask the platform not to keep the new connection.
const SHORTEST_LIMIT: Duration = Duration::from_nanos(1);

/// Which kept connections the calls of one client may use.
#[derive(Debug, Default)]
pub struct ConnectionReuse {
    /// When a call last failed without an answer.
    failed_at: Option<Instant>,
}

impl ConnectionReuse {
    /// Records a call that got no answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.failed_at = Some(now);
    }

    /// Returns the longest idle time of a connection that may be used now; never zero.
    pub fn idle_limit(&self, now: Instant) -> Duration {
        let Some(failed_at) = self.failed_at else {
            return IDLE_LIMIT;
        };
        let since_failure = now.saturating_duration_since(failed_at);
        since_failure.clamp(SHORTEST_LIMIT, IDLE_LIMIT)
    }
}
