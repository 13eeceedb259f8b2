//! Request times in buckets whose bounds every daemon shares, so that shares compare exactly.

use std::time::Duration;

/// Number of buckets; the last one takes everything above.
pub const BUCKET_COUNT: usize = 30;

/// Upper bound of the first bucket.
const FIRST_BOUND: Duration = Duration::from_micros(500);

/// Upper bound of a bucket: each is the square root of two times the one before.
pub fn bucket_bound(index: usize) -> Duration {
    FIRST_BOUND.mul_f64(2f64.powf(index as f64 / 2.0))
}

/// The bucket of a request time.
pub fn bucket_of(elapsed: Duration) -> usize {
    if elapsed <= FIRST_BOUND {
        return 0;
    }
    let ratio = elapsed.as_secs_f64() / FIRST_BOUND.as_secs_f64();
    let index = (2.0 * ratio.log2()).ceil() as usize;
    index.min(BUCKET_COUNT - 1)
}

/// The bucket that holds the given share of all counts, counted from below; none when empty.
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
