//! Histogram of request times. Every daemon uses the same bucket bounds, so shares are comparable.

use std::time::Duration;

/// Number of buckets; the last one has no upper bound.
pub const BUCKET_COUNT: usize = 30;

/// Upper bound of the first bucket.
const FIRST_BOUND: Duration = Duration::from_micros(500);

/// Returns the upper bound of a bucket; each is the preceding one times the square root of two.
pub fn bucket_bound(index: usize) -> Duration {
    FIRST_BOUND.mul_f64(2f64.powf(index as f64 / 2.0))
}

/// Returns the bucket that a request time falls into.
pub fn bucket_of(elapsed: Duration) -> usize {
    if elapsed <= FIRST_BOUND {
        return 0;
    }
    let ratio = elapsed.as_secs_f64() / FIRST_BOUND.as_secs_f64();
    let index = (2.0 * ratio.log2()).ceil() as usize;
    index.min(BUCKET_COUNT - 1)
}

/// Returns the bucket of a quantile: the lowest one up to which the given share of all requests
/// ended. `None` if there are no requests.
pub fn quantile_bucket(buckets: &[f64], share: f64) -> Option<usize> {
    let total: f64 = buckets.iter().sum();
    if total <= 0.0 {
        return None;
    }
    let mut below = 0.0;
    for (index, count) in buckets.iter().enumerate() {
        below += count;
        if below >= share * total {
            return Some(index);
        }
    }
    Some(buckets.len() - 1)
}
