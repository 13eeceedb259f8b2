//! Token bucket that can lend tokens for a limited time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Tokens that are added at a rate up to a burst; some of them may be lent.
#[derive(Debug, Clone, PartialEq)]
pub struct Bucket {
    rate_per_s: f64,
    burst_count: f64,
    /// Tokens available. With `lent_count` at most `burst_count`, unless the burst was lowered
    /// while loans were out.
    token_count: f64,
    /// When tokens were last added.
    filled_at: Instant,
    /// Loans by the time at which they have certainly lapsed, the soonest first.
    lent: VecDeque<LentTokens>,
    /// Sum of the counts in `lent`.
    lent_count: u32,
}

/// Loans that lapse at about the same time.
#[derive(Debug, Clone, PartialEq)]
struct LentTokens {
    count: u32,
    /// When the first of these loans has lapsed.
    first_at: Instant,
    /// When the last of these loans has lapsed.
    lapsed_at: Instant,
}

/// Loans that lapse within 1/8 of a loan's lifetime of each other are stored as one.
const LOAN_GROUP_PARTS: u32 = 8;

impl Bucket {
    /// Returns an empty bucket.
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

    /// Returns a bucket filled to its burst.
    pub fn full(now: Instant, rate_per_s: f64, burst_count: f64) -> Bucket {
        Bucket {
            token_count: burst_count,
            ..Bucket::empty(now, rate_per_s, burst_count)
        }
    }

    /// Takes `count` tokens, or returns how long until they may be available.
    pub fn take(&mut self, now: Instant, count: f64) -> Result<(), Duration> {
        self.refill(now);
        if self.token_count + ROUNDING_ERROR_COUNT >= count {
            self.token_count = (self.token_count - count).max(0.0);
            return Ok(());
        }
        Err(self.wait_for(now, count))
    }

    /// Takes as many whole tokens as there are, at most `count`, and returns their number.
    pub fn take_whole(&mut self, now: Instant, count: u32) -> u32 {
        self.refill(now);
        let taken = self.whole_count().min(count);
        self.token_count = (self.token_count - f64::from(taken)).max(0.0);
        taken
    }

    /// Returns the number of whole tokens available.
    fn whole_count(&self) -> u32 {
        (self.token_count + ROUNDING_ERROR_COUNT).floor().max(0.0) as u32
    }

    /// Lends at most `count` whole tokens, which lapse by `lapsed_at`, and returns their number.
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

    /// Returns how long to lend tokens, between `MIN_LOAN_TIME` and `longest`: half the time in
    /// which the burst refills, so that outstanding loans do not reduce the rate.
    pub fn loan_time(&self, longest: Duration) -> Duration {
        if self.rate_per_s <= 0.0 {
            return longest;
        }
        let turnover = Duration::try_from_secs_f64(self.burst_count / self.rate_per_s / 2.0);
        turnover.unwrap_or(longest).clamp(MIN_LOAN_TIME, longest)
    }

    /// Returns how long until `count` tokens may be available.
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

    /// Changes rate and burst from now on; tokens above the new burst are lost.
    pub fn resize(&mut self, now: Instant, rate_per_s: f64, burst_count: f64) {
        if self.rate_per_s == rate_per_s && self.burst_count == burst_count {
            return;
        }
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.burst_count = burst_count;
        self.cap_tokens();
    }

    /// Returns whether the bucket is filled to its burst and nothing is lent.
    pub fn is_full(&mut self, now: Instant) -> bool {
        self.refill(now);
        self.lent_count == 0 && self.token_count >= self.burst_count
    }

    /// Adds the tokens up to `now`, in steps, because each loan lowers the cap until it has lapsed.
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

    /// Adds the tokens of the time since the last addition, up to the cap.
    fn add_tokens_until(&mut self, until: Instant) {
        let elapsed = until.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(until);
        self.token_count += self.rate_per_s * elapsed.as_secs_f64();
        self.cap_tokens();
    }

    /// Limits the available tokens to the burst less the tokens lent.
    fn cap_tokens(&mut self) {
        let room = (self.burst_count - f64::from(self.lent_count)).max(0.0);
        self.token_count = self.token_count.min(room);
    }
}

/// Rounding error of floating-point sums, far below one token.
const ROUNDING_ERROR_COUNT: f64 = 1e-9;
/// Shortest time for which tokens are lent.
const MIN_LOAN_TIME: Duration = Duration::from_millis(20);
/// Wait that means that the tokens are not available under this contract.
pub const NEVER: Duration = Duration::from_secs(3600);
