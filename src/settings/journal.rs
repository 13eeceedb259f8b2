//! Settings for reading and writing the platform's log.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Checker;

/// Settings of the journal duty, which follows the platform's log, appends to it and writes
/// checkpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct JournalSettings {
    /// Address of the platform's log.
    pub address: SocketAddr,
    /// Longest wait of one read for a new record, in milliseconds.
    pub wait_ms: u64,
    /// Longest wait for an answer beyond the read's own wait, in milliseconds.
    pub timeout_ms: u64,
    /// Wait after a failed read, in milliseconds.
    pub retry_ms: u64,
    /// Most records of one read.
    pub batch_count: usize,
    /// Longest wait until an appended change of an operator is read back from the log, in
    /// milliseconds.
    pub read_back_ms: u64,
    /// Longest wait for peers to confirm a withdrawal that the log did not accept, in milliseconds.
    pub confirm_ms: u64,
    /// Time between two requests to peers for records while the log does not answer, in
    /// milliseconds.
    pub peer_ask_ms: u64,
    /// Time without contact to the log or a peer after which every request is refused, in
    /// milliseconds. A daemon that knows no peer keeps serving.
    pub stale_limit_ms: u64,
    /// Longest checkpoint that is sent to a peer, in bytes.
    pub peer_checkpoint_limit_bytes: usize,
    /// Records after which a checkpoint is due.
    pub checkpoint_every_count: u64,
    /// Time after which a checkpoint is due, in milliseconds; must be less than the time for which
    /// the log keeps records.
    pub checkpoint_every_ms: u64,
    /// Time that each daemon of the fleet adds to the range from which the wait before a checkpoint
    /// or a relayed withdrawal is drawn, in milliseconds.
    pub checkpoint_spread_ms: u64,
}

impl Default for JournalSettings {
    fn default() -> Self {
        JournalSettings {
            address: "127.0.0.1:8090".parse().expect("a literal address"),
            wait_ms: 1_000,
            timeout_ms: 2_000,
            retry_ms: 250,
            batch_count: 512,
            read_back_ms: 10_000,
            confirm_ms: 1_500,
            peer_ask_ms: 250,
            stale_limit_ms: 10_000,
            peer_checkpoint_limit_bytes: 786_432,
            checkpoint_every_count: 1_000,
            checkpoint_every_ms: 600_000,
            checkpoint_spread_ms: 200,
        }
    }
}

impl JournalSettings {
    /// Checks every value against its bounds.
    pub fn check(&self, checker: &mut Checker<'_>) {
        checker.range("wait_ms", self.wait_ms, 10..=60000);
        checker.range("timeout_ms", self.timeout_ms, 10..=60000);
        checker.range("retry_ms", self.retry_ms, 10..=60000);
        checker.range("batch_count", self.batch_count, 1..=10000);
        self.check_waits(checker);
        checker.range(
            "peer_checkpoint_limit_bytes",
            self.peer_checkpoint_limit_bytes,
            1_024..=67_108_864,
        );
        checker.range(
            "checkpoint_every_count",
            self.checkpoint_every_count,
            1..=1_000_000,
        );
    }

    /// Checks the waits and the interval of checkpoints.
    fn check_waits(&self, checker: &mut Checker<'_>) {
        let waits = [
            ("read_back_ms", self.read_back_ms),
            ("confirm_ms", self.confirm_ms),
            ("peer_ask_ms", self.peer_ask_ms),
            ("stale_limit_ms", self.stale_limit_ms),
            ("checkpoint_spread_ms", self.checkpoint_spread_ms),
        ];
        for (field, value_ms) in waits {
            let holds = (10..=600_000).contains(&value_ms);
            checker.require(holds, field, value_ms, "must be from 10 to 600000");
        }
        checker.range(
            "checkpoint_every_ms",
            self.checkpoint_every_ms,
            1_000..=86_400_000,
        );
    }
}
