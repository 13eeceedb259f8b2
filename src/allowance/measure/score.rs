//! Compares what one organisation was granted with its contract.

use std::time::{Duration, Instant};

use crate::allowance::bucket::Bucket;

/// Requests, grants and refusals of one organisation in a run.
#[derive(Debug, Clone)]
pub struct Score {
    /// Tokens per second under the contract.
    rate_per_s: f64,
    /// Burst under the contract, in tokens.
    burst_count: f64,
    /// Tokens granted above what the rate alone allows; more than the burst is over the bound.
    excess_count: f64,
    /// When the last token was granted.
    granted_at: Instant,
    /// Largest excess over rate and burst in any interval, in tokens.
    pub over_count: f64,
    /// A single bucket for the whole fleet, which the grants are compared with.
    ideal: Bucket,
    /// Requests that the single bucket grants.
    pub ideal_count: u64,
    /// Number of requests sent.
    pub sent_count: u64,
    /// Number of requests granted.
    pub granted_count: u64,
    /// Number of requests refused.
    pub refused_count: u64,
    /// Time from request to grant of each grant, in microseconds.
    pub waits_us: Vec<u32>,
}

impl Score {
    /// Returns the score at the start of a run.
    pub fn new(start: Instant, rate_per_s: f64, burst_count: f64) -> Score {
        Score {
            rate_per_s,
            burst_count,
            excess_count: 0.0,
            granted_at: start,
            over_count: f64::MIN,
            ideal: Bucket::full(start, rate_per_s, burst_count),
            ideal_count: 0,
            sent_count: 0,
            granted_count: 0,
            refused_count: 0,
            waits_us: Vec::new(),
        }
    }

    /// Counts a request that was sent.
    pub fn sent(&mut self, now: Instant) {
        self.sent_count += 1;
        if self.ideal.take(now, 1.0).is_ok() {
            self.ideal_count += 1;
        }
    }

    /// Counts a request that was granted.
    pub fn granted(&mut self, now: Instant, sent_at: Instant) {
        self.granted_count += 1;
        let wait = now.saturating_duration_since(sent_at);
        self.waits_us.push(wait.as_micros() as u32);
        let elapsed = now.saturating_duration_since(self.granted_at);
        self.granted_at = now;
        self.excess_count =
            (self.excess_count - self.rate_per_s * elapsed.as_secs_f64()).max(0.0) + 1.0;
        self.over_count = self.over_count.max(self.excess_count - self.burst_count);
    }

    /// Counts a request that was refused.
    pub fn refused(&mut self) {
        self.refused_count += 1;
    }

    /// Returns the share of the single bucket's grants that the organisation did not get.
    pub fn short_share(&self) -> f64 {
        if self.ideal_count == 0 {
            return 0.0;
        }
        let short = self.ideal_count.saturating_sub(self.granted_count);
        short as f64 / self.ideal_count as f64
    }

    /// Returns the whole tokens over the bound, without the rounding error, which is far below one
    /// token.
    pub fn whole_over_count(&self) -> u64 {
        (self.over_count - ROUNDING_ERROR_COUNT).ceil().max(0.0) as u64
    }
}

/// Rounding error of floating-point sums, in tokens.
const ROUNDING_ERROR_COUNT: f64 = 1e-3;

/// Returns the value below which the given share of the values lies; sorts the values, which are
/// microseconds.
pub fn quantile(values: &mut [u32], share: f64) -> Duration {
    if values.is_empty() {
        return Duration::ZERO;
    }
    values.sort_unstable();
    let index = ((values.len() - 1) as f64 * share).round() as usize;
    Duration::from_micros(u64::from(values[index]))
}
