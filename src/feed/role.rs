//! Decides which daemons of a fleet read so often that the fleet learns of each change in time.
//!
//! A waiting read can't be told from one that hangs on a silent connection. Two daemons of the fleet, the
//! watchers, wait for a short time only, so that soon after a silence one of them has a read that hangs
//! behind it. They notify the others of what they find. This holds for any distance between the reads of
//! the fleet, which starts and changes bring into step.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use smallvec::SmallVec;

use crate::membership::{tree_position, Fleet};
use crate::settings::feed::FeedSettings;
use crate::types::DaemonId;

/// Part of a daemon in the reads of its fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ReadRole {
    /// Waits for a short time, on behalf of the fleet. So does a daemon that does not know its fleet.
    #[default]
    Watcher,
    /// Waits for a long time, since every read has a price.
    Follower,
}

impl ReadRole {
    /// Returns the role of a daemon.
    pub fn new(fleet: &Fleet, own: &DaemonId) -> ReadRole {
        let watchers = watchers(fleet);
        let is_unknown = watchers.is_empty() || !fleet.daemons.contains_key(own);
        match is_unknown || watchers.contains(&own) {
            true => ReadRole::Watcher,
            false => ReadRole::Follower,
        }
    }

    /// Returns the longest wait of a read.
    pub fn longest_wait(self, settings: &FeedSettings) -> Duration {
        Duration::from_millis(match self {
            ReadRole::Watcher => settings.wait_ms.min(settings.watch_ms),
            ReadRole::Follower => settings.wait_ms,
        })
    }
}

/// Returns the watchers of a fleet: the first daemon by hash, and the first one of another failure
/// domain, or of the same one if there is no other.
pub fn watchers(fleet: &Fleet) -> SmallVec<[&DaemonId; 2]> {
    let daemons = fleet.daemons.values().filter(|daemon| !daemon.leaving);
    let mut ranked: Vec<_> = daemons
        .map(|daemon| (tree_position(&daemon.daemon), daemon))
        .collect();
    ranked.sort_unstable_by_key(|(position, daemon)| (*position, &daemon.daemon));
    let Some((_, first)) = ranked.first() else {
        return SmallVec::new();
    };
    let elsewhere = ranked
        .iter()
        .find(|(_, daemon)| daemon.domain != first.domain);
    let second = elsewhere.or(ranked.get(1));
    let found = [Some(first), second.map(|(_, daemon)| daemon)];
    let found = found.into_iter().flatten();
    found.map(|daemon| &daemon.daemon).collect()
}

/// The present role of this daemon, passed from the feed duty to the thread that reads.
#[derive(Debug, Default)]
pub struct SharedRole {
    /// Whether the daemon is a follower.
    follows: AtomicBool,
}

impl SharedRole {
    /// Replaces the role.
    pub fn set(&self, role: ReadRole) {
        self.follows
            .store(role == ReadRole::Follower, Ordering::Relaxed);
    }

    /// Returns the role.
    pub fn get(&self) -> ReadRole {
        match self.follows.load(Ordering::Relaxed) {
            true => ReadRole::Follower,
            false => ReadRole::Watcher,
        }
    }
}
