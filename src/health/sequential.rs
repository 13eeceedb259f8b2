//! CUSUM detector: cumulative sums of log likelihood ratios test whether a server is worse than
//! its peers.
//!
//! Each sum tests the hypothesis that a share `mixture_share` of the requests has trouble of one
//! kind against the hypothesis that the server has no more trouble than its peers. A sum never
//! falls below 0, so old good requests give no credit. The increase within a short interval is
//! capped, since requests that overlap in a pause of the server are one event, not many.

use std::time::{Duration, Instant};

use super::baseline::Expected;
use super::detector::{Alarm, Detector};
use super::histogram::bucket_of;
use super::window::Observation;

/// Shares of requests with trouble that the sums test for.
const MIXTURE_SHARES: [f64; 3] = [0.5, 0.15, 0.05];

/// Share of requests with late times that the sum on shifts is checked for.
const SHIFT_MIXTURE_SHARE: f64 = 0.5;

/// Length of the intervals within which the increase of a sum is capped.
const INTERVAL: Duration = Duration::from_millis(200);

/// Fewest intervals over which evidence of request times must be spread, since a pause makes many
/// requests slow at once.
const TIME_SPREAD_COUNT: f64 = 4.0;

/// Fewest intervals over which evidence of failures must be spread.
const FAILURE_SPREAD_COUNT: f64 = 3.0;

/// Kind of trouble that a sum tests for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TroubleKind {
    Failed,
    Slow,
    Stuck,
    /// All request times are longer than those of peers, even if each only a little.
    Shifted,
}

/// Kinds of trouble that affect a share of the requests.
const SHARE_KINDS: [TroubleKind; 3] = [TroubleKind::Failed, TroubleKind::Slow, TroubleKind::Stuck];

impl TroubleKind {
    fn as_str(self) -> &'static str {
        match self {
            TroubleKind::Failed => "failed",
            TroubleKind::Slow => "slow",
            TroubleKind::Stuck => "stuck",
            TroubleKind::Shifted => "shifted",
        }
    }

    /// Returns whether a request has trouble of this kind.
    fn is_met_by(self, observation: &Observation, expected: &Expected) -> bool {
        match self {
            TroubleKind::Failed => observation.failed,
            TroubleKind::Slow => observation.slow,
            TroubleKind::Stuck => observation.stuck,
            TroubleKind::Shifted => expected
                .shift
                .indicates_shift(bucket_of(observation.elapsed)),
        }
    }

    /// Returns the share of requests with this trouble that is expected of a healthy server.
    fn expected_share(self, expected: &Expected) -> f64 {
        match self {
            TroubleKind::Failed => expected.failed_share,
            TroubleKind::Slow => expected.slow_share,
            TroubleKind::Stuck => expected.stuck_share,
            TroubleKind::Shifted => expected.shift.share,
        }
    }

    /// Returns the fewest intervals over which evidence of this kind must be spread.
    fn spread_count(self) -> f64 {
        match self {
            TroubleKind::Failed => FAILURE_SPREAD_COUNT,
            _ => TIME_SPREAD_COUNT,
        }
    }

    /// Returns the log likelihood ratio of one request.
    fn ratio(self, mixture_share: f64, observation: &Observation, expected: &Expected) -> f64 {
        if self == TroubleKind::Shifted {
            return expected.shift.ratios[bucket_of(observation.elapsed)];
        }
        let share = self.expected_share(expected).min(EXPECTED_SHARE_LIMIT);
        ratio(mixture_share, share, self.is_met_by(observation, expected))
    }
}

/// Returns the log likelihood ratio of one request that has trouble (`met`) or not.
fn ratio(mixture_share: f64, expected_share: f64, met: bool) -> f64 {
    if met {
        (1.0 - mixture_share + mixture_share / expected_share).ln()
    } else {
        (1.0 - mixture_share).ln()
    }
}

/// Cumulative sum for one kind of trouble and one tested share.
#[derive(Debug, Clone)]
struct Cusum {
    kind: TroubleKind,
    /// Share of requests with trouble that the sum tests for.
    mixture_share: f64,
    /// Current sum, never below 0.
    value: f64,
    /// Value of the sum when the current interval began.
    interval_base: f64,
    /// When the current interval began; `None` before the first request.
    interval_at: Option<Instant>,
    /// Requests since the sum was last 0.
    seen_count: u32,
    /// Requests with trouble since the sum was last 0.
    met_count: u32,
}

impl Cusum {
    fn new(kind: TroubleKind, mixture_share: f64) -> Cusum {
        Cusum {
            kind,
            mixture_share,
            value: 0.0,
            interval_base: 0.0,
            interval_at: None,
            seen_count: 0,
            met_count: 0,
        }
    }

    /// Adds the ratio of one request, capped within an interval and at an upper bound.
    fn observe(&mut self, observation: &Observation, expected: &Expected, limit: f64) {
        let met = self.kind.is_met_by(observation, expected);
        if observation.already_counted && (!met || self.kind == TroubleKind::Shifted) {
            return;
        }
        let is_over = |from: Instant| observation.at.saturating_duration_since(from) >= INTERVAL;
        if self.interval_at.is_none_or(is_over) {
            self.interval_at = Some(observation.at);
            self.interval_base = self.value;
        }
        let ceiling = self.interval_base + limit / self.kind.spread_count();
        let value = self.value + self.kind.ratio(self.mixture_share, observation, expected);
        self.value = value.min(ceiling).min(limit * OVERSHOOT_FACTOR);
        self.seen_count += 1;
        self.met_count += u32::from(met);
        if self.value <= 0.0 {
            *self = Cusum::new(self.kind, self.mixture_share);
        }
    }

    /// Returns whether the counts since the sum was 0 still indicate trouble when compared with the
    /// recent shares of peers.
    fn confirm(&self, fresh: &Expected, limit: f64) -> bool {
        let share = self.kind.expected_share(fresh).min(EXPECTED_SHARE_LIMIT);
        let met = f64::from(self.met_count);
        let unaffected = f64::from(self.seen_count) - met;
        let sum = met * ratio(self.mixture_share, share, true)
            + unaffected * ratio(self.mixture_share, share, false);
        sum >= limit * CONFIRM_SHARE
    }
}

/// Upper bound of the expected share in a ratio. At greater shares nearly all requests of the peers
/// have trouble, which says nothing against one of them.
const EXPECTED_SHARE_LIMIT: f64 = 0.99;

/// Upper bound of a sum, as a multiple of its limit, so that a recovery lowers it soon.
const OVERSHOOT_FACTOR: f64 = 1.25;

/// Part of the limit that the evidence must reach against the recent shares of peers.
const CONFIRM_SHARE: f64 = 0.75;

/// Detector that runs one sum for each kind of trouble and tested share.
#[derive(Debug)]
pub struct SequentialTest {
    /// Value of a sum that raises an alarm.
    limit: f64,
    cusums: Vec<Cusum>,
}

impl SequentialTest {
    /// Creates a detector that raises an alarm when a sum reaches `limit`.
    pub fn new(limit: f64) -> SequentialTest {
        let mut cusums = Vec::new();
        for kind in SHARE_KINDS {
            for mixture_share in MIXTURE_SHARES {
                cusums.push(Cusum::new(kind, mixture_share));
            }
        }
        cusums.push(Cusum::new(TroubleKind::Shifted, SHIFT_MIXTURE_SHARE));
        SequentialTest { limit, cusums }
    }

    /// Returns the sum with the highest value.
    fn highest(&self) -> Option<&Cusum> {
        let by_value = |a: &&Cusum, b: &&Cusum| a.value.total_cmp(&b.value);
        self.cusums.iter().max_by(by_value)
    }
}

impl Detector for SequentialTest {
    fn observe(&mut self, observation: &Observation, expected: &Expected) {
        for sum in &mut self.cusums {
            sum.observe(observation, expected, self.limit);
        }
    }

    fn alarm(&self, _now: Instant, scale: f64) -> Option<Alarm> {
        let highest = self.highest()?;
        if highest.value < self.limit * scale {
            return None;
        }
        Some(Alarm {
            rule: "health.sequential_test",
            evidence: vec![
                ("kind", highest.kind.as_str().to_owned()),
                ("sum", format!("{:.1}", highest.value)),
                ("limit", format!("{:.1}", self.limit * scale)),
                ("met_count", highest.met_count.to_string()),
                ("seen_count", highest.seen_count.to_string()),
            ],
        })
    }

    fn confirm(&self, fresh: &Expected) -> bool {
        self.highest()
            .is_some_and(|sum| sum.confirm(fresh, self.limit))
    }

    fn forget_times(&mut self) {
        for sum in &mut self.cusums {
            if sum.kind != TroubleKind::Failed {
                *sum = Cusum::new(sum.kind, sum.mixture_share);
            }
        }
    }

    fn reset(&mut self) {
        for sum in &mut self.cusums {
            *sum = Cusum::new(sum.kind, sum.mixture_share);
        }
    }
}
