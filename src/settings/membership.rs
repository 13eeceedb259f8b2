//! Settings for gossip about the daemons of the fleet and the backend servers on their VMs.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::Checker;

/// Settings of the membership duty: gossip, failure suspicion, publishing of the own description
/// and the first view of a new daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// Capacity of the membership duty's ring, in events.
    pub ring_count: usize,
    /// Link addresses of some daemons, from which a daemon learns the fleet if it starts while the
    /// platform's log is down.
    pub seed_addresses: Vec<SocketAddr>,
    /// Time between two exchanges while there is news to spread, in milliseconds.
    pub gossip_ms: u64,
    /// Time between two exchanges while there is no news, in milliseconds; grows with the logarithm
    /// of the fleet's size.
    pub idle_gossip_ms: u64,
    /// Most bytes that gossip sends per second on average.
    pub gossip_bytes_per_s: u64,
    /// Most bytes that gossip sends at once.
    pub gossip_burst_bytes: u64,
    /// Peers that this daemon exchanges gossip with.
    pub partner_count: usize,
    /// Time after which one partner is replaced, in milliseconds.
    pub partner_ms: u64,
    /// Peers that are asked whether they reach a daemon that does not answer.
    pub helper_count: usize,
    /// Time in which a suspected daemon must refute the suspicion before it is taken as gone, in
    /// milliseconds; grows with the logarithm of the fleet's size.
    pub suspect_ms: u64,
    /// Time after which a daemon that is gone is forgotten, in milliseconds.
    pub forget_ms: u64,
    /// Time between two attempts to reach a daemon that is taken as gone, in milliseconds.
    pub heal_ms: u64,
    /// Shortest time between two comparisons of the whole view with a peer, in milliseconds.
    pub compare_ms: u64,
    /// Time after which the own description is published in the platform's log again, in
    /// milliseconds.
    pub publish_ms: u64,
    /// Wait before a change of the servers on this VM is published through the platform, in
    /// milliseconds; 0 leaves it to gossip. Acknowledged departures are published without this wait,
    /// and not at all with 0.
    pub publish_change_ms: u64,
    /// Wait before an own description that was not read back is published again, in milliseconds.
    pub publish_retry_ms: u64,
    /// Average time between two records of the fleet that are published again after the platform's
    /// store has returned from a copy, in milliseconds.
    pub rewrite_interval_ms: u64,
    /// Shortest time between two snapshots for the other duties, in milliseconds.
    pub snapshot_ms: u64,
    /// Most bytes of descriptions in one page of a new daemon's first view.
    pub page_bytes: u32,
    /// Time between two requests for pages of the first view, in milliseconds.
    pub page_ms: u64,
    /// Most bytes of pages that this daemon sends per second.
    pub page_bytes_per_s: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            ring_count: 1024,
            seed_addresses: Vec::new(),
            gossip_ms: 100,
            idle_gossip_ms: 500,
            gossip_bytes_per_s: 1_600,
            gossip_burst_bytes: 16_384,
            partner_count: 8,
            partner_ms: 30_000,
            helper_count: 3,
            suspect_ms: 2_000,
            forget_ms: 7_200_000,
            heal_ms: 5_000,
            compare_ms: 2_000,
            publish_ms: 1_800_000,
            publish_change_ms: 0,
            publish_retry_ms: 10_000,
            rewrite_interval_ms: 10,
            snapshot_ms: 50,
            page_bytes: 65_536,
            page_ms: 250,
            page_bytes_per_s: 262_144,
        }
    }
}

impl MembershipSettings {
    /// Checks every value against its bounds.
    pub fn check(&self, checker: &mut Checker<'_>) {
        let ring_holds = (1..=65_536).contains(&self.ring_count);
        let problem = "must be from 1 to 65536";
        checker.require(ring_holds, "ring_count", self.ring_count, problem);
        let small_counts = [
            ("partner_count", self.partner_count),
            ("helper_count", self.helper_count),
        ];
        for (field, value) in small_counts {
            let holds = (1..=64).contains(&value);
            checker.require(holds, field, value, "must be from 1 to 64");
        }
        let times_ms = [
            ("gossip_ms", self.gossip_ms),
            ("idle_gossip_ms", self.idle_gossip_ms),
            ("partner_ms", self.partner_ms),
            ("suspect_ms", self.suspect_ms),
            ("forget_ms", self.forget_ms),
            ("heal_ms", self.heal_ms),
            ("compare_ms", self.compare_ms),
            ("publish_ms", self.publish_ms),
            ("publish_retry_ms", self.publish_retry_ms),
            ("snapshot_ms", self.snapshot_ms),
            ("page_ms", self.page_ms),
        ];
        for (field, value) in times_ms {
            let holds = (10..=86_400_000).contains(&value);
            checker.require(holds, field, value, "must be from 10 to 86400000");
        }
        checker.range("rewrite_interval_ms", self.rewrite_interval_ms, 1..=10_000);
        checker.range("publish_change_ms", self.publish_change_ms, 0..=86_400_000);
        let sizes_bytes = [
            ("gossip_bytes_per_s", self.gossip_bytes_per_s),
            ("gossip_burst_bytes", self.gossip_burst_bytes),
            ("page_bytes", u64::from(self.page_bytes)),
            ("page_bytes_per_s", self.page_bytes_per_s),
        ];
        for (field, value) in sizes_bytes {
            let holds = (1_024..=16_777_216).contains(&value);
            checker.require(holds, field, value, "must be from 1024 to 16777216");
        }
    }
}
