//! Daemons of which there is news to tell, the least told first.

use std::collections::BTreeMap;

use crate::types::DaemonId;

/// How often one piece of news was told.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SpreadCounts {
    sent_count: u32,
    /// To peers that knew it already.
    known_count: u32,
}

/// News to tell. It ends after peers that knew it already, or after a bound.
#[derive(Debug, Default)]
pub(super) struct Rumours {
    spread: BTreeMap<DaemonId, SpreadCounts>,
}

impl Rumours {
    /// There is news of a daemon.
    pub(super) fn add(&mut self, daemon: DaemonId) {
        self.spread.insert(daemon, SpreadCounts::default());
    }

    pub(super) fn is_empty(&self) -> bool {
        self.spread.is_empty()
    }

    /// Names to tell now, and counts them as told. `limit_count` bounds how often each is told.
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

    /// A peer knew this news already.
    pub(super) fn mark_known(&mut self, daemon: &DaemonId) {
        let Some(counts) = self.spread.get_mut(daemon) else {
            return;
        };
        counts.known_count += 1;
        if counts.known_count >= KNOWN_LIMIT_COUNT {
            self.spread.remove(daemon);
        }
    }

    /// A peer knows all that this daemon knows.
    pub(super) fn mark_all_known(&mut self) {
        let names: Vec<DaemonId> = self.spread.keys().cloned().collect();
        for daemon in names {
            self.mark_known(&daemon);
        }
    }
}

/// How often news is told in a fleet of this size.
pub(super) fn send_limit_count(fleet_count: usize) -> u32 {
    let doublings = usize::BITS - fleet_count.leading_zeros();
    SENDS_PER_DOUBLING * doublings.max(1)
}

const SENDS_PER_DOUBLING: u32 = 2;
/// News ends after this many peers that knew it already.
const KNOWN_LIMIT_COUNT: u32 = 2;
