//! Record of requests that were running when servers died.
//!
//! A request is refused for a time after a number of distinct deaths, two by default, seen here or
//! reported by other guards, with no answer to an equal request in between.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::link::message::PoisonReport;
use crate::types::{BackendServerId, DaemonId, Fingerprint};

/// Most fingerprints that are kept.
const SUSPECT_LIMIT_COUNT: usize = 1024;

/// Identifies one death: the server, and the count of its incarnation that ended.
pub type DeathId = (BackendServerId, u64);

/// Record of requests that may kill servers.
pub struct PoisonRecord {
    /// Suspected requests by their fingerprints; at most `SUSPECT_LIMIT_COUNT`.
    suspects: HashMap<Fingerprint, Suspect>,
    /// How long a request is refused after its last death.
    hold_time: Duration,
    /// Deaths from which a request is refused.
    death_count: u32,
}

/// Deaths of servers while one request ran.
struct Suspect {
    /// Deaths seen here while the request ran, each once.
    deaths: SmallVec<[DeathId; 2]>,
    /// Number of deaths in the latest report of each other guard.
    reported: SmallVec<[(DaemonId, u32); 2]>,
    /// When the request is no longer refused and is forgotten.
    expires_at: Instant,
}

impl PoisonRecord {
    /// Creates an empty record that refuses a request after `death_count` deaths for `hold_time`.
    pub fn new(hold_time: Duration, death_count: u32) -> PoisonRecord {
        PoisonRecord {
            suspects: HashMap::new(),
            hold_time,
            death_count,
        }
    }

    /// Returns for how much longer the request is refused; `None` if it is not.
    pub fn refused_for(&self, now: Instant, fingerprint: &Fingerprint) -> Option<Duration> {
        let suspect = self.suspects.get(fingerprint)?;
        let left = suspect.expires_at.checked_duration_since(now)?;
        (suspect.total_count() >= self.death_count && !left.is_zero()).then_some(left)
    }

    /// Records that a server died while the request ran, and returns the report to other guards.
    pub fn record_death(
        &mut self,
        now: Instant,
        death: DeathId,
        fingerprint: Fingerprint,
    ) -> PoisonReport {
        let expires_at = now + self.hold_time;
        let suspect = self.suspect_mut(now, fingerprint);
        suspect.expires_at = expires_at;
        if !suspect.deaths.contains(&death) {
            suspect.deaths.push(death);
        }
        let death_count = suspect.deaths.len() as u32;
        PoisonReport {
            fingerprint,
            death_count,
            holds_for: self.hold_time,
        }
    }

    /// Records deaths that another guard reports.
    pub fn record_report(&mut self, now: Instant, from: &DaemonId, report: &PoisonReport) {
        let expires_at = now + report.holds_for.min(self.hold_time);
        let suspect = self.suspect_mut(now, report.fingerprint);
        suspect.expires_at = suspect.expires_at.max(expires_at);
        suspect.reported.retain(|(daemon, _)| daemon != from);
        suspect.reported.push((from.clone(), report.death_count));
    }

    /// Clears a request, because a server answered an equal one and survived it.
    pub fn record_survival(&mut self, fingerprint: &Fingerprint) {
        self.suspects.remove(fingerprint);
    }

    /// Forgets requests whose `expires_at` has passed.
    pub fn forget_expired(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| suspect.expires_at > now);
    }

    /// Returns the entry of a fingerprint, which is created if needed.
    fn suspect_mut(&mut self, now: Instant, fingerprint: Fingerprint) -> &mut Suspect {
        if self.suspects.len() >= SUSPECT_LIMIT_COUNT && !self.suspects.contains_key(&fingerprint) {
            self.drop_soonest_to_expire();
        }
        self.suspects.entry(fingerprint).or_insert(Suspect {
            deaths: SmallVec::new(),
            reported: SmallVec::new(),
            expires_at: now,
        })
    }

    /// Forgets the request that would expire first, to make room for another.
    fn drop_soonest_to_expire(&mut self) {
        let soonest = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| suspect.expires_at)
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = soonest {
            self.suspects.remove(&fingerprint);
        }
    }
}

impl Suspect {
    /// Returns the deaths seen here plus those in the latest reports of other guards.
    fn total_count(&self) -> u32 {
        let counts = self.reported.iter().map(|(_, count)| *count);
        counts.fold(self.deaths.len() as u32, u32::saturating_add)
    }
}
