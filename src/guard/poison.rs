//! Requests that were running when servers died.
//!
//! A request is refused for a time after two distinct deaths, seen here or reported
//! by other guards, with no answer to an equal request in between.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::link::message::PoisonReport;
use crate::types::{BackendServerId, DaemonId, Fingerprint};

/// Fingerprints that are kept at most.
const SUSPECT_LIMIT_COUNT: usize = 1024;

/// One death: the server, and which of its lives ended.
pub type DeathId = (BackendServerId, u64);

/// What is known of requests that may kill servers.
pub struct PoisonRecord {
    suspects: HashMap<Fingerprint, Suspect>,
    hold_time: Duration,
    death_count: u32,
}

struct Suspect {
    /// Deaths seen here while the request ran, each once.
    deaths: SmallVec<[DeathId; 2]>,
    /// Deaths that other guards report, the latest word of each.
    reported: SmallVec<[(DaemonId, u32); 2]>,
    expires_at: Instant,
}

impl PoisonRecord {
    /// An empty record that refuses after `death_count` deaths, for `hold`.
    pub fn new(hold_time: Duration, death_count: u32) -> PoisonRecord {
        PoisonRecord {
            suspects: HashMap::new(),
            hold_time,
            death_count,
        }
    }

    /// Whether the request must be refused, and for how long yet.
    pub fn refused_for(&self, now: Instant, fingerprint: &Fingerprint) -> Option<Duration> {
        let suspect = self.suspects.get(fingerprint)?;
        let left = suspect.expires_at.checked_duration_since(now)?;
        (suspect.total_count() >= self.death_count && !left.is_zero()).then_some(left)
    }

    /// A server died while the request ran. Gives the word for the other guards.
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

    /// Another guard reports deaths.
    pub fn record_report(&mut self, now: Instant, from: &DaemonId, report: &PoisonReport) {
        let expires_at = now + report.holds_for.min(self.hold_time);
        let suspect = self.suspect_mut(now, report.fingerprint);
        suspect.expires_at = suspect.expires_at.max(expires_at);
        suspect.reported.retain(|(daemon, _)| daemon != from);
        suspect.reported.push((from.clone(), report.death_count));
    }

    /// A server answered an equal request, so the request kills none.
    pub fn record_survival(&mut self, fingerprint: &Fingerprint) {
        self.suspects.remove(fingerprint);
    }

    /// Forgets what has lapsed.
    pub fn forget_expired(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| suspect.expires_at > now);
    }

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
    fn total_count(&self) -> u32 {
        let counts = self.reported.iter().map(|(_, count)| *count);
        counts.fold(self.deaths.len() as u32, u32::saturating_add)
    }
}
