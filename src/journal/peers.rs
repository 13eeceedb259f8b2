//! Tracks how current the view is, and decides when peers are asked for records because the log
//! does not answer.

use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::membership::Fleet;
use crate::types::DaemonId;

/// Times of the last complete reads from the log and from peers, and the peers that can be asked.
#[derive(Debug)]
pub struct PeerReads {
    own: DaemonId,
    /// Peers are asked once the newest complete read of the log is older than this.
    ask_after: Duration,
    /// Minimum time between two requests to peers.
    ask_interval: Duration,
    /// The view becomes unusable once its newest complete read is older than this.
    stale_limit: Duration,
    rng: ChaCha8Rng,
    /// Daemons that may be asked: all except this one and those that are leaving.
    peers: Vec<DaemonId>,
    /// Time at which the newest read that reached the end of the log was sent.
    log_current_at: Option<Instant>,
    /// Time at which the newest read that reached the end of the log or of a peer's records was
    /// sent.
    current_at: Option<Instant>,
    /// Time of the last request to a peer; `None` when the next one need not wait for the interval.
    asked_at: Option<Instant>,
    /// Whether the last read of the log failed, so that peers are asked without waiting.
    log_failed: bool,
    /// Time of the first check, from which the silence of the log is counted before any read.
    started_at: Option<Instant>,
}

impl PeerReads {
    /// Creates the state of a daemon that has completed no read.
    pub fn new(
        own: DaemonId,
        ask_after: Duration,
        ask_interval: Duration,
        stale_limit: Duration,
        rng: ChaCha8Rng,
    ) -> PeerReads {
        PeerReads {
            own,
            ask_after,
            ask_interval,
            stale_limit,
            rng,
            peers: Vec::new(),
            log_current_at: None,
            current_at: None,
            asked_at: None,
            log_failed: false,
            started_at: None,
        }
    }

    /// Replaces the peers that may be asked by those of the fleet.
    pub fn update_fleet(&mut self, fleet: &Fleet) {
        self.peers.clear();
        for (daemon, entry) in &fleet.daemons {
            if *daemon == self.own || entry.leaving {
                continue;
            }
            self.peers.push(daemon.clone());
        }
    }

    /// Records that a read of the log, sent at `asked_at`, reached the end of the stream.
    pub fn log_read_to_end(&mut self, asked_at: Instant) {
        self.log_current_at = self.log_current_at.max(Some(asked_at));
        self.current_at = self.current_at.max(Some(asked_at));
    }

    /// Records whether the last read of the log failed.
    pub fn set_log_failed(&mut self, failed: bool) {
        self.log_failed = failed;
    }

    /// Records that a request to a peer with a usable view, sent at `asked_at`, reached the end of
    /// its records.
    pub fn peer_read_to_end(&mut self, asked_at: Instant) {
        self.current_at = self.current_at.max(Some(asked_at));
    }

    /// Returns whether requests may rely on the view.
    ///
    /// A daemon that knows no other daemon is the only one through which a key can be withdrawn, so
    /// its view stays usable while the log is down.
    pub fn is_usable(&self, now: Instant) -> bool {
        let Some(current_at) = self.current_at else {
            return false;
        };
        self.peers.is_empty() || now.saturating_duration_since(current_at) <= self.stale_limit
    }

    /// Returns the peer to be asked now, chosen at random, and records the request; `None` when
    /// none is due.
    pub fn take_due_peer(&mut self, now: Instant) -> Option<DaemonId> {
        if self.next_request_at(now).is_none_or(|at| at > now) {
            return None;
        }
        let index = self.rng.random_range(0..self.peers.len());
        self.asked_at = Some(now);
        Some(self.peers[index].clone())
    }

    /// Makes the next request due without the usual interval, because the last one did not reach
    /// the end of the records.
    pub fn ask_at_once(&mut self) {
        self.asked_at = None;
    }

    /// Returns when the next request to a peer is due, if no read of the log completes before.
    /// `None` when there is no peer.
    pub fn next_request_at(&mut self, now: Instant) -> Option<Instant> {
        let started_at = *self.started_at.get_or_insert(now);
        if self.peers.is_empty() {
            return None;
        }
        let silent_at = match self.log_failed {
            true => started_at,
            false => self.log_current_at.unwrap_or(started_at) + self.ask_after,
        };
        let again_at = self.asked_at.map(|at| at + self.ask_interval);
        Some(again_at.map_or(silent_at, |at| at.max(silent_at)))
    }

    /// Returns when the view becomes unusable without another complete read. `None` when it does
    /// not.
    pub fn stale_at(&self) -> Option<Instant> {
        if self.peers.is_empty() {
            return None;
        }
        self.current_at.map(|at| at + self.stale_limit)
    }
}
