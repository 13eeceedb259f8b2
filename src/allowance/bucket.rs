//! A token bucket that also lends.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Tokens that grow with time up to a burst, of which some are lent.
#[derive(Debug, Clone, PartialEq)]
pub struct Bucket {
    rate_per_s: f64,
    burst_count: f64,
    /// Together with `lent_count` never above `burst_count`, except for loans older than a
    /// fall of the burst.
    token_count: f64,
    filled_at: Instant,
    /// Loans by the time at which they have surely lapsed, soonest first.
    lent: VecDeque<LentTokens>,
    /// Sum of `lent`.
    lent_count: u32,
}

#[derive(Debug, Clone, PartialEq)]
struct LentTokens {
    count: u32,
    /// When the first of these loans has lapsed.
    first_at: Instant,
    /// When the last of them has.
    lapsed_at: Instant,
}

/// Loans that lapse within this share of a loan's life of each other are kept as one.
const LOAN_GROUP_PARTS: u32 = 8;

impl Bucket {
    /// A bucket with nothing in it.
    pub fn empty(now: Instant, rate_per_s: f64, burst_count: f64) -> Bucket {
        Bucket {
            rate_per_s,
            burst_count,
            token_count: 0.0,
            filled_at: now,
            lent: VecDeque::new(),
            lent_count: 0,
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
        self.refill(now);
        if self.token_count + ROUNDING_ERROR_COUNT >= count {
            self.token_count = (self.token_count - count).max(0.0);
            return Ok(());
        }
        Err(self.wait_for(now, count))
    }

    /// Takes as many whole tokens as there are, `count` at most.
    pub fn take_whole(&mut self, now: Instant, count: u32) -> u32 {
        self.refill(now);
        let taken = self.whole_count().min(count);
        self.token_count = (self.token_count - f64::from(taken)).max(0.0);
        taken
    }

    fn whole_count(&self) -> u32 {
        (self.token_count + ROUNDING_ERROR_COUNT).floor().max(0.0) as u32
    }

    /// Lends at most `count` whole tokens until `lapsed_at` at the latest.
    pub fn lend(&mut self, now: Instant, count: u32, lapsed_at: Instant) -> u32 {
        self.refill(now);
        let count = self.whole_count().min(count);
        if count == 0 {
            return 0;
        }
        self.token_count = (self.token_count - f64::from(count)).max(0.0);
        self.lent_count += count;
        let step = lapsed_at.saturating_duration_since(now) / LOAN_GROUP_PARTS;
        match self.lent.back_mut() {
            Some(last) if last.first_at + step >= lapsed_at => {
                last.count += count;
                last.lapsed_at = last.lapsed_at.max(lapsed_at);
            }
            _ => self.lent.push_back(LentTokens {
                count,
                first_at: lapsed_at,
                lapsed_at,
            }),
        }
        count
    }

    /// How long a loan may live so that loans in use do not hold the rate down.
    pub fn loan_time(&self, longest: Duration) -> Duration {
        if self.rate_per_s <= 0.0 {
            return longest;
        }
        let turnover = Duration::try_from_secs_f64(self.burst_count / self.rate_per_s / 2.0);
        turnover.unwrap_or(longest).clamp(MIN_LOAN_TIME, longest)
    }

    /// When a whole token may be there.
    pub fn wait_for(&self, now: Instant, count: f64) -> Duration {
        if self.burst_count < count || self.rate_per_s <= 0.0 {
            return NEVER;
        }
        let room = self.burst_count - f64::from(self.lent_count);
        let grows = (count - self.token_count).max(0.0) / self.rate_per_s;
        let grows = Duration::try_from_secs_f64(grows).unwrap_or(NEVER);
        if room + ROUNDING_ERROR_COUNT >= count {
            return grows.min(NEVER);
        }
        let lapses = self.lent.front().map_or(Duration::ZERO, |lent| {
            lent.lapsed_at.saturating_duration_since(now)
        });
        grows.max(lapses).min(NEVER)
    }

    /// Changes rate and burst from now on; what is above the new burst is lost.
    pub fn resize(&mut self, now: Instant, rate_per_s: f64, burst_count: f64) {
        if self.rate_per_s == rate_per_s && self.burst_count == burst_count {
            return;
        }
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.burst_count = burst_count;
        self.cap_tokens();
    }

    /// Whether it is filled to its burst with nothing lent.
    pub fn is_full(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.lent_count == 0 && self.token_count >= self.burst_count
    }

    /// Grows step by step, since each loan holds the cap down until it has lapsed.
    fn refill(&mut self, now: Instant) {
        while let Some(first) = self.lent.front() {
            if first.lapsed_at > now {
                break;
            }
            let lapsed_at = first.lapsed_at;
            let count = first.count;
            self.add_tokens_until(lapsed_at);
            self.lent.pop_front();
            self.lent_count -= count;
        }
        self.add_tokens_until(now);
    }

    fn add_tokens_until(&mut self, until: Instant) {
        let elapsed = until.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(until);
        self.token_count += self.rate_per_s * elapsed.as_secs_f64();
        self.cap_tokens();
    }

    fn cap_tokens(&mut self) {
        let room = (self.burst_count - f64::from(self.lent_count)).max(0.0);
        self.token_count = self.token_count.min(room);
    }
}

/// Error of floating-point sums, far below one token.
const ROUNDING_ERROR_COUNT: f64 = 1e-9;
const MIN_LOAN_TIME: Duration = Duration::from_millis(20);
/// A wait that stands for "not under this contract".
pub const NEVER: Duration = Duration::from_secs(3600);
