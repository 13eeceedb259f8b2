//! Daemons of which there is news to tell, the least told first.

use std::collections::BTreeMap;

use crate::types::DaemonId;

/// News to tell.
#[derive(Debug, Default)]
pub(super) struct Rumours {
    /// How often the news of a daemon was told.
    told_counts: BTreeMap<DaemonId, u32>,
}

impl Rumours {
    /// There is news of a daemon.
    pub(super) fn add(&mut self, daemon: DaemonId) {
        self.told_counts.insert(daemon, 0);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.told_counts.is_empty()
    }

    /// Names to tell now, and counts them as told. `limit_count` bounds how often each is told.
    pub(super) fn take(&mut self, count: usize, limit_count: u32) -> Vec<DaemonId> {
        let mut names: Vec<(u32, DaemonId)> = self
            .told_counts
            .iter()
            .map(|(daemon, told)| (*told, daemon.clone()))
            .collect();
        names.sort();
        names.truncate(count);
        for (told, daemon) in &names {
            if told + 1 >= limit_count {
                self.told_counts.remove(daemon);
            } else {
                self.told_counts.insert(daemon.clone(), told + 1);
            }
        }
        names.into_iter().map(|(_, daemon)| daemon).collect()
    }
}

/// How often news is told in a fleet of this size.
pub(super) fn told_limit_count(fleet_count: usize) -> u32 {
    let doublings = usize::BITS - fleet_count.leading_zeros();
    TOLD_PER_DOUBLING * doublings.max(1)
}

const TOLD_PER_DOUBLING: u32 = 2;
