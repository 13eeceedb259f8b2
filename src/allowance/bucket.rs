//! A token bucket.

use std::time::{Duration, Instant};

/// Tokens that grow with time up to a burst.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate_per_s: f64,
    burst_count: f64,
    /// Never above `burst_count`.
    token_count: f64,
    filled_at: Instant,
}

impl Bucket {
    /// A bucket with nothing in it.
    pub fn empty(now: Instant, rate_per_s: f64, burst_count: f64) -> Bucket {
        Bucket {
            rate_per_s,
            burst_count,
            token_count: 0.0,
            filled_at: now,
        }
    }

    /// A bucket filled to its burst.
    pub fn full(now: Instant, rate_per_s: f64, burst_count: f64) -> Bucket {
        Bucket {
            token_count: burst_count,
            ..Bucket::empty(now, rate_per_s, burst_count)
        }
    }

    /// Takes tokens, or says after which time they may be there.
    pub fn take(&mut self, now: Instant, count: f64) -> Result<(), Duration> {
        self.fill(now);
        if self.token_count >= count {
            self.token_count -= count;
            return Ok(());
        }
        if self.rate_per_s <= 0.0 {
            return Err(Duration::MAX);
        }
        Err(Duration::from_secs_f64(
            (count - self.token_count) / self.rate_per_s,
        ))
    }

    /// Changes rate and burst from now on; what is above the new burst is lost.
    pub fn resize(&mut self, now: Instant, rate_per_s: f64, burst_count: f64) {
        self.fill(now);
        self.rate_per_s = rate_per_s;
        self.burst_count = burst_count;
        self.token_count = self.token_count.min(burst_count);
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let grown = self.token_count + self.rate_per_s * elapsed.as_secs_f64();
        self.token_count = grown.min(self.burst_count);
    }
}
