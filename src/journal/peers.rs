//! When the view was last known to be current, and when peers are asked for records instead.

use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::membership::Fleet;
use crate::types::DaemonId;

/// Freshness of the view, and the peers that can give it.
#[derive(Debug)]
pub struct PeerReads {
    own: DaemonId,
    /// Without a current read of the log for this long, peers are asked.
    ask_after: Duration,
    /// Wait between two questions.
    ask_interval: Duration,
    /// Without any contact for this long, the view is no longer usable.
    stale_limit: Duration,
    rng: ChaCha8Rng,
    /// Daemons that may be asked: all but this one and those that leave.
    peers: Vec<DaemonId>,
    /// When the newest read was sent that showed the end of the log.
    log_current_at: Option<Instant>,
    /// When the newest question was sent that the log or a peer answered to the end.
    current_at: Option<Instant>,
    asked_at: Option<Instant>,
    /// Whether the last read failed, so that there is nothing to wait for.
    log_failed: bool,
    started_at: Option<Instant>,
}

impl PeerReads {
    /// No contact yet.
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

    /// Takes the fleet as it is now.
    pub fn update_fleet(&mut self, fleet: &Fleet) {
        self.peers.clear();
        for (daemon, entry) in &fleet.daemons {
            if *daemon == self.own || entry.leaving {
                continue;
            }
            self.peers.push(daemon.clone());
        }
    }

    /// A read of the log that was sent then showed its end.
    pub fn log_read_to_end(&mut self, asked_at: Instant) {
        self.log_current_at = self.log_current_at.max(Some(asked_at));
        self.current_at = self.current_at.max(Some(asked_at));
    }

    /// Notes whether the last read of the log failed.
    pub fn set_log_failed(&mut self, failed: bool) {
        self.log_failed = failed;
    }

    /// A peer with a usable view answered a question that was sent then.
    pub fn peer_read_to_end(&mut self, asked_at: Instant) {
        self.current_at = self.current_at.max(Some(asked_at));
    }

    /// Whether requests may rely on the view.
    ///
    /// A daemon that knows no other daemon is the only place where a withdrawal can be made, so
    /// it goes on while the log is down.
    pub fn is_usable(&self, now: Instant) -> bool {
        let Some(current_at) = self.current_at else {
            return false;
        };
        self.peers.is_empty() || now.saturating_duration_since(current_at) <= self.stale_limit
    }

    /// The peer to be asked now, if one is.
    pub fn take_due_peer(&mut self, now: Instant) -> Option<DaemonId> {
        if self.next_request_at(now).is_none_or(|at| at > now) {
            return None;
        }
        let index = self.rng.random_range(0..self.peers.len());
        self.asked_at = Some(now);
        Some(self.peers[index].clone())
    }

    /// There is more to be asked for at once.
    pub fn ask_at_once(&mut self) {
        self.asked_at = None;
    }

    /// When a peer is to be asked, if the log stays silent.
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

    /// When the view stops being usable without further contact.
    pub fn stale_at(&self) -> Option<Instant> {
        if self.peers.is_empty() {
            return None;
        }
        self.current_at.map(|at| at + self.stale_limit)
    }
}
