//! The retry budget: a share of requests, so that retries never multiply an overload.

/// Retries that are always left to a daemon with few requests.
const RESERVE_COUNT: f64 = 10.0;

/// What is left for retries.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    share: f64,
    /// From 0 to the reserve.
    left: f64,
}

impl RetryBudget {
    /// A full budget that grows by `share` with every first attempt.
    pub fn new(share: f64) -> RetryBudget {
        RetryBudget {
            share,
            left: RESERVE_COUNT,
        }
    }

    /// A request was dispatched.
    pub fn dispatched(&mut self) {
        self.left = (self.left + self.share).min(RESERVE_COUNT);
    }

    /// Takes a retry out of the budget, if one is left.
    pub fn take(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
