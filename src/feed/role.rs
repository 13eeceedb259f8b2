//! Decides which daemons of a fleet read so often that the fleet learns of each change in time.
//!
//! A waiting read can't be told from one that hangs on a silent connection. Two daemons of the fleet, the
//! watchers, wait for a short time only, so that soon after a silence one of them has a read that hangs
//! behind it. They notify the others of what they find. This holds for any distance between the reads of
//! the fleet, which starts and changes bring into step.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::membership::{tree_position, DaemonEntry, Fleet};
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
    /// Returns the role of a daemon. Watchers are the first daemon by hash, and the first one of
    /// another failure domain.
    pub fn new<'a>(fleet: &'a Fleet, own: &DaemonId) -> ReadRole {
        let staying = || {
            let daemons = fleet.daemons.values();
            daemons.filter(|daemon| !daemon.leaving)
        };
        let first_of = |daemons: &mut dyn Iterator<Item = &'a Arc<DaemonEntry>>| {
            daemons.min_by_key(|daemon| (tree_position(&daemon.daemon), &daemon.daemon))
        };
        let first = first_of(&mut staying());
        let Some(first) = first.filter(|_| fleet.daemons.contains_key(own)) else {
            return ReadRole::Watcher;
        };
        let mut elsewhere = staying().filter(|daemon| daemon.domain != first.domain);
        let mut others = staying().filter(|daemon| daemon.daemon != first.daemon);
        let second = first_of(&mut elsewhere).or_else(|| first_of(&mut others));
        let watches = first.daemon == *own || second.is_some_and(|second| second.daemon == *own);
        match watches {
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
