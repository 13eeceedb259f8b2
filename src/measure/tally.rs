//! Counts and latencies of the requests of a simulation.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::health::HealthVerdict;
use crate::types::{BackendServerId, OrganisationId};

/// Outcomes of the requests of one organisation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OrganisationTally {
    /// Number of requests within the contracted rate.
    pub within_rate_count: u64,
    /// Number of requests within the rate with a good answer by their deadline.
    pub good_count: u64,
    /// Number of requests within the rate that were refused without being run.
    pub refused_count: u64,
    /// Number of requests within the rate that failed or whose outcome is unknown.
    pub failed_count: u64,
    /// Number of requests above the rate, which are not sent to an entry.
    pub over_rate_count: u64,
}

/// A decision of a health duty about its server, as recorded by the simulation.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordedDecision {
    /// Virtual time of the decision.
    pub decided_at: Instant,
    /// Server that the decision is about.
    pub server: BackendServerId,
    /// What the health duty decided, such as an ejection.
    pub verdict: HealthVerdict,
    /// Evidence of the rule that decided, as names and values.
    pub evidence: Vec<(&'static str, String)>,
    /// Number of requests that the server had started by then.
    pub started_count: u64,
}

/// Outcomes of requests since the last `Simulation::take_tally`.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Outcomes of the requests of each organisation.
    pub organisations: BTreeMap<OrganisationId, OrganisationTally>,
    /// Latencies of good answers, in microseconds.
    pub elapsed_us: Histogram<u64>,
    /// Number of attempts that entries sent to guards.
    pub attempt_count: u64,
}

impl Default for Tally {
    fn default() -> Self {
        let elapsed_us = Histogram::new_with_bounds(1, ELAPSED_LIMIT_US, 3);
        Tally {
            organisations: BTreeMap::new(),
            elapsed_us: elapsed_us.expect("the bounds are in order"),
            attempt_count: 0,
        }
    }
}

/// Greatest latency that the histogram can record, 1 hour.
const ELAPSED_LIMIT_US: u64 = 3_600_000_000;

impl Tally {
    /// Records the latency of a good answer.
    pub fn record_elapsed(&mut self, elapsed: Duration) {
        self.elapsed_us
            .saturating_record(elapsed.as_micros() as u64);
    }

    /// Returns the number of requests within the rates of all organisations.
    pub fn within_rate_count(&self) -> u64 {
        self.organisations
            .values()
            .map(|one| one.within_rate_count)
            .sum()
    }

    /// Returns the number of good answers of all organisations.
    pub fn good_count(&self) -> u64 {
        self.organisations.values().map(|one| one.good_count).sum()
    }

    /// Returns the number of refusals within the rates of all organisations.
    pub fn refused_count(&self) -> u64 {
        self.organisations
            .values()
            .map(|one| one.refused_count)
            .sum()
    }

    /// Returns the number of failures of all organisations.
    pub fn failed_count(&self) -> u64 {
        self.organisations
            .values()
            .map(|one| one.failed_count)
            .sum()
    }

    /// Returns the lowest share of good answers within the rate among the organisations.
    pub fn worst_share(&self) -> f64 {
        let share =
            |one: &OrganisationTally| one.good_count as f64 / one.within_rate_count.max(1) as f64;
        self.organisations
            .values()
            .filter(|one| one.within_rate_count > 0)
            .map(share)
            .fold(1.0, f64::min)
    }

    /// Returns a quantile of the latencies of good answers.
    pub fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.elapsed_us.value_at_quantile(quantile))
    }
}
