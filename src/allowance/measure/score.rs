//! What one organisation got, against its contract.

use std::time::{Duration, Instant};

use crate::allowance::bucket::Bucket;

/// Grants and refusals of one organisation.
#[derive(Debug, Clone)]
pub struct Score {
    rate_per_s: f64,
    burst_count: f64,
    /// Tokens above what the rate alone allowed; more than the burst is over the bound.
    level: f64,
    level_at: Instant,
    /// Most tokens over the bound in any span of time.
    pub over_count: f64,
    /// What a single bucket for the whole fleet would have granted.
    ideal: Bucket,
    /// Requests that the single bucket grants.
    pub ideal_count: u64,
    /// Requests sent.
    pub sent_count: u64,
    /// Requests granted.
    pub granted_count: u64,
    /// Requests refused.
    pub refused_count: u64,
    /// Time that grants took, in microseconds.
    pub waits_us: Vec<u32>,
}

impl Score {
    /// A score at the start of a run.
    pub fn new(start: Instant, rate_per_s: f64, burst_count: f64) -> Score {
        Score {
            rate_per_s,
            burst_count,
            level: 0.0,
            level_at: start,
            over_count: f64::MIN,
            ideal: Bucket::full(start, rate_per_s, burst_count),
            ideal_count: 0,
            sent_count: 0,
            granted_count: 0,
            refused_count: 0,
            waits_us: Vec::new(),
        }
    }

    /// A request was sent.
    pub fn sent(&mut self, now: Instant) {
        self.sent_count += 1;
        if self.ideal.take(now, 1.0).is_ok() {
            self.ideal_count += 1;
        }
    }

    /// A request was granted.
    pub fn granted(&mut self, now: Instant, sent_at: Instant) {
        self.granted_count += 1;
        let wait = now.saturating_duration_since(sent_at);
        self.waits_us.push(wait.as_micros() as u32);
        let elapsed = now.saturating_duration_since(self.level_at);
        self.level_at = now;
        self.level = (self.level - self.rate_per_s * elapsed.as_secs_f64()).max(0.0) + 1.0;
        self.over_count = self.over_count.max(self.level - self.burst_count);
    }

    /// A request was refused.
    pub fn refused(&mut self) {
        self.refused_count += 1;
    }

    /// Share of what a single bucket grants that was not granted.
    pub fn short_share(&self) -> f64 {
        if self.ideal_count == 0 {
            return 0.0;
        }
        let short = self.ideal_count.saturating_sub(self.granted_count);
        short as f64 / self.ideal_count as f64
    }

    /// Whole tokens over the bound; error of floating-point sums is far below one.
    pub fn whole_over_count(&self) -> u64 {
        (self.over_count - ROUNDING_ERROR_COUNT).ceil().max(0.0) as u64
    }
}

const ROUNDING_ERROR_COUNT: f64 = 1e-3;

/// A share of the sorted values.
pub fn quantile(values: &mut [u32], share: f64) -> Duration {
    if values.is_empty() {
        return Duration::ZERO;
    }
    values.sort_unstable();
    let index = ((values.len() - 1) as f64 * share).round() as usize;
    Duration::from_micros(u64::from(values[index]))
}
