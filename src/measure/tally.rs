//! What became of requests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::health::HealthVerdict;
use crate::types::{BackendServerId, OrganisationId};

/// What became of the requests of one organisation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OrganisationTally {
    /// Requests within the rate.
    pub within_count: u64,
    /// Of those, answered well within their deadline.
    pub good_count: u64,
    /// Of those, refused as not run.
    pub refused_count: u64,
    /// Of those, failed or of unknown outcome.
    pub failed_count: u64,
    /// Requests over the rate, refused.
    pub over_count: u64,
}

/// A decision on a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Decided {
    /// When.
    pub at: Instant,
    /// The server.
    pub server: BackendServerId,
    /// What.
    pub verdict: HealthVerdict,
    /// What the rule saw, as name and value.
    pub evidence: Vec<(&'static str, String)>,
    /// Requests that the server had started by then.
    pub started_count: u64,
}

/// What became of the requests since the last `restart`.
#[derive(Debug, Clone)]
pub struct Tally {
    /// By organisation.
    pub organisations: BTreeMap<OrganisationId, OrganisationTally>,
    /// Times of good answers, in microseconds.
    pub elapsed_us: Histogram<u64>,
    /// Attempts.
    pub attempt_count: u64,
}

impl Default for Tally {
    fn default() -> Self {
        let elapsed_us = Histogram::new_with_bounds(1, LONGEST_US, 3);
        Tally {
            organisations: BTreeMap::new(),
            elapsed_us: elapsed_us.expect("the bounds are in order"),
            attempt_count: 0,
        }
    }
}

const LONGEST_US: u64 = 3_600_000_000;

impl Tally {
    /// Takes the time of a good answer.
    pub fn took(&mut self, elapsed: Duration) {
        self.elapsed_us
            .saturating_record(elapsed.as_micros() as u64);
    }

    /// All requests within their rates.
    pub fn within_count(&self) -> u64 {
        self.organisations
            .values()
            .map(|one| one.within_count)
            .sum()
    }

    /// All good answers.
    pub fn good_count(&self) -> u64 {
        self.organisations.values().map(|one| one.good_count).sum()
    }

    /// All refusals within the rate.
    pub fn refused_count(&self) -> u64 {
        self.organisations
            .values()
            .map(|one| one.refused_count)
            .sum()
    }

    /// All failures.
    pub fn failed_count(&self) -> u64 {
        self.organisations
            .values()
            .map(|one| one.failed_count)
            .sum()
    }

    /// Share of good answers of the organisation that fared worst.
    pub fn worst_share(&self) -> f64 {
        let share =
            |one: &OrganisationTally| one.good_count as f64 / one.within_count.max(1) as f64;
        self.organisations
            .values()
            .filter(|one| one.within_count > 0)
            .map(share)
            .fold(1.0, f64::min)
    }

    /// A quantile of the times of good answers.
    pub fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.elapsed_us.value_at_quantile(quantile))
    }
}
