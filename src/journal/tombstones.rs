//! Keys withdrawn without the log: spread from daemon to daemon, and appended when it is back.
//!
//! The set only grows until the log holds a withdrawal, so it needs no agreement.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use crate::contract::{Change, Record, View};
use crate::membership::Fleet;
use crate::types::{new_operation_id, DaemonId, Incarnation, KeyHash, OperationId};

/// Most peers told at a time.
const SEND_LIMIT_COUNT: usize = 64;
/// Author of a withdrawal that this daemon only heard of.
const RELAYED_AUTHOR: &str = "relayed-withdrawal";

/// How long tombstones wait for what.
#[derive(Debug, Clone, Copy)]
pub struct TombstoneWaits {
    /// Before a withdrawal is spread, in which the log usually holds it already.
    pub spread_after: Duration,
    /// Between two calls to a peer that does not confirm.
    pub repeat: Duration,
    /// Between two appends of one withdrawal that is not read back.
    pub read_back: Duration,
    /// Longest wait before a withdrawal of another daemon is appended, for each daemon.
    pub relay_spread: Duration,
}

/// Wait in which the daemon that took a withdrawal appends it itself.
const RELAY_AFTER: Duration = Duration::from_secs(3);
/// Longest wait that the size of the fleet may cause.
const RELAY_SPREAD_LIMIT: Duration = Duration::from_secs(60);

/// The tombstones of this daemon and who has confirmed them.
#[derive(Debug)]
pub struct Tombstones {
    own: DaemonId,
    waits: TombstoneWaits,
    held: BTreeMap<KeyHash, Held>,
    /// Grows by one with every tombstone.
    known_count: u64,
    peers: HashMap<DaemonId, PeerMark>,
}

#[derive(Debug)]
struct Held {
    /// Its place in the order in which they became known.
    ordinal: u64,
    /// What is appended when the log is back.
    record: Record,
    /// Whether an operator gave it to this daemon, which then tells every peer. Others hear of
    /// it when they ask for records.
    own: bool,
    spread_at: Instant,
    append_at: Instant,
}

#[derive(Debug, Default)]
struct PeerMark {
    incarnation: Incarnation,
    /// Tombstones up to this ordinal are confirmed by this life of the peer.
    confirmed_count: u64,
    /// No new call before then.
    again_at: Option<Instant>,
}

/// Tombstones for one peer.
#[derive(Debug, PartialEq, Eq)]
pub struct TombstoneSend {
    /// The peer.
    pub to: DaemonId,
    /// All tombstones held.
    pub hashes: Vec<KeyHash>,
    /// How many this daemon has known so far.
    pub known_count: u64,
}

impl Tombstones {
    /// None yet.
    pub fn new(own: DaemonId, waits: TombstoneWaits) -> Tombstones {
        Tombstones {
            own,
            waits,
            held: BTreeMap::new(),
            known_count: 0,
            peers: HashMap::new(),
        }
    }

    /// Holds an operator's withdrawal until the log has it. `appended` says whether its append
    /// is under way.
    pub fn add(&mut self, now: Instant, key_hash: KeyHash, record: Record, appended: bool) {
        let append_at = match appended {
            true => now + self.waits.read_back,
            false => now,
        };
        self.hold(now, key_hash, record, (true, append_at));
    }

    fn hold(
        &mut self,
        now: Instant,
        key_hash: KeyHash,
        record: Record,
        (own, append_at): (bool, Instant),
    ) {
        if let Some(held) = self.held.get_mut(&key_hash) {
            held.own |= own;
            return;
        }
        self.known_count += 1;
        let held = Held {
            ordinal: self.known_count,
            record,
            own,
            spread_at: now + self.waits.spread_after,
            append_at,
        };
        self.held.insert(key_hash, held);
    }

    /// The append of a withdrawal ended with an error: it is sent again, which is harmless.
    pub fn append_failed(&mut self, now: Instant, operation: OperationId) {
        for held in self.held.values_mut() {
            if held.record.operation == operation {
                held.append_at = now + self.waits.repeat;
            }
        }
    }

    /// The log answers again: the daemon that took a withdrawal appends it first.
    pub fn log_reachable_again(&mut self, now: Instant) {
        for key_hash in self.hashes() {
            let relay_at = now + self.relay_wait(&key_hash);
            let Some(held) = self.held.get_mut(&key_hash) else {
                continue;
            };
            held.append_at = if held.own { now } else { relay_at };
        }
    }

    fn relay_wait(&self, key_hash: &KeyHash) -> Duration {
        let daemons_count = self.peers.len() as u32 + 1;
        let longest = self.waits.relay_spread.saturating_mul(daemons_count);
        let mut hasher = DefaultHasher::new();
        (&self.own, key_hash).hash(&mut hasher);
        let share = hasher.finish() as f64 / u64::MAX as f64;
        RELAY_AFTER + longest.min(RELAY_SPREAD_LIMIT).mul_f64(share)
    }

    /// Holds a withdrawal that a peer told of.
    pub fn receive(&mut self, now: Instant, key_hash: KeyHash) {
        let record = Record {
            operation: new_operation_id(),
            base: None,
            author: format!("{RELAYED_AUTHOR}:{}", self.own),
            at_ms: 0,
            change: Change::WithdrawKey { key_hash },
        };
        let append_at = now + self.relay_wait(&key_hash);
        self.hold(now, key_hash, record, (false, append_at));
    }

    /// Forgets the withdrawals that the log holds.
    pub fn remove_durable(&mut self, view: &View) {
        self.held
            .retain(|key_hash, _| view.tombstones.contains(key_hash));
    }

    /// How many tombstones this daemon has known so far.
    pub fn known_count(&self) -> u64 {
        self.known_count
    }

    /// Every tombstone held.
    pub fn hashes(&self) -> Vec<KeyHash> {
        self.held.keys().copied().collect()
    }

    /// Takes the fleet as it is now. A new life of a peer has confirmed nothing.
    pub fn update_fleet(&mut self, fleet: &Fleet) {
        self.peers
            .retain(|daemon, _| fleet.daemons.contains_key(daemon));
        for (daemon, entry) in &fleet.daemons {
            if *daemon == self.own {
                continue;
            }
            let mark = self.peers.entry(daemon.clone()).or_default();
            if mark.incarnation != entry.incarnation {
                *mark = PeerMark {
                    incarnation: entry.incarnation,
                    ..Default::default()
                };
            }
        }
    }

    /// Notes whether a peer confirmed what it was sent.
    pub fn record_confirmation(&mut self, peer: &DaemonId, known_count: u64, confirmed: bool) {
        if let Some(mark) = self.peers.get_mut(peer) {
            if confirmed {
                mark.confirmed_count = mark.confirmed_count.max(known_count);
            }
        }
    }

    /// How many daemons have a withdrawal, and how many there are, this one included.
    pub fn confirmation_counts(&self, key_hash: &KeyHash) -> (usize, usize) {
        let ordinal = self
            .held
            .get(key_hash)
            .map_or(u64::MAX, |held| held.ordinal);
        let confirms = |mark: &&PeerMark| mark.confirmed_count >= ordinal;
        let confirmed_count = self.peers.values().filter(confirms).count();
        (confirmed_count + 1, self.peers.len() + 1)
    }

    /// What is to be sent now.
    pub fn due_sends(&mut self, now: Instant) -> Vec<TombstoneSend> {
        let due = |held: &&Held| held.own && held.spread_at <= now;
        let Some(wanted) = self
            .held
            .values()
            .filter(due)
            .map(|held| held.ordinal)
            .max()
        else {
            return Vec::new();
        };
        let hashes = self.hashes();
        let mut sendings = Vec::new();
        for (daemon, mark) in &mut self.peers {
            let waits = mark.again_at.is_some_and(|at| at > now);
            if mark.confirmed_count >= wanted || waits || sendings.len() >= SEND_LIMIT_COUNT {
                continue;
            }
            mark.again_at = Some(now + self.waits.repeat);
            sendings.push(TombstoneSend {
                to: daemon.clone(),
                hashes: hashes.clone(),
                known_count: self.known_count,
            });
        }
        sendings.sort_by(|a, b| a.to.cmp(&b.to));
        sendings
    }

    /// Withdrawals to be appended now that the log answers.
    pub fn due_appends(&mut self, now: Instant) -> Vec<(OperationId, Record)> {
        let mut appends = Vec::new();
        for held in self.held.values_mut() {
            if held.append_at > now {
                continue;
            }
            held.append_at = now + self.waits.read_back;
            appends.push((held.record.operation, held.record.clone()));
        }
        appends
    }

    /// When there is something to do again; none without tombstones.
    pub fn next_at(&self, now: Instant) -> Option<Instant> {
        if self.held.is_empty() {
            return None;
        }
        let waiting = self.held.values().map(|held| held.spread_at);
        let soonest = waiting.filter(|at| *at > now).min();
        let again_at = now + self.waits.repeat;
        Some(soonest.map_or(again_at, |at| at.min(again_at)))
    }
}
