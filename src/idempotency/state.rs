//! Decisions of a home daemon: whether a request may run under its caller's idempotency key.
//!
//! A key is granted only if this home would know of an earlier use. It knows every use since
//! `known_since_ms`, provided that it has been the key's home without interruption. A key that is a
//! UUID of version 7 contains the time at which it was issued; any other key may have been in use
//! for as long as uses are kept. Clocks of callers and daemons may differ by `margin_ms`.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::home::{claim_key, ClaimKey, DaemonScore, HomeMap};
use super::message::IdempotencyEvent;
use crate::link::{ClaimAnswer, ClaimRequest, ClaimStep};
use crate::settings::idempotency::IdempotencySettings;
use crate::types::{id_time_ms, parse_id, DaemonId, RequestId};

/// Most departures of daemons that are remembered.
const DEPARTURE_LIMIT_COUNT: usize = 4096;
/// Value of the version field in a UUID of version 7.
const UUID_VERSION_7: u128 = 7;
/// Position of the version field in a UUID.
const UUID_VERSION_SHIFT_BITS: u32 = 76;

/// State from which a home daemon decides on claims of keys.
pub struct IdempotencyState {
    /// How long uses are kept, and by how much clocks may differ.
    settings: IdempotencySettings,
    /// Id of this daemon.
    own_daemon: DaemonId,
    /// Hash of this daemon's name, for its scores for keys.
    own_score: DaemonScore,
    /// Daemons that may be homes at present.
    homes: HomeMap,
    /// Claims that are kept.
    claims: HashMap<ClaimKey, Claim>,
    /// Claims in the order in which they were made; some may have been released since.
    claim_order: VecDeque<(Instant, ClaimKey)>,
    /// Uses of keys issued up to this wall time may have been forgotten; it never decreases.
    known_since_ms: u64,
    /// Uses of keys without an issue time may have been forgotten up to this wall time; it never
    /// decreases.
    untimed_since_ms: u64,
    /// When other daemons ceased to be homes, with their scores. They may have been the homes of
    /// keys whose home is now this daemon.
    departures: VecDeque<(u64, DaemonScore)>,
}

/// One use of a key.
struct Claim {
    /// Request that runs under the key.
    request: RequestId,
    /// When the key was claimed, by this daemon's monotonic clock.
    made_at: Instant,
    /// When the key was issued, if it contains that time.
    issued_at_ms: Option<u64>,
}

impl IdempotencyState {
    /// Creates a home that starts at this wall time and knows no key.
    pub fn new(
        settings: IdempotencySettings,
        own_daemon: DaemonId,
        started_at_ms: u64,
    ) -> IdempotencyState {
        IdempotencyState {
            settings,
            own_score: DaemonScore::new(&own_daemon),
            own_daemon,
            homes: HomeMap::default(),
            claims: HashMap::new(),
            claim_order: VecDeque::new(),
            known_since_ms: started_at_ms,
            untimed_since_ms: started_at_ms,
            departures: VecDeque::new(),
        }
    }

    /// Handles one event and returns the answer to a claim. `wall_ms` is compared only with issue
    /// times of keys and other wall times.
    pub fn handle(
        &mut self,
        now: Instant,
        wall_ms: u64,
        event: IdempotencyEvent,
    ) -> Option<ClaimAnswer> {
        match event {
            IdempotencyEvent::Claim(claim) => Some(self.handle_claim(now, wall_ms, &claim)),
            IdempotencyEvent::Fleet(fleet) => {
                self.apply_homes(wall_ms, HomeMap::new(&fleet));
                None
            }
        }
    }

    /// Returns how many claims are kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Takes or releases a key, after expired claims were forgotten.
    fn handle_claim(&mut self, now: Instant, wall_ms: u64, claim: &ClaimRequest) -> ClaimAnswer {
        self.forget_expired(now, wall_ms);
        let key = claim_key(&claim.organisation, &claim.idempotency_key);
        match claim.step {
            ClaimStep::Take => self.take_key(now, wall_ms, key, claim),
            ClaimStep::Release => self.release_key(&key, claim.request),
        }
    }

    /// Grants the key to a request, unless another one has it or may have had it.
    fn take_key(
        &mut self,
        now: Instant,
        wall_ms: u64,
        key: ClaimKey,
        claim: &ClaimRequest,
    ) -> ClaimAnswer {
        if let Some(known) = self.claims.get(&key) {
            if known.request == claim.request {
                return ClaimAnswer::Granted;
            }
            return ClaimAnswer::Taken { by: known.request };
        }
        let issued_at_ms = issued_at_ms(&claim.idempotency_key);
        if !self.would_know_earlier_use(wall_ms, &key, issued_at_ms) {
            return ClaimAnswer::Unknown;
        }
        let made = Claim {
            request: claim.request,
            made_at: now,
            issued_at_ms,
        };
        self.claims.insert(key, made);
        self.claim_order.push_back((now, key));
        ClaimAnswer::Granted
    }

    /// Forgets the claim of a request that releases its key.
    fn release_key(&mut self, key: &ClaimKey, request: RequestId) -> ClaimAnswer {
        match self.claims.get(key) {
            Some(known) if known.request != request => ClaimAnswer::Taken { by: known.request },
            Some(_) => {
                self.claims.remove(key);
                ClaimAnswer::Granted
            }
            None => ClaimAnswer::Granted,
        }
    }

    /// Returns whether every earlier use of the key would be known here.
    fn would_know_earlier_use(
        &self,
        wall_ms: u64,
        key: &ClaimKey,
        issued_at_ms: Option<u64>,
    ) -> bool {
        if self.homes.home(key) != Some(&self.own_daemon) {
            return false;
        }
        let margin_ms = self.settings.margin_ms;
        let used_since_ms = match issued_at_ms {
            Some(issued_at_ms) if issued_at_ms > wall_ms + margin_ms => return false,
            Some(issued_at_ms) if issued_at_ms <= self.known_since_ms + margin_ms => return false,
            Some(issued_at_ms) => issued_at_ms,
            None => {
                let used_since_ms = wall_ms.saturating_sub(self.settings.keep_ms);
                if used_since_ms <= self.untimed_since_ms + margin_ms {
                    return false;
                }
                used_since_ms
            }
        };
        let own_score = self.own_score.score_for(key);
        !self.departures.iter().any(|(left_at_ms, score)| {
            score.score_for(key) >= own_score && used_since_ms <= left_at_ms + margin_ms
        })
    }

    /// Takes the homes of a changed fleet and records which daemons ceased to be one.
    fn apply_homes(&mut self, wall_ms: u64, homes: HomeMap) {
        for daemon in self.homes.daemons() {
            if homes.contains(daemon) {
                continue;
            }
            if *daemon == self.own_daemon {
                // Other daemons are the homes of this daemon's keys from now on.
                self.known_since_ms = self.known_since_ms.max(wall_ms);
                self.untimed_since_ms = self.untimed_since_ms.max(wall_ms);
                continue;
            }
            self.departures
                .push_back((wall_ms, DaemonScore::new(daemon)));
        }
        if !self.homes.contains(&self.own_daemon) && homes.contains(&self.own_daemon) {
            self.known_since_ms = self.known_since_ms.max(wall_ms);
            self.untimed_since_ms = self.untimed_since_ms.max(wall_ms);
        }
        self.homes = homes;
        while self.departures.len() > DEPARTURE_LIMIT_COUNT {
            let Some((left_at_ms, _)) = self.departures.pop_front() else {
                return;
            };
            self.known_since_ms = self.known_since_ms.max(left_at_ms);
            self.untimed_since_ms = self.untimed_since_ms.max(left_at_ms);
        }
    }

    /// Forgets claims that have been kept for `keep_ms`, and the oldest beyond the limit.
    fn forget_expired(&mut self, now: Instant, wall_ms: u64) {
        let keep = Duration::from_millis(self.settings.keep_ms);
        while let Some((made_at, key)) = self.claim_order.front().copied() {
            let due = now.saturating_duration_since(made_at) >= keep;
            if !due && self.claims.len() < self.settings.limit_count {
                break;
            }
            self.claim_order.pop_front();
            let current = |claim: &&Claim| claim.made_at == made_at;
            let Some(claim) = self.claims.get(&key).filter(current) else {
                continue;
            };
            match claim.issued_at_ms {
                Some(issued_at_ms) => self.known_since_ms = self.known_since_ms.max(issued_at_ms),
                None if !due => self.untimed_since_ms = self.untimed_since_ms.max(wall_ms),
                None => {}
            }
            self.claims.remove(&key);
        }
        self.forget_expired_departures(wall_ms);
    }

    /// Forgets departures that are older than uses of keys are kept, and raises `known_since_ms` to
    /// them. A departure only matters for keys that were issued before it.
    fn forget_expired_departures(&mut self, wall_ms: u64) {
        let keep_ms = self.settings.keep_ms + self.settings.margin_ms;
        while let Some((left_at_ms, _)) = self.departures.front().copied() {
            if wall_ms <= left_at_ms + keep_ms {
                return;
            }
            self.departures.pop_front();
            self.known_since_ms = self.known_since_ms.max(left_at_ms);
        }
    }
}

/// Returns when a key was issued, if it is a UUID of version 7.
fn issued_at_ms(idempotency_key: &str) -> Option<u64> {
    let id = parse_id(idempotency_key)?;
    let version = (id >> UUID_VERSION_SHIFT_BITS) & 0xf;
    (version == UUID_VERSION_7).then(|| id_time_ms(id))
}
