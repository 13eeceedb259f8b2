//! Daemons of which there is news to tell, the least told first.

use std::collections::BTreeMap;

use crate::types::DaemonId;

/// How often one piece of news was told.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Telling {
    told_count: u32,
    /// To peers that knew it already.
    known_count: u32,
}

/// News to tell. It ends after peers that knew it already, or after a bound.
#[derive(Debug, Default)]
pub(super) struct Rumours {
    tellings: BTreeMap<DaemonId, Telling>,
}

impl Rumours {
    /// There is news of a daemon.
    pub(super) fn add(&mut self, daemon: DaemonId) {
        self.tellings.insert(daemon, Telling::default());
    }

    pub(super) fn is_empty(&self) -> bool {
        self.tellings.is_empty()
    }

    /// Names to tell now, and counts them as told. `limit_count` bounds how often each is told.
    pub(super) fn take(&mut self, count: usize, limit_count: u32) -> Vec<DaemonId> {
        let mut names: Vec<(Telling, DaemonId)> = self
            .tellings
            .iter()
            .map(|(daemon, telling)| (*telling, daemon.clone()))
            .collect();
        names.sort();
        names.truncate(count);
        for (telling, daemon) in &names {
            if telling.told_count + 1 >= limit_count {
                self.tellings.remove(daemon);
            } else if let Some(telling) = self.tellings.get_mut(daemon) {
                telling.told_count += 1;
            }
        }
        names.into_iter().map(|(_, daemon)| daemon).collect()
    }

    /// A peer knew this news already.
    pub(super) fn known(&mut self, daemon: &DaemonId) {
        let Some(telling) = self.tellings.get_mut(daemon) else {
            return;
        };
        telling.known_count += 1;
        if telling.known_count >= KNOWN_LIMIT_COUNT {
            self.tellings.remove(daemon);
        }
    }

    /// A peer knows all that this daemon knows.
    pub(super) fn all_known(&mut self) {
        let names: Vec<DaemonId> = self.tellings.keys().cloned().collect();
        for daemon in names {
            self.known(&daemon);
        }
    }
}

/// How often news is told in a fleet of this size.
pub(super) fn told_limit_count(fleet_count: usize) -> u32 {
    let doublings = usize::BITS - fleet_count.leading_zeros();
    TOLD_PER_DOUBLING * doublings.max(1)
}

const TOLD_PER_DOUBLING: u32 = 2;
/// News ends after this many peers that knew it already.
const KNOWN_LIMIT_COUNT: u32 = 2;
