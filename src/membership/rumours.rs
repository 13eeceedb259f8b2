//! Queue of rumours: daemons with news to be spread, the least often sent first.

use std::collections::BTreeMap;

use crate::types::DaemonId;

/// How often one piece of news was sent.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SpreadCounts {
    /// Messages that it was sent in.
    sent_count: u32,
    /// Times a peer already knew it.
    known_count: u32,
}

/// News to be spread. A piece of news is dropped after a number of sends, or after a number of
/// peers that already knew it.
#[derive(Debug, Default)]
pub(super) struct Rumours {
    /// Queued news, by the daemon that it is about.
    spread: BTreeMap<DaemonId, SpreadCounts>,
}

impl Rumours {
    /// Queues news of a daemon, in place of earlier news of it.
    pub(super) fn add(&mut self, daemon: DaemonId) {
        self.spread.insert(daemon, SpreadCounts::default());
    }

    pub(super) fn is_empty(&self) -> bool {
        self.spread.is_empty()
    }

    /// Returns up to `count` daemons whose news is sent now, and counts them as sent. `limit_count`
    /// bounds how often each piece of news is sent.
    pub(super) fn take(&mut self, count: usize, limit_count: u32) -> Vec<DaemonId> {
        let mut names: Vec<(SpreadCounts, DaemonId)> = self
            .spread
            .iter()
            .map(|(daemon, counts)| (*counts, daemon.clone()))
            .collect();
        names.sort();
        names.truncate(count);
        for (counts, daemon) in &names {
            if counts.sent_count + 1 >= limit_count {
                self.spread.remove(daemon);
            } else if let Some(counts) = self.spread.get_mut(daemon) {
                counts.sent_count += 1;
            }
        }
        names.into_iter().map(|(_, daemon)| daemon).collect()
    }

    /// Records that a peer already knew this news.
    pub(super) fn mark_known(&mut self, daemon: &DaemonId) {
        let Some(counts) = self.spread.get_mut(daemon) else {
            return;
        };
        counts.known_count += 1;
        if counts.known_count >= KNOWN_LIMIT_COUNT {
            self.spread.remove(daemon);
        }
    }

    /// Records that a peer already knew all queued news.
    pub(super) fn mark_all_known(&mut self) {
        let names: Vec<DaemonId> = self.spread.keys().cloned().collect();
        for daemon in names {
            self.mark_known(&daemon);
        }
    }
}

/// Returns how often a piece of news is sent in a fleet of this size.
pub(super) fn send_limit_count(fleet_count: usize) -> u32 {
    let doublings = usize::BITS - fleet_count.leading_zeros();
    SENDS_PER_DOUBLING * doublings.max(1)
}

/// Sends of a piece of news for each doubling of the fleet.
const SENDS_PER_DOUBLING: u32 = 2;
/// Peers that already knew a piece of news after which it is dropped.
const KNOWN_LIMIT_COUNT: u32 = 2;
