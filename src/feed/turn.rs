//! Spreads the starts of the fleet's reads over time.
//!
//! A waiting read can't be told from one that hangs on a silent connection. A new record ends the
//! reads of all daemons at once, so without turns their next reads would all hang together, and no
//! daemon would learn of a change until their wait is over. With turns, some daemon begins a read at
//! least every `FeedSettings::turn_ms`, and notifies the others of what it finds.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::membership::{tree_position, Fleet};
use crate::settings::feed::FeedSettings;
use crate::types::DaemonId;

/// Daemons that share a turn, so that it is not lost with one of them.
const DAEMONS_PER_TURN_COUNT: u32 = 2;

/// Place of a daemon in the order in which the daemons of the fleet begin their reads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadTurn {
    /// Daemons that come before this one; less than `daemon_count` unless that is 0.
    pub position: u32,
    /// Daemons of the fleet; 0 while the fleet is not known.
    pub daemon_count: u32,
}

impl ReadTurn {
    /// Returns the place of a daemon. The order is by hash, so that neighbours are in different
    /// failure domains.
    pub fn new(fleet: &Fleet, own: &DaemonId) -> ReadTurn {
        if !fleet.daemons.contains_key(own) {
            return ReadTurn::default();
        }
        let own_place = (tree_position(own), own);
        let before = fleet.daemons.keys();
        let before = before.filter(|daemon| (tree_position(daemon), *daemon) < own_place);
        ReadTurn {
            position: before.count() as u32,
            daemon_count: fleet.daemons.len() as u32,
        }
    }

    /// Returns the longest wait of a read. It is shorter in a fleet that is too small to begin a
    /// read in every turn otherwise.
    pub fn longest_wait(self, settings: &FeedSettings) -> Duration {
        let wait = Duration::from_millis(settings.wait_ms);
        match self.daemon_count {
            0 => wait,
            count => wait.min(Duration::from_millis(settings.turn_ms) * count),
        }
    }

    /// Returns the wait of a read that may begin at the same moment as those of the other daemons:
    /// until this daemon's own turn. Daemons beyond those that the turns need wait longest.
    pub fn first_wait(self, settings: &FeedSettings) -> Duration {
        let wait = self.longest_wait(settings);
        let turn = Duration::from_millis(settings.turn_ms);
        let turn_count = wait.as_nanos().div_ceil(turn.as_nanos()) as u32;
        if self.position >= turn_count * DAEMONS_PER_TURN_COUNT || self.daemon_count == 0 {
            return wait;
        }
        wait * (self.position % turn_count + 1) / turn_count
    }
}

/// The present turn of this daemon, passed from the feed duty to the thread that reads.
#[derive(Debug, Default)]
pub struct SharedTurn(AtomicU64);

impl SharedTurn {
    /// Replaces the turn.
    pub fn set(&self, turn: ReadTurn) {
        let packed = u64::from(turn.position) << u32::BITS | u64::from(turn.daemon_count);
        self.0.store(packed, Ordering::Relaxed);
    }

    /// Returns the turn.
    pub fn get(&self) -> ReadTurn {
        let packed = self.0.load(Ordering::Relaxed);
        ReadTurn {
            position: (packed >> u32::BITS) as u32,
            daemon_count: packed as u32,
        }
    }
}
