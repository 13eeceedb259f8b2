//! Settings for reading configuration and members from a platform that keeps the newest record of
//! each key.

use serde::{Deserialize, Serialize};

use super::Checker;

/// Settings of the feed duty and of its readers of configuration and members.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FeedSettings {
    /// Capacity of the feed duty's ring, in events.
    pub ring_count: usize,
    /// Longest wait of one read for a new record, in milliseconds.
    pub wait_ms: u64,
    /// Longest wait of one read for a new record at the daemons that watch on behalf of the fleet, in
    /// milliseconds.
    pub watch_ms: u64,
    /// First wait before the members are read again, in milliseconds; doubles with each read up to
    /// `members_poll_limit_ms`. Changes in between arrive by gossip.
    pub members_poll_ms: u64,
    /// Longest wait before the members are read again, in milliseconds.
    pub members_poll_limit_ms: u64,
    /// Longest wait for an answer beyond the read's own wait, in milliseconds.
    pub timeout_ms: u64,
    /// Wait after a failed read, in milliseconds; doubles up to `retry_limit_ms`.
    pub retry_ms: u64,
    /// Longest wait after a failed read, in milliseconds.
    pub retry_limit_ms: u64,
    /// Time between two requests to peers while the platform does not answer, in milliseconds.
    pub peer_ask_ms: u64,
    /// Time that the feed may take to show a record that a peer has already read, in milliseconds.
    pub peer_patience_ms: u64,
    /// Time that operators may take to write again what the store has lost, in milliseconds. What it
    /// doesn't show then is no longer in force, except a later version of the configuration.
    pub era_settle_ms: u64,
}

impl Default for FeedSettings {
    fn default() -> Self {
        FeedSettings {
            ring_count: 1024,
            wait_ms: 5_000,
            watch_ms: 1_400,
            members_poll_ms: 150,
            members_poll_limit_ms: 1_800_000,
            timeout_ms: 1_000,
            retry_ms: 200,
            retry_limit_ms: 2_000,
            peer_ask_ms: 500,
            peer_patience_ms: 150,
            era_settle_ms: 5_000,
        }
    }
}

impl FeedSettings {
    /// Checks every value against its bounds.
    pub fn check(&self, checker: &mut Checker<'_>) {
        checker.range("ring_count", self.ring_count, 1..=65_536);
        let times_ms = [
            ("wait_ms", self.wait_ms),
            ("watch_ms", self.watch_ms),
            ("members_poll_ms", self.members_poll_ms),
            ("timeout_ms", self.timeout_ms),
            ("retry_ms", self.retry_ms),
            ("retry_limit_ms", self.retry_limit_ms),
            ("peer_ask_ms", self.peer_ask_ms),
            ("peer_patience_ms", self.peer_patience_ms),
            ("era_settle_ms", self.era_settle_ms),
        ];
        let limit_ms = self.members_poll_limit_ms;
        checker.range("members_poll_limit_ms", limit_ms, 1..=86_400_000);
        for (field, value) in times_ms {
            checker.range(field, value, 1..=30_000);
        }
    }
}
