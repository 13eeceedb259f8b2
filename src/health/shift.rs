//! Are a server's request times those of its peers, or the same times some buckets later?

use super::histogram::BUCKET_COUNT;
use super::window::Counts;

/// Buckets by which the times of a slow server are taken to be later: 3 is 2.8 times slower.
const SHIFT_BUCKETS: usize = 3;

/// Share that every bucket is granted, so that no single time decides.
const SMOOTHING_SHARE: f64 = 0.002;

/// Most that one request says.
const RATIO_LIMIT: f64 = 3.0;

/// What each request time says.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shift {
    /// Log likelihood ratio of "later" against "as the peers", by bucket.
    pub ratios: [f64; BUCKET_COUNT],
    /// Share of the peers' requests in buckets that speak for "later".
    pub share: f64,
}

impl Default for Shift {
    fn default() -> Self {
        Shift {
            ratios: [0.0; BUCKET_COUNT],
            share: 1.0,
        }
    }
}

impl Shift {
    /// From what peers met; the median of peers in each bucket, so that one slow peer is no norm.
    pub fn from_peers(peers: &[&Counts]) -> Shift {
        let mut shares = [0.0; BUCKET_COUNT];
        for (bucket, share) in shares.iter_mut().enumerate() {
            let mut values: Vec<f64> = peers.iter().map(|c| c.buckets[bucket] / c.seen).collect();
            values.sort_by(f64::total_cmp);
            *share = values.get(values.len() / 2).copied().unwrap_or(0.0);
        }
        let total: f64 = shares.iter().sum();
        if total <= 0.0 {
            return Shift::default();
        }
        let share = |bucket: usize| shares[bucket] / total + SMOOTHING_SHARE;
        let mut ratios = [0.0; BUCKET_COUNT];
        for (bucket, ratio) in ratios.iter_mut().enumerate() {
            let later = match bucket.checked_sub(SHIFT_BUCKETS) {
                Some(from) => share(from),
                None => SMOOTHING_SHARE,
            };
            *ratio = (later / share(bucket))
                .ln()
                .clamp(-RATIO_LIMIT, RATIO_LIMIT);
        }
        let mut shift = Shift { ratios, share: 0.0 };
        let mut met: Vec<f64> = peers.iter().map(|c| shift.shifted_share(c)).collect();
        met.sort_by(f64::total_cmp);
        shift.share = met.get(met.len() / 2).copied().unwrap_or(1.0);
        shift
    }

    /// Whether a time speaks for "later".
    pub fn indicates_shift(&self, bucket: usize) -> bool {
        self.ratios[bucket] > 0.0
    }

    /// Share of requests that speak for "later".
    pub fn shifted_share(&self, counts: &Counts) -> f64 {
        if counts.seen <= 0.0 {
            return 0.0;
        }
        let mut met = 0.0;
        for (bucket, count) in counts.buckets.iter().enumerate() {
            if self.indicates_shift(bucket) {
                met += count;
            }
        }
        met / counts.seen
    }
}
