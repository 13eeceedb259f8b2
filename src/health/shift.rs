//! Test for a shift of all request times: whether a server's times are distributed like those of
//! its peers, or like those some buckets later.

use super::histogram::BUCKET_COUNT;
use super::window::Counts;

/// Shift that is tested for, in buckets; 3 buckets are 2.8 times slower.
const SHIFT_BUCKET_COUNT: usize = 3;

/// Share that is added to every bucket, so that no single request time decides.
const SMOOTHING_SHARE: f64 = 0.002;

/// Greatest absolute log likelihood ratio of one request.
const RATIO_LIMIT: f64 = 3.0;

/// Evidence of a shift that a request time gives, by bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shift {
    /// Log likelihood ratio of "shifted" against "like the peers", by bucket.
    pub ratios: [f64; BUCKET_COUNT],
    /// Share of the peers' requests in buckets that indicate a shift.
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
    /// Computes the ratios from the request times of peers. Takes the median of the peers in each
    /// bucket, so that one slow peer has no influence.
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
            let later = match bucket.checked_sub(SHIFT_BUCKET_COUNT) {
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

    /// Returns whether a request time in this bucket indicates a shift.
    pub fn indicates_shift(&self, bucket: usize) -> bool {
        self.ratios[bucket] > 0.0
    }

    /// Returns the share of requests whose time indicates a shift.
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
