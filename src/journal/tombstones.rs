//! Tombstones: keys that were withdrawn while the log may be down. They are sent from daemon to
//! daemon and appended when the log answers again.
//!
//! The set only grows until the log holds a withdrawal, so the daemons need no agreement on it.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use crate::contract::{Change, Record, View};
use crate::membership::Fleet;
use crate::types::{new_operation_id, DaemonId, Incarnation, KeyHash, OperationId};

/// Maximum number of peers to which tombstones are sent at a time.
const SEND_LIMIT_COUNT: usize = 64;
/// Prefix of the author of a withdrawal that this daemon received from a peer.
const RELAYED_AUTHOR: &str = "relayed-withdrawal";

/// Delays and intervals of sending and appending tombstones.
#[derive(Debug, Clone, Copy)]
pub struct TombstoneTimings {
    /// Delay before a withdrawal is sent to peers, by which the log usually holds it.
    pub spread_delay: Duration,
    /// Interval between two sends to a peer that does not confirm.
    pub resend_interval: Duration,
    /// Interval between two appends of a withdrawal that is not read back.
    pub append_interval: Duration,
    /// Time by which each daemon of the fleet lengthens the longest delay before a withdrawal
    /// received from a peer is appended.
    pub relay_spread_per_daemon: Duration,
}

/// Shortest delay before a withdrawal received from a peer is appended. The daemon that accepted
/// it usually appends it in that time.
const RELAY_DELAY: Duration = Duration::from_secs(3);
/// Upper bound of the spread of appends, however large the fleet is.
const RELAY_SPREAD_LIMIT: Duration = Duration::from_secs(60);

/// Withdrawn keys that the log does not hold yet, and how far each peer has confirmed them.
#[derive(Debug)]
pub struct Tombstones {
    own: DaemonId,
    timings: TombstoneTimings,
    pending: BTreeMap<KeyHash, PendingTombstone>,
    /// Number of tombstones added so far. It never decreases.
    known_count: u64,
    peers: HashMap<DaemonId, PeerProgress>,
}

/// A withdrawal that the log does not hold yet.
#[derive(Debug)]
struct PendingTombstone {
    /// Value of `known_count` when this tombstone was added; orders the tombstones by age.
    ordinal: u64,
    /// Withdrawal that is appended to the log.
    record: Record,
    /// Whether an operator submitted the withdrawal to this daemon, which then sends it to every
    /// peer. Other daemons pass it on only to peers that ask them for records.
    is_local: bool,
    /// Time from which the withdrawal is sent to peers.
    spread_at: Instant,
    /// Time from which the withdrawal is appended, while the log is reachable.
    append_at: Instant,
}

/// Which tombstones a peer has confirmed, and when it is sent the next ones.
#[derive(Debug, Default)]
struct PeerProgress {
    /// Incarnation of the peer that the confirmations come from.
    incarnation: Incarnation,
    /// Tombstones up to this ordinal are confirmed by this incarnation of the peer.
    confirmed_count: u64,
    /// Time before which nothing is sent to the peer again.
    resend_at: Option<Instant>,
}

/// Tombstones that are to be sent to one peer.
#[derive(Debug, PartialEq, Eq)]
pub struct TombstoneSend {
    /// Peer that receives the tombstones.
    pub to: DaemonId,
    /// Hashes of the keys of all pending tombstones.
    pub hashes: Vec<KeyHash>,
    /// Number of tombstones added so far, which the peer's confirmation refers to.
    pub known_count: u64,
}

impl Tombstones {
    /// Creates an empty set.
    pub fn new(own: DaemonId, timings: TombstoneTimings) -> Tombstones {
        Tombstones {
            own,
            timings,
            pending: BTreeMap::new(),
            known_count: 0,
            peers: HashMap::new(),
        }
    }

    /// Adds an operator's withdrawal until the log holds it. `appended` says whether its append is
    /// already in progress.
    pub fn add(&mut self, now: Instant, key_hash: KeyHash, record: Record, appended: bool) {
        let append_at = match appended {
            true => now + self.timings.append_interval,
            false => now,
        };
        self.insert(now, key_hash, record, (true, append_at));
    }

    /// Adds a tombstone. For a key that has one, only notes whether it was submitted here.
    fn insert(
        &mut self,
        now: Instant,
        key_hash: KeyHash,
        record: Record,
        (is_local, append_at): (bool, Instant),
    ) {
        if let Some(pending) = self.pending.get_mut(&key_hash) {
            pending.is_local |= is_local;
            return;
        }
        self.known_count += 1;
        let pending = PendingTombstone {
            ordinal: self.known_count,
            record,
            is_local,
            spread_at: now + self.timings.spread_delay,
            append_at,
        };
        self.pending.insert(key_hash, pending);
    }

    /// Schedules another append of a withdrawal after one ended with an error. A second record of
    /// the same operation has no effect.
    pub fn append_failed(&mut self, now: Instant, operation: OperationId) {
        for pending in self.pending.values_mut() {
            if pending.record.operation == operation {
                pending.append_at = now + self.timings.resend_interval;
            }
        }
    }

    /// Schedules the appends after the log became reachable: at once for withdrawals submitted to
    /// this daemon, delayed for those received from peers.
    pub fn log_reachable_again(&mut self, now: Instant) {
        for key_hash in self.hashes() {
            let relay_at = now + self.relay_delay(&key_hash);
            let Some(pending) = self.pending.get_mut(&key_hash) else {
                continue;
            };
            pending.append_at = if pending.is_local { now } else { relay_at };
        }
    }

    /// Returns the delay before this daemon appends a withdrawal that it received from a peer.
    fn relay_delay(&self, key_hash: &KeyHash) -> Duration {
        let daemon_count = self.peers.len() as u32 + 1;
        let longest = self
            .timings
            .relay_spread_per_daemon
            .saturating_mul(daemon_count);
        let mut hasher = DefaultHasher::new();
        (&self.own, key_hash).hash(&mut hasher);
        let share = hasher.finish() as f64 / u64::MAX as f64;
        RELAY_DELAY + longest.min(RELAY_SPREAD_LIMIT).mul_f64(share)
    }

    /// Adds a withdrawal that a peer sent, to be appended after a delay.
    pub fn receive(&mut self, now: Instant, key_hash: KeyHash) {
        let record = Record {
            operation: new_operation_id(),
            base: None,
            author: format!("{RELAYED_AUTHOR}:{}", self.own),
            at_ms: 0,
            change: Change::WithdrawKey { key_hash },
        };
        let append_at = now + self.relay_delay(&key_hash);
        self.insert(now, key_hash, record, (false, append_at));
    }

    /// Removes the withdrawals that are no longer tombstones of the view, because the log holds
    /// them.
    pub fn remove_durable(&mut self, view: &View) {
        self.pending
            .retain(|key_hash, _| view.tombstones.contains(key_hash));
    }

    /// Returns the number of tombstones added so far.
    pub fn known_count(&self) -> u64 {
        self.known_count
    }

    /// Returns the hashes of the keys of all pending tombstones.
    pub fn hashes(&self) -> Vec<KeyHash> {
        self.pending.keys().copied().collect()
    }

    /// Replaces the known peers by those of the fleet. A new incarnation of a peer has confirmed
    /// nothing.
    pub fn update_fleet(&mut self, fleet: &Fleet) {
        self.peers
            .retain(|daemon, _| fleet.daemons.contains_key(daemon));
        for (daemon, entry) in &fleet.daemons {
            if *daemon == self.own {
                continue;
            }
            let progress = self.peers.entry(daemon.clone()).or_default();
            if progress.incarnation != entry.incarnation {
                *progress = PeerProgress {
                    incarnation: entry.incarnation,
                    ..Default::default()
                };
            }
        }
    }

    /// Records whether a peer confirmed the tombstones that it was sent.
    pub fn record_confirmation(&mut self, peer: &DaemonId, known_count: u64, confirmed: bool) {
        if let Some(progress) = self.peers.get_mut(peer) {
            if confirmed {
                progress.confirmed_count = progress.confirmed_count.max(known_count);
            }
        }
    }

    /// Returns how many daemons know a withdrawal and how many there are, both counts including
    /// this one.
    pub fn confirmation_counts(&self, key_hash: &KeyHash) -> (usize, usize) {
        let ordinal = self
            .pending
            .get(key_hash)
            .map_or(u64::MAX, |pending| pending.ordinal);
        let confirms = |progress: &&PeerProgress| progress.confirmed_count >= ordinal;
        let confirmed_count = self.peers.values().filter(confirms).count();
        (confirmed_count + 1, self.peers.len() + 1)
    }

    /// Returns the tombstones that are to be sent now, for each peer that lacks one submitted here.
    pub fn due_sends(&mut self, now: Instant) -> Vec<TombstoneSend> {
        let due = |pending: &&PendingTombstone| pending.is_local && pending.spread_at <= now;
        let Some(wanted) = self
            .pending
            .values()
            .filter(due)
            .map(|pending| pending.ordinal)
            .max()
        else {
            return Vec::new();
        };
        let hashes = self.hashes();
        let mut sends = Vec::new();
        for (daemon, progress) in &mut self.peers {
            let is_waiting = progress.resend_at.is_some_and(|at| at > now);
            if progress.confirmed_count >= wanted || is_waiting || sends.len() >= SEND_LIMIT_COUNT {
                continue;
            }
            progress.resend_at = Some(now + self.timings.resend_interval);
            sends.push(TombstoneSend {
                to: daemon.clone(),
                hashes: hashes.clone(),
                known_count: self.known_count,
            });
        }
        sends.sort_by(|a, b| a.to.cmp(&b.to));
        sends
    }

    /// Returns the withdrawals that are to be appended now. Called only while the log is reachable.
    pub fn due_appends(&mut self, now: Instant) -> Vec<(OperationId, Record)> {
        let mut appends = Vec::new();
        for pending in self.pending.values_mut() {
            if pending.append_at > now {
                continue;
            }
            pending.append_at = now + self.timings.append_interval;
            appends.push((pending.record.operation, pending.record.clone()));
        }
        appends
    }

    /// Returns when sends or appends are to be checked again; `None` without pending tombstones.
    pub fn next_check_at(&self, now: Instant) -> Option<Instant> {
        if self.pending.is_empty() {
            return None;
        }
        let waiting = self.pending.values().map(|pending| pending.spread_at);
        let soonest = waiting.filter(|at| *at > now).min();
        let resend_at = now + self.timings.resend_interval;
        Some(soonest.map_or(resend_at, |at| at.min(resend_at)))
    }
}
